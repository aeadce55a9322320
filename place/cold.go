package place

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// maxColdTime bounds the time for which one statement of the store makes a server
	// cold. A server that stays cold longer states it again.
	maxColdTime = 10 * time.Second
	// coldSpread is the longest difference between the delays with which calls reach a
	// server: calls that were sent within a second and this time may arrive within a
	// second.
	coldSpread = 100 * time.Millisecond
	// maxColdParts bounds the daemons that have a part in a cold server. Each may send
	// one call at any moment, whatever its rate.
	maxColdParts = 16
	// coldPartsPerSpare is the number of parts for which room for one more is kept: a
	// daemon that does not know all others may believe that it has a part.
	coldPartsPerSpare = 4
	// coldSettleTime is the time after the start of a daemon in which it sends nothing
	// to cold servers, since it does not know all other daemons yet.
	coldSettleTime = 2 * time.Second
)

// ColdBound bounds the requests that a cold server gets in any second, from all daemons
// together: Overage times the rate that it takes, plus Slack.
type ColdBound struct{ Overage, Slack float64 }

// coldRule describes the cold servers of a service. The zero value means that its
// servers take as much while they are cold as otherwise.
type coldRule struct {
	division division
	// start is the time for which a server is cold after its start.
	start time.Duration
}

// newColdRule returns the rule for a service.
func newColdRule(v route.Service, b ColdBound) coldRule {
	if v.ColdPerSecond <= 0 {
		return coldRule{}
	}
	return coldRule{divideCold(v.ColdPerSecond, b), v.ColdStart}
}

// applies reports whether cold servers are restricted.
func (r *coldRule) applies() bool { return r.division.parts > 0 }

// divideCold divides the requests a second that a cold server takes so that the bound
// holds in any second. In a second and the spread of arrivals, a part allows its rate
// and what it has accumulated. Of the numbers of parts that allow the most requests, the
// largest is used, so that many daemons have one.
func divideCold(perSecond float64, b ColdBound) division {
	most := perSecond*b.Overage + b.Slack
	best, sum := division{1, limitMin}, limitMin
	for parts := 1; parts <= maxColdParts; parts++ {
		spare := (parts + coldPartsPerSpare - 1) / coldPartsPerSpare
		each := most / float64(parts+spare)
		span := 1 + coldSpread.Seconds()
		rate := min((each-1)/span, each/(span+limitBurst.Seconds()), perSecond/float64(parts))
		if rate*float64(parts) >= sum {
			best, sum = division{parts, rate}, rate*float64(parts)
		}
	}
	return best
}

// coldRate returns the requests a second that this daemon may send to a cold server. It
// counts all daemons that may be at work: those that are cut off from this one may still
// reach the server. The zones do not matter: the daemons of the server's zone may have
// few calls, or may have started together with the server.
func (p *Pool) coldRate(s *server, known []hashedMember, now time.Time) float64 {
	if now.Sub(p.startedAt) < coldSettleTime {
		return 0
	}
	return s.cold.division.rate(rankOf(s, known, false))
}

// coldLeft returns the time for which the server still counts as cold; 0 if it does not.
func (s *server) coldLeft(now time.Time) time.Duration {
	if s.cold == nil || !s.cold.applies() {
		return 0
	}
	until := s.restartUntil
	if s.notice != nil && s.notice.coldUntil.After(until) {
		until = s.notice.coldUntil
	}
	return max(until.Sub(now), 0)
}

// MarkCold records that a server said in the store that it stays cold for a time, of
// which at most maxColdTime counts. A shorter time than the one known does not end it,
// since the store performs some writes late. It reports whether the server is restricted
// and was not known to be cold.
func (p *Pool) MarkCold(i wigeonladder.Instance, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := p.notices.get(incarnationOf(i))
	isNew := !now.Before(n.coldUntil)
	n.extendCold(now.Add(min(d, maxColdTime)))
	if s := p.servers[i.ID]; s != nil && s.instance.SameStart(i) {
		// The server tells more exactly what was supposed of its restart.
		s.clearRestart()
	}
	p.applyLimit(i, n, now)
	return isNew && p.serviceState(i.Service).cold.applies()
}

// extendCold records that a server is cold until a time, unless it is for longer.
func (n *notice) extendCold(until time.Time) {
	if until.After(n.coldUntil) {
		n.coldUntil = until
	}
}

// warmUp treats a server that has got no calls for a while as cold for as long as after
// a start.
func (p *Pool) warmUp(s *server, now time.Time) {
	if !s.cold.applies() {
		return
	}
	s.notice = p.notices.get(incarnationOf(s.instance))
	s.notice.extendCold(now.Add(s.cold.start))
	p.watchLimit(s, now)
}

// recordUnreachable blocks a server that cannot be reached. It may start again, and the
// store tells that late: until it has answered for as long as a server is cold, only
// the daemons with a part call it. If most servers of the service cannot be reached, or
// the daemons of its zone are not heard either, a link is the cause.
func (p *Pool) recordUnreachable(g *serviceState, s *server, now time.Time) {
	s.blockUnreachable(now)
	if !g.cold.applies() || 2*g.unreachable() > len(g.order) || p.daemons().isCutOff(s.instance.Zone) {
		return
	}
	s.restarted = true
	s.restartUntil = s.blockedUntil.Add(g.cold.start)
	p.watchLimit(s, now)
}

// clearRestart ends the supposition that the server starts again.
func (s *server) clearRestart() { s.restarted, s.restartUntil = false, time.Time{} }

// unreachable returns the number of servers that could not be reached when they were
// last called.
func (g *serviceState) unreachable() int {
	n := 0
	for _, s := range g.order {
		if s.probing {
			n++
		}
	}
	return n
}

// recordHeard records that a server answered. One that could not be reached before may
// have just started.
func (p *Pool) recordHeard(s *server, now time.Time) {
	s.hear(now)
	if s.restarted {
		s.restarted = false
		s.restartUntil = now.Add(s.cold.start)
		p.watchLimit(s, now)
	}
}
