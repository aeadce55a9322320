package fair

import (
	"math"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// service holds the rows of one service.
type service struct {
	name string
	rows map[string]*row
	heap rowHeap
	// last is V as it was when work last waited.
	last float64
	// weight is the sum of the weights of the backlogged rows.
	weight float64
	// largest is the largest single charge by weight.
	largest float64
	// quiet is when a row last stopped waiting.
	quiet time.Time
	rate  meter
	// costs is the mean true cost of the requests of all workspaces.
	costs average
	// hints is the mean hint.
	hints average
}

func newService(name string) *service {
	return &service{name: name, rows: map[string]*row{}}
}

// v is the virtual time: the counter of the backlogged row that is next, or the
// last one while nothing waits. It leaves extrapolation out: what is wrong there
// ends with the next exchange, but a lift would stay.
func (s *service) v() float64 {
	if len(s.heap.rows) > 0 {
		return s.heap.rows[0].e
	}
	return s.last
}

// note remembers V for the time when nothing waits.
func (s *service) note() {
	if len(s.heap.rows) > 0 {
		s.last = s.heap.rows[0].e
	}
}

// follow raises V to the counter of a served row while nothing has waited for
// calmAfter. Everybody then gets what he asks for, so whoever uses idle
// capacity must not owe it later.
func (s *service) follow(r *row, now time.Time) {
	if len(s.heap.rows) > 0 || now.Sub(s.quiet) < calmAfter {
		return
	}
	s.last = max(s.last, r.e)
}

// hear raises V to the lowest counter of the workspaces that a peer served, while
// nothing is known to wait here. A home without servers of a service knows no
// demand for it; its V would otherwise stay where it was until it gains a
// server, and all counters would then look like debt.
func (s *service) hear(lowest float64) {
	if len(s.heap.rows) == 0 {
		s.last = max(s.last, lowest)
	}
}

// meter measures a rate as a sum that decays over meterPeriod.
type meter struct {
	sum   float64
	first time.Time
	at    time.Time
}

// meterPeriod is the time constant of a meter.
const meterPeriod = 10 * time.Second

func (m *meter) add(cost float64, now time.Time) {
	if m.first.IsZero() {
		m.first, m.at = now, now
	}
	m.decay(now)
	m.sum += cost
}

func (m *meter) decay(now time.Time) {
	m.sum *= math.Exp(-now.Sub(m.at).Seconds() / meterPeriod.Seconds())
	m.at = now
}

// perSecond returns the rate, 0 before a whole period was measured.
func (m *meter) perSecond(now time.Time) float64 {
	if m.first.IsZero() || now.Sub(m.first) < meterPeriod {
		return 0
	}
	m.decay(now)
	return m.sum / meterPeriod.Seconds()
}

// shares finds the share of a workspace without a search.
type shares struct {
	source []wigeonladder.ShareRule
	byName map[string]wigeonladder.ShareRule
}

// changed takes over another list of shares and reports whether it was another.
// Rules are immutable, so the same slice means the same content.
func (s *shares) changed(list []wigeonladder.ShareRule) bool {
	same := len(list) == len(s.source) && (len(list) == 0 || &list[0] == &s.source[0])
	if same {
		return false
	}
	s.source = list
	s.byName = make(map[string]wigeonladder.ShareRule, len(list))
	for _, x := range list {
		s.byName[x.Workspace] = x
	}
	return true
}

// of returns the share of a workspace: weight 1 without a rule.
func (s *shares) of(workspace string) wigeonladder.ShareRule {
	if x, ok := s.byName[workspace]; ok {
		return x
	}
	return wigeonladder.ShareRule{Workspace: workspace, Weight: 1}
}
