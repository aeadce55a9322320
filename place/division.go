package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// limitMin is the rate at which a server is called that names a lower limit, even
	// 0, so that its answers tell when the limit ends.
	limitMin = 0.05
	// limitBurst is the time over which a part of a limit accumulates; at least one
	// call always does.
	limitBurst = 100 * time.Millisecond
	// memberPeriod is the time between two divisions of the limits.
	memberPeriod = 200 * time.Millisecond
)

// Member is a daemon that takes calls.
type Member struct{ Name, Zone string }

// hashedMember is a Member with the hash of its name.
type hashedMember struct {
	Member
	hash uint64
}

// division divides the requests a second that a server takes over the daemons.
type division struct {
	// parts is the number of daemons that have a part, perSecond the requests a second
	// of each.
	parts     int
	perSecond float64
}

// divideLimit divides the limit that a server named. Few daemons have a part, so that
// none gets less than about a request a second: parts of a hundred daemons would either
// be lost or come due together.
func divideLimit(perSecond float64, daemons int) division {
	perSecond = max(perSecond, limitMin)
	parts := max(int(min(perSecond, float64(daemons))), 1)
	return division{parts, perSecond / float64(parts)}
}

// rate returns the requests a second of the daemon with a rank.
func (d division) rate(rank int) float64 {
	if rank >= d.parts {
		return 0
	}
	return d.perSecond
}

// rankOf returns how many daemons come before the first one when parts of a limit of a
// server are given out. All daemons choose the same ones by rendezvous hashing, those
// in the zone of the server first if zoneFirst is true.
func rankOf(s *server, members []hashedMember, zoneFirst bool) int {
	rank := func(m hashedMember) (otherZone bool, weight uint64) {
		return zoneFirst && m.Zone != s.instance.Zone, mix(m.hash ^ s.hash)
	}
	ownOther, ownWeight := rank(members[0])
	before := 0
	for _, m := range members[1:] {
		other, weight := rank(m)
		if other != ownOther {
			if ownOther {
				before++
			}
			continue
		}
		if cmp.Or(cmp.Compare(weight, ownWeight), cmp.Compare(members[0].Name, m.Name)) > 0 {
			before++
		}
	}
	return before
}

// daemons are those over which limits are divided; this one is always the first.
type daemons struct {
	// live are those that take calls, known all that may be at work.
	live, known []hashedMember
}

// isCutOff reports whether this daemon hears no daemon of a zone, although there are
// some.
func (d daemons) isCutOff(zone string) bool {
	inZone := func(m hashedMember) bool { return m.Zone == zone }
	return slices.ContainsFunc(d.known, inZone) && !slices.ContainsFunc(d.live, inZone)
}

// daemons returns the daemons that share the limits.
func (p *Pool) daemons() daemons {
	d := daemons{live: p.hashMembers(p.options.Members)}
	d.known = d.live
	if p.options.KnownMembers != nil {
		d.known = p.hashMembers(p.options.KnownMembers)
	}
	return d
}

// hashMembers returns this daemon and others; members may be nil.
func (p *Pool) hashMembers(members func() []Member) []hashedMember {
	l := []hashedMember{{Member{p.options.Name, p.options.Zone}, nameHash(p.options.Name)}}
	if members == nil {
		return l
	}
	for _, m := range members() {
		l = append(l, hashedMember{m, nameHash(m.Name)})
	}
	return l
}

// watchLimit divides the limit of a server, or the calls that it takes while it is cold,
// if one of them is in force.
func (p *Pool) watchLimit(s *server, now time.Time) {
	if !s.restricted(now) {
		return
	}
	if !s.part.watched {
		s.part = limitPart{watched: true, refilledAt: now}
		p.limited = append(p.limited, s)
	}
	s.part.refill(now)
	s.part.rate = p.partRate(s, p.daemons(), now)
}

// restricted reports whether a limit of the server is in force, or the server is cold.
func (s *server) restricted(now time.Time) bool {
	return s.notice != nil && s.notice.limit.named || s.coldLeft(now) > 0
}

// partRate returns the requests a second that this daemon may send to a server that is
// restricted.
func (p *Pool) partRate(s *server, d daemons, now time.Time) float64 {
	limit := math.Inf(1)
	if n := s.notice; n != nil && n.limit.named {
		limit = max(n.limit.perSecond, limitMin)
	}
	if s.coldLeft(now) > 0 {
		// One division holds for both, so that a daemon with a part in it has one in the
		// limit.
		return min(p.coldRate(s, d.known, now), limit/float64(s.cold.division.parts))
	}
	return divideLimit(limit, len(d.live)).rate(rankOf(s, d.live, true))
}

// updateLimits divides the limits anew, since daemons come and go, and ends those that
// nothing has confirmed for a long time.
func (p *Pool) updateLimits(now time.Time) {
	if len(p.limited) == 0 || now.Sub(p.dividedAt) < memberPeriod {
		return
	}
	p.dividedAt = now
	d := p.daemons()
	p.limited = slices.DeleteFunc(p.limited, func(s *server) bool {
		if n := s.notice; n != nil && n.limit.named && now.Sub(n.limit.namedAt) > p.limitLifetime {
			n.limit.named = false
		}
		if s.restarted && d.isCutOff(s.instance.Zone) {
			s.clearRestart()
		}
		if !s.restricted(now) || p.servers[s.instance.ID] != s {
			s.part = limitPart{}
			return true
		}
		s.part.refill(now)
		s.part.rate = p.partRate(s, d, now)
		return false
	})
}

// limitPart is the part of a server's limit that this daemon may use.
type limitPart struct {
	// watched is true while a limit is in force.
	watched bool
	// rate is the number of requests a second; 0 without a part.
	rate float64
	// calls is the number of calls that may be sent at refilledAt.
	calls      float64
	refilledAt time.Time
}

// refill adds the calls that may be sent since the last refill.
func (l *limitPart) refill(now time.Time) {
	most := max(l.rate*limitBurst.Seconds(), 1)
	l.calls = min(l.calls+l.rate*now.Sub(l.refilledAt).Seconds(), most)
	l.refilledAt = now
}

// take takes one call.
func (l *limitPart) take(now time.Time) {
	if l.watched {
		l.refill(now)
		l.calls--
	}
}

// wait returns the time until a call may be sent after a number of others; 0 without a
// limit.
func (l *limitPart) wait(callsBefore int, now time.Time) time.Duration {
	if !l.watched {
		return 0
	}
	if l.rate == 0 {
		return limitLifetime
	}
	missing := float64(callsBefore+1) - l.calls - l.rate*now.Sub(l.refilledAt).Seconds()
	return time.Duration(max(missing, 0) / l.rate * float64(time.Second))
}
