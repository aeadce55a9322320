package contract

import (
	"reflect"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// fleetView is what the fleet and the configuration state at one moment.
type fleetView struct {
	own     map[string]ownServer
	members []string
}

// ownServer is a server whose home is this daemon.
type ownServer struct {
	server  wigeonladder.Server
	service string
	leaving bool
}

// readFleet returns the servers whose home is this daemon, and the members. It
// takes no lock of the ledger.
func (l *Ledger) readFleet() fleetView {
	v := fleetView{own: map[string]ownServer{}, members: l.options.Fleet.Members()}
	for _, s := range l.options.Config().Register.Services {
		for _, r := range s.Servers {
			home, ok := l.options.Fleet.HomeOf(r)
			if !ok || home != l.self {
				continue
			}
			leaving := l.options.Fleet.State(r.Name) == wigeonladder.StateLeaving
			v.own[r.Name] = ownServer{server: r, service: s.Name, leaving: leaving}
		}
	}
	return v
}

// refreshIfPaused refreshes the ledger if the process was paused, so that no
// decision rests on an outdated state.
func (l *Ledger) refreshIfPaused() {
	l.mu.Lock()
	paused := l.paused()
	l.mu.Unlock()
	if paused {
		l.refresh()
	}
}

// paused reports whether the process was paused since the last refresh. Nothing
// is granted until the next refresh.
func (l *Ledger) paused() bool { return time.Since(l.lastRefresh) > pauseThreshold }

// refresh applies changes of homes, server states, members and limits.
func (l *Ledger) refresh() {
	l.update.Lock()
	defer l.update.Unlock()
	v := l.readFleet()
	now := time.Now()
	l.mu.Lock()
	if gap := now.Sub(l.lastRefresh); gap > pauseThreshold {
		l.resumeAfterPause(now, gap)
	}
	l.lastRefresh = now
	l.members = v.members
	var out outbox
	for name, s := range l.servers {
		if o, ok := v.own[name]; !ok || o.service != s.pool.service {
			l.loseServer(s, &out)
		}
	}
	for name, o := range v.own {
		if l.servers[name] == nil {
			l.gainServer(o, now)
		}
		l.updateServer(l.servers[name], o, &out)
	}
	for _, s := range l.servers {
		l.endTakeoverIfDue(s, now)
		l.allowProbe(s, now)
	}
	for _, p := range l.pools {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
}

// resumeAfterPause restarts the takeover delay of all servers, as another home
// may have served them during the pause. Contracts and demands are kept,
// because their renewals could not be received.
func (l *Ledger) resumeAfterPause(now time.Time, gap time.Duration) {
	l.options.Journal.Note("", "resumed", "gap", gap.String())
	for _, s := range l.servers {
		s.startTakeover(now)
		s.lastReached = now
	}
	for _, t := range l.leases {
		t.lastRenewed = now
	}
	for _, e := range l.entries {
		e.lastSeen = now
	}
}

// startTakeover starts the takeover delay of a server.
func (s *server) startTakeover(now time.Time) {
	s.takeoverStart = now
	s.awaitingTakeover = true
	s.takeoverAnswers = map[string]bool{}
	s.fixHeaps()
}

// gainServer adds a server whose home this daemon has become.
func (l *Ledger) gainServer(o ownServer, now time.Time) {
	s := &server{Server: o.server, limiter: l.options.Limiter(o.server), entryBreakers: map[string]*breaker{}, awaitingFirstLoad: l.options.FetchLoad != nil}
	l.servers[s.Name] = s
	l.pool(o.service).add(s)
	s.startTakeover(now)
	l.verifyReachable(s)
	l.options.Journal.Note("", "takeover", "server", s.Name, "reason", "home is this daemon")
}

// loseServer drops a server that was removed or whose home is another daemon
// now. Contracts that were not renewed yet are recalled; the new home counts the
// others.
func (l *Ledger) loseServer(s *server, out *outbox) {
	l.recallUnused(s, out)
	for id, t := range l.leases {
		if t.server == s {
			delete(l.leases, id)
		}
	}
	s.pool.remove(s)
	delete(l.servers, s.Name)
	l.options.Journal.Note("", "server lost", "server", s.Name, "reason", "home is another daemon")
}

// recallUnused recalls the contracts of a server that were not renewed yet.
func (l *Ledger) recallUnused(s *server, out *outbox) {
	for _, t := range l.leases {
		if t.server == s && !t.renewed {
			out.addRecall(t.contract)
		}
	}
}

// updateServer applies the state of an own server, its description in the
// register and its limit.
func (l *Ledger) updateServer(s *server, o ownServer, out *outbox) {
	if o.leaving && !s.leaving {
		l.recallUnused(s, out)
		l.options.Journal.Note("", "server leaving", "server", s.Name)
	}
	if !reflect.DeepEqual(s.Server, o.server) {
		p := s.pool
		p.remove(s)
		s.Server = o.server
		p.add(s)
	}
	s.leaving = o.leaving
	s.limit = s.limiter.Slots()
	s.fixHeaps()
}

// endTakeoverIfDue ends the takeover of a server once the takeover delay has
// passed.
func (l *Ledger) endTakeoverIfDue(s *server, now time.Time) {
	if !s.awaitingTakeover || now.Sub(s.takeoverStart) < wigeonladder.ContractTakeoverDelay {
		return
	}
	l.endTakeover(s, "takeover time over")
}

// endTakeover ends the takeover of a server, so that its slots may be granted.
func (l *Ledger) endTakeover(s *server, reason string) {
	s.awaitingTakeover = false
	s.takeoverAnswers = nil
	s.fixHeaps()
	l.options.Journal.Note("", "takeover", "server", s.Name, "reason", reason)
}

// recordTakeoverAnswer records that an entry has listed all its contracts of a
// server. The takeover ends early once every live member has done so. A renewal
// without the row for the server does not count: its sender may still consider
// another daemon the home and hold contracts that it renews there.
func (l *Ledger) recordTakeoverAnswer(name, vm string, out *outbox) {
	s := l.servers[name]
	if s == nil || !s.awaitingTakeover {
		return
	}
	s.takeoverAnswers[vm] = true
	if l.allMembersAnswered(s) {
		l.endTakeover(s, "every member has answered")
		l.dispatch(s.pool, out)
	}
}

// allMembersAnswered reports whether every live member has answered the
// takeover of a server.
func (l *Ledger) allMembersAnswered(s *server) bool {
	for _, vm := range l.members {
		if !s.takeoverAnswers[vm] {
			return false
		}
	}
	return len(l.members) > 0
}
