package place

import (
	"math"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// limitLifetime is the time for which a limit holds that neither an answer nor a
	// report confirms. Half as much again is added by chance, so that the daemons of a
	// fleet do not call the server together.
	limitLifetime = 30 * time.Second
	// limitReportPeriod is the time between two reports of the same limit.
	limitReportPeriod = time.Second
	// limitEndReports is the time for which the end of a limit is reported again when
	// further answers confirm it.
	limitEndReports = 10 * time.Second
)

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
		if n := s.notice; n != nil && n.limit.named {
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
