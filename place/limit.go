package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// limitMin is the rate at which a server is called that names a lower limit, even
	// 0, so that its answers tell when the limit ends.
	limitMin = 0.05
	// limitBurst is the time over which a part of a limit accumulates; at least one
	// call always does.
	limitBurst = 100 * time.Millisecond
	// limitLifetime is the time for which a limit holds that neither an answer nor a
	// report confirms. Half as much again is added by chance, so that the daemons of a
	// fleet do not call the server together.
	limitLifetime = 30 * time.Second
	// limitReportPeriod is the time between two reports of the same limit.
	limitReportPeriod = time.Second
	// limitEndReports is the time for which the end of a limit is reported again when
	// further answers confirm it.
	limitEndReports = 10 * time.Second
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

// limit is the number of requests a second that an incarnation of a server takes from
// all daemons together.
type limit struct {
	// named is true while the limit is in force.
	named     bool
	perSecond float64
	// namedAt is the arrival of the last answer that named the limit. endedAt is the
	// sending of the last call whose answer named none although one was in force.
	namedAt, endedAt time.Time
	// reportedAt is the time of the last report of the limit or of its end.
	reportedAt time.Time
}

// ServerLimit is the limit that an incarnation of a server named, or its end.
type ServerLimit struct {
	Server      string  `json:"s"`
	StartUnixMs int64   `json:"b,omitempty"`
	Address     string  `json:"a"`
	PerSecond   float64 `json:"l,omitempty"`
	// Ended is true if the server names no limit any more.
	Ended bool `json:"e,omitempty"`
	// AgeMs is the time since the answer, or for the end of a limit since the sending
	// of the call, in milliseconds.
	AgeMs int64 `json:"t,omitempty"`
}

// RecordLimit records that an answer of a server named a limit. It reports whether the
// limit is new or changed.
func (p *Pool) RecordLimit(i wigeonladder.Instance, perSecond float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := p.notices.get(incarnationOf(i))
	isNew := !n.limit.named || n.limit.perSecond != perSecond
	n.limit.name(perSecond, now)
	if isNew || now.Sub(n.limit.reportedAt) >= limitReportPeriod {
		p.reportLimit(i, n, now)
	}
	if isNew {
		p.applyLimit(i, n, now)
	}
	return isNew
}

// RecordNoLimit records that the answer to a call which was sent at sentAt named no
// limit. It reports whether that ends a limit: an answer that the server may have
// written before it named the limit does not.
func (p *Pool) RecordNoLimit(i wigeonladder.Instance, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.notices.byIncarnation[incarnationOf(i)]
	if n == nil {
		return false
	}
	now := time.Now()
	ended := n.limit.end(sentAt)
	if !n.limit.named && sentAt.After(n.limit.endedAt) {
		n.limit.endedAt = sentAt
	}
	if ended || !n.limit.named && !n.limit.namedAt.IsZero() &&
		now.Sub(n.limit.namedAt) < limitEndReports && now.Sub(n.limit.reportedAt) >= limitReportPeriod {
		p.reportLimit(i, n, now)
	}
	if ended {
		p.applyLimit(i, n, now)
	}
	return ended
}

// name records that an answer named the limit.
func (l *limit) name(perSecond float64, at time.Time) {
	l.named, l.perSecond, l.namedAt = true, perSecond, at
}

// end records that the answer to a call that was sent at a time named no limit. It
// reports whether that ends the limit.
func (l *limit) end(sentAt time.Time) bool {
	if !l.named || !sentAt.After(l.namedAt) {
		return false
	}
	l.named, l.endedAt = false, sentAt
	return true
}

// reportLimit adds the limit, or its end, to the next report.
func (p *Pool) reportLimit(i wigeonladder.Instance, n *notice, now time.Time) {
	n.limit.reportedAt = now
	if len(p.limitReports) < maxSent {
		p.limitReports = append(p.limitReports, n.limit.report(i, now))
	}
}

// report returns the limit of a server, or its end, as other daemons get it.
func (l *limit) report(i wigeonladder.Instance, now time.Time) ServerLimit {
	at := l.namedAt
	if !l.named {
		at = l.endedAt
	}
	return ServerLimit{
		Server: i.ID, StartUnixMs: i.StartUnixMs, Address: i.Address,
		PerSecond: l.perSecond, Ended: !l.named, AgeMs: now.Sub(at).Milliseconds(),
	}
}

// Limits returns the limits in force.
func (p *Pool) Limits() []ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	l := make([]ServerLimit, 0, len(p.limited))
	for _, s := range p.limited {
		if n := s.notice; n.limit.named {
			l = append(l, n.limit.report(s.instance, now))
		}
	}
	return l
}

// ImportLimits applies the limits that another daemon knows.
func (p *Pool) ImportLimits(l []ServerLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, x := range l {
		p.importLimit(x, now)
	}
}

// importLimit applies the report of another daemon. The later event wins.
func (p *Pool) importLimit(l ServerLimit, now time.Time) {
	if l.AgeMs < 0 || l.PerSecond < 0 || math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) {
		return
	}
	at := now.Add(-time.Duration(min(l.AgeMs, limitLifetime.Milliseconds())) * time.Millisecond)
	i := wigeonladder.Instance{ID: l.Server, StartUnixMs: l.StartUnixMs, Address: l.Address}
	n := p.notices.get(incarnationOf(i))
	if l.Ended {
		if n.limit.end(at) {
			p.applyLimit(i, n, now)
		}
		return
	}
	if !at.After(n.limit.namedAt) || !at.After(n.limit.endedAt) {
		return
	}
	isNew := !n.limit.named || n.limit.perSecond != l.PerSecond
	n.limit.name(l.PerSecond, at)
	if isNew {
		p.applyLimit(i, n, now)
	}
}

// applyLimit divides a limit that is new, or places the jobs that wait after its end.
func (p *Pool) applyLimit(i wigeonladder.Instance, n *notice, now time.Time) {
	for _, g := range p.services {
		if s := g.servers[i.ID]; s != nil && s.instance.SameStart(i) {
			s.notice = n
			p.watchLimit(s, now)
			g.lastDrain = time.Time{}
			p.drain(g)
		}
	}
}

// watchLimit begins to divide the limit of a server if one is in force.
func (p *Pool) watchLimit(s *server, now time.Time) {
	if s.notice == nil || !s.notice.limit.named || s.part.watched {
		return
	}
	s.part = limitPart{watched: true, refilledAt: now}
	p.limited = append(p.limited, s)
	s.part.rate = partOf(s, p.members())
}

// members returns the daemons that share the limits; this one is always the first.
func (p *Pool) members() []hashedMember {
	l := []hashedMember{{Member{p.options.Name, p.options.Zone}, nameHash(p.options.Name)}}
	if p.options.Members == nil {
		return l
	}
	for _, m := range p.options.Members() {
		l = append(l, hashedMember{m, nameHash(m.Name)})
	}
	return l
}

// updateLimits divides the limits anew, since daemons come and go, and ends those that
// nothing has confirmed for a long time.
func (p *Pool) updateLimits(now time.Time) {
	if len(p.limited) == 0 || now.Sub(p.dividedAt) < memberPeriod {
		return
	}
	p.dividedAt = now
	members := p.members()
	p.limited = slices.DeleteFunc(p.limited, func(s *server) bool {
		n := s.notice
		if n.limit.named && now.Sub(n.limit.namedAt) > p.limitLifetime {
			n.limit.named = false
		}
		if !n.limit.named || p.servers[s.instance.ID] != s {
			s.part = limitPart{}
			return true
		}
		s.part.refill(now)
		s.part.rate = partOf(s, members)
		return false
	})
}

// partOf returns the requests a second that the first of the daemons may send to a server with a
// limit. Few daemons have a part, so that none gets less than about a request a second:
// parts of a hundred daemons would either be lost or come due together. All daemons
// choose the same ones by rendezvous hashing, those in the zone of the server first.
func partOf(s *server, members []hashedMember) float64 {
	perSecond := max(s.notice.limit.perSecond, limitMin)
	parts := max(int(min(perSecond, float64(len(members)))), 1)
	rank := func(m hashedMember) (otherZone bool, weight uint64) {
		return m.Zone != s.instance.Zone, mix(m.hash ^ s.hash)
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
	if before >= parts {
		return 0
	}
	return perSecond / float64(parts)
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

// limitWait returns the time until the parts of limits allow one call more than those
// that wait; retryDelayMax if this daemon has no part.
func (g *serviceState) limitWait() time.Duration {
	rate := 0.0
	for _, s := range g.order {
		rate += s.part.rate
	}
	if rate == 0 {
		return retryDelayMax
	}
	return time.Duration(float64(g.waiting+1) / rate * float64(time.Second))
}
