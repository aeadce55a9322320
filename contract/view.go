package contract

import (
	"reflect"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// view is what the fleet and the configuration say at one moment.
type view struct {
	own     map[string]owned
	members []string
}

// owned is a server whose home is this daemon.
type owned struct {
	server  wigeonladder.Server
	service string
	leaving bool
}

// look asks the fleet which servers are this daemon's. It takes no lock.
func (l *Ledger) look() view {
	v := view{own: map[string]owned{}, members: l.o.Fleet.Members()}
	for _, s := range l.o.Config().Register.Services {
		for _, r := range s.Servers {
			home, ok := l.o.Fleet.HomeOf(r)
			if !ok || home != l.self {
				continue
			}
			leaving := l.o.Fleet.State(r.Name) == wigeonladder.StateLeaving
			v.own[r.Name] = owned{server: r, service: s.Name, leaving: leaving}
		}
	}
	return v
}

// wake re-evaluates everything if the daemon was paused, before it decides.
func (l *Ledger) wake() {
	l.mu.Lock()
	paused := l.paused()
	l.mu.Unlock()
	if paused {
		l.refresh()
	}
}

// paused reports whether the daemon was paused since the last refresh. Nothing
// is granted until the next one.
func (l *Ledger) paused() bool { return time.Since(l.beat) > pauseGap }

// refresh applies changes of homes, states, members and limits.
func (l *Ledger) refresh() {
	l.update.Lock()
	defer l.update.Unlock()
	v := l.look()
	now := time.Now()
	l.mu.Lock()
	if gap := now.Sub(l.beat); gap > pauseGap {
		l.resume(now, gap)
	}
	l.beat = now
	l.members = v.members
	var out outbox
	for name, s := range l.servers {
		if o, ok := v.own[name]; !ok || o.service != s.pool.name {
			l.lose(s, &out)
		}
	}
	for name, o := range v.own {
		if l.servers[name] == nil {
			l.gain(o, now)
		}
		l.adjust(l.servers[name], o, &out)
	}
	for _, s := range l.servers {
		l.admit(s, now)
		l.probe(s, now)
	}
	for _, p := range l.pools {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
}

// resume restarts the takeover wait after a pause, as another home may have
// served the servers meanwhile. Contracts are kept: their renewals could not
// be heard.
func (l *Ledger) resume(now time.Time, gap time.Duration) {
	l.o.Journal.Note("", "resumed", "gap", gap.String())
	for _, s := range l.servers {
		s.await(now)
		s.heard = now
	}
	for _, t := range l.leases {
		t.renewed = now
	}
	for _, e := range l.entries {
		e.seen = now
	}
}

// await starts the takeover wait of a server.
func (s *server) await(now time.Time) {
	s.gained = now
	s.waiting = true
	s.answers = map[string]bool{}
	s.fix()
}

// gain starts to serve a server.
func (l *Ledger) gain(o owned, now time.Time) {
	s := &server{Server: o.server, limiter: l.o.Limiter(o.server), byEntry: map[string]*breaker{}, unproven: l.o.FetchLoad != nil}
	l.servers[s.Name] = s
	l.pool(o.service).add(s)
	s.await(now)
	l.verify(s)
	l.o.Journal.Note("", "takeover", "server", s.Name, "reason", "home is this daemon")
}

// lose drops a server whose home is another daemon now, or that was removed.
// Unused contracts are recalled; the new home counts the others.
func (l *Ledger) lose(s *server, out *outbox) {
	l.withdraw(s, out)
	for id, t := range l.leases {
		if t.server == s {
			delete(l.leases, id)
		}
	}
	s.pool.remove(s)
	delete(l.servers, s.Name)
	l.o.Journal.Note("", "server lost", "server", s.Name, "reason", "home is another daemon")
}

// withdraw recalls the contracts of a server that were not renewed yet.
func (l *Ledger) withdraw(s *server, out *outbox) {
	for _, t := range l.leases {
		if t.server == s && !t.inUse {
			out.recall(t.contract)
		}
	}
}

// adjust applies the state, the models and the limit of an own server.
func (l *Ledger) adjust(s *server, o owned, out *outbox) {
	if o.leaving && !s.leaving {
		l.withdraw(s, out)
		l.o.Journal.Note("", "server leaving", "server", s.Name)
	}
	if !reflect.DeepEqual(s.Server, o.server) {
		p := s.pool
		p.remove(s)
		s.Server = o.server
		p.add(s)
	}
	s.leaving = o.leaving
	s.limit = s.limiter.Slots()
	s.fix()
}

// admit ends the takeover wait of a server when its time is over.
func (l *Ledger) admit(s *server, now time.Time) {
	if !s.waiting || now.Sub(s.gained) < wigeonladder.ContractTakeoverDelay {
		return
	}
	l.ready(s, "takeover time over")
}

// ready lets slots of a server be granted.
func (l *Ledger) ready(s *server, reason string) {
	s.waiting = false
	s.answers = nil
	s.fix()
	l.o.Journal.Note("", "takeover", "server", s.Name, "reason", reason)
}

// answer takes note that an entry has listed all its contracts of a server. The
// takeover wait ends when every live member has done so. A renewal without the
// row for the server is no answer: its sender may still take another daemon for
// the home and hold contracts that it renews there.
func (l *Ledger) answer(name, vm string, out *outbox) {
	s := l.servers[name]
	if s == nil || !s.waiting {
		return
	}
	s.answers[vm] = true
	if l.answered(s) {
		l.ready(s, "every member has answered")
		l.dispatch(s.pool, out)
	}
}

// answered reports whether every live member has answered.
func (l *Ledger) answered(s *server) bool {
	for _, vm := range l.members {
		if !s.answers[vm] {
			return false
		}
	}
	return len(l.members) > 0
}
