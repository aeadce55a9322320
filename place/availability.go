package place

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Unavailability is the reason for which a server takes no calls of this daemon.
type Unavailability int

// The reasons for which a server takes no calls.
const (
	// Available means that the server takes calls.
	Available Unavailability = iota
	// Leaving means that the store lists the server as leaving, or that it said in
	// an answer that it leaves.
	Leaving
	// ReportedLeaving means that another daemon reported that the server leaves.
	ReportedLeaving
	// Paused means that the server refused a call and asked for none until a time.
	Paused
	// Blocked means that no connection to the server could be established.
	Blocked
	// Probing means that a call tries whether the server can be reached again.
	Probing
	// Evacuated means that an administrator has asked to send nothing to the zone of
	// the server.
	Evacuated
	// Cold means that the server is cold, and this daemon has no part of the calls that
	// it takes until it is not, or has used it.
	Cold
	// Limited means that the server named a limit for all daemons, of which this one
	// has no part, or has used it.
	Limited

	unavailabilities
)

// unavailabilityNames are the names of the reasons in logs and dumps.
var unavailabilityNames = [unavailabilities]string{"", "leaving", "reported_leaving", "paused", "unreachable", "probing", "evacuated", "cold", "limited"}

// String returns the name of the reason; an empty string for Available.
func (u Unavailability) String() string { return unavailabilityNames[u] }

const (
	// MaxPause bounds the time for which a server may ask for no calls.
	MaxPause = time.Minute
	// reportedLeavingTime is the time for which a server that another daemon reported as
	// leaving gets no calls. Then this daemon asks the server itself, so that a
	// false or late report does not lose it for good.
	reportedLeavingTime = 10 * time.Second
	// maxNotices bounds the number of server incarnations whose notices are kept.
	maxNotices = 8192
)

// incarnation identifies one run of a server.
type incarnation struct {
	id      string
	start   int64
	address string
}

// incarnationOf returns the incarnation of an instance.
func incarnationOf(i wigeonladder.Instance) incarnation {
	return incarnation{i.ID, i.StartUnixMs, i.Address}
}

// notice contains the restrictions on calls to one incarnation of a server, as stated
// by the server or reported by another daemon. It outlives the server's entry in the
// store, so that an entry that lapses and returns does not bring back a server that
// leaves.
type notice struct {
	leaving       bool
	reportedUntil time.Time
	pausedUntil   time.Time
	limit         limit
	// coldUntil is the time until which the server is cold, as the store says, or as
	// is supposed after an evacuation.
	coldUntil time.Time
}

// notices keeps the notices of the incarnations that gave one most recently.
type notices struct {
	byIncarnation map[incarnation]*notice
	// order contains the incarnations in the order of their first notice.
	order []incarnation
}

// get returns the notice of an incarnation and creates it if it does not exist.
func (n *notices) get(i incarnation) *notice {
	if x := n.byIncarnation[i]; x != nil {
		return x
	}
	if len(n.order) >= maxNotices {
		delete(n.byIncarnation, n.order[0])
		n.order = n.order[1:]
	}
	x := &notice{}
	n.byIncarnation[i] = x
	n.order = append(n.order, i)
	return x
}

// RecordLeaving records that a server said in an answer that it leaves. It gets no
// more calls, whatever the store says of this incarnation. It reports whether that is
// new.
func (p *Pool) RecordLeaving(i wigeonladder.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.notices.get(incarnationOf(i))
	if n.leaving {
		return false
	}
	n.leaving = true
	if len(p.leaving) < maxSent {
		p.leaving = append(p.leaving, LeavingServer{i.ID, i.StartUnixMs, i.Address})
	}
	p.applyNotice(i, n)
	return true
}

// RecordPause records that a server refused a call and asked for none for a time, of
// which at most MaxPause counts. It reports whether the time is longer than the one
// known before.
func (p *Pool) RecordPause(i wigeonladder.Instance, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(min(d, MaxPause))
	n := p.notices.get(incarnationOf(i))
	if !until.After(n.pausedUntil) {
		return false
	}
	n.pausedUntil = until
	p.applyNotice(i, n)
	return true
}

// recordReportedLeaving records that another daemon reported a server as leaving.
// Only the first report of an incarnation counts.
func (p *Pool) recordReportedLeaving(l LeavingServer, now time.Time) {
	i := wigeonladder.Instance{ID: l.Server, StartUnixMs: l.StartUnixMs, Address: l.Address}
	n := p.notices.get(incarnationOf(i))
	if n.leaving || !n.reportedUntil.IsZero() {
		return
	}
	n.reportedUntil = now.Add(reportedLeavingTime)
	p.applyNotice(i, n)
}

// applyNotice gives a notice to its server, and moves or refuses the jobs that wait
// for it.
func (p *Pool) applyNotice(i wigeonladder.Instance, n *notice) {
	for _, g := range p.services {
		if s := g.servers[i.ID]; s != nil && s.instance.SameStart(i) {
			s.notice = n
			g.lastDrain = time.Time{}
			p.drain(g)
			p.refuseUnplaceable(g, time.Now())
		}
	}
}

// forbidden returns the reason for which no call may be sent to the server, whatever
// this daemon's own attempts to reach it showed.
func (s *server) forbidden(now time.Time) Unavailability {
	n := s.notice
	switch {
	case s.instance.Leaving:
		return Leaving
	case s.evacuated:
		return Evacuated
	case n != nil && n.leaving:
		return Leaving
	case n != nil && now.Before(n.pausedUntil):
		return Paused
	case n != nil && now.Before(n.reportedUntil):
		return ReportedLeaving
	case s.part.watched && s.part.rate == 0:
		return s.limitReason(now)
	}
	return Available
}

// limitReason returns the reason for which this daemon has only a part of the calls that
// the server takes.
func (s *server) limitReason(now time.Time) Unavailability {
	if s.coldLeft(now) > 0 {
		return Cold
	}
	return Limited
}

// unavailability returns the reason for which the server may not get a request now.
func (s *server) unavailability(now time.Time) Unavailability {
	if u := s.forbidden(now); u != Available {
		return u
	}
	switch {
	case now.Before(s.blockedUntil):
		return Blocked
	case s.probing && s.own.running > 0:
		return Probing
	}
	return Available
}

// occupancy returns the reason for which the server gets no request now, which may be
// over in a moment: a job can wait until this daemon's part of a limit allows another
// call.
func (s *server) occupancy(now time.Time) Unavailability {
	if u := s.unavailability(now); u != Available {
		return u
	}
	if s.part.wait(0, now) > 0 {
		return s.limitReason(now)
	}
	return Available
}

// available reports whether the server may get a request now.
func (s *server) available(now time.Time) bool { return s.unavailability(now) == Available }

// timeLeft returns the time after which the server is expected to take calls again;
// false if that is not known.
func (s *server) timeLeft(now time.Time) (time.Duration, bool) {
	switch s.unavailability(now) {
	case Leaving, Evacuated, Limited:
		return 0, false
	case Cold:
		return s.coldLeft(now), true
	case ReportedLeaving:
		return s.notice.reportedUntil.Sub(now), true
	case Paused:
		return s.notice.pausedUntil.Sub(now), true
	case Blocked:
		return s.blockedUntil.Sub(now), true
	default:
		return 0, true
	}
}

// timeLeft returns the time after which a server of the service is expected to take
// calls; false if none is known to.
func (g *serviceState) timeLeft(now time.Time) (time.Duration, bool) {
	shortest, known := time.Duration(0), false
	for _, s := range g.order {
		if t, ok := s.timeLeft(now); ok && (!known || t < shortest) {
			shortest, known = t, true
		}
	}
	return shortest, known
}

// unavailableServers counts the servers that take no calls, by reason.
type unavailableServers [unavailabilities]int

// String returns the counts in the form "2 leaving, 1 paused"; an empty string if all
// servers take calls.
func (u unavailableServers) String() string {
	var parts []string
	for reason, n := range u {
		if n > 0 && Unavailability(reason) != Available {
			parts = append(parts, fmt.Sprintf("%d %v", n, Unavailability(reason)))
		}
	}
	return strings.Join(parts, ", ")
}

// noServerError returns the refusal of a job for which no server takes calls. Its
// retry delay is the shortest time after which one does.
func (p *Pool) noServerError(g *serviceState, j *Job, now time.Time) *wigeonladder.Error {
	if j.Version != "" {
		return wigeonladder.Errorf(wigeonladder.CodeStreamLost, g.name, "no backend server of version %q takes the rest of the stream", j.Version)
	}
	left, known := g.timeLeft(now)
	if !known {
		left = retryDelayMax
	}
	return wigeonladder.Errorf(wigeonladder.CodeNoServer, g.name, "none of %d backend servers takes calls: %v", len(g.servers), g.summarize(now).unavailable).
		WithRetryDelay(max(left, retryDelayMin))
}

// refuseUnplaceable refuses the waiting jobs for which no server takes calls before
// their waits end.
func (p *Pool) refuseUnplaceable(g *serviceState, now time.Time) {
	if g.waiting == 0 {
		return
	}
	left, known := g.timeLeft(now)
	var unplaceable []*Job
	for _, q := range g.queues {
		for _, j := range q {
			if j.Version != "" {
				if !g.hasServerFor(j, now) {
					unplaceable = append(unplaceable, j)
				}
				continue
			}
			if known && left <= 0 {
				continue
			}
			if !known || now.Add(left).After(p.waitUntil(g, j)) {
				unplaceable = append(unplaceable, j)
			}
		}
	}
	for _, j := range unplaceable {
		p.dequeue(g, j)
		p.recordThrottled(g, j)
		j.placed <- placement{err: p.noServerError(g, j, now)}
	}
}

// hasServerFor reports whether a server takes calls that may run a job.
func (g *serviceState) hasServerFor(j *Job, now time.Time) bool {
	return slices.ContainsFunc(g.order, func(s *server) bool { return s.available(now) && j.accepts(s) })
}
