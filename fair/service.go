package fair

import (
	"math"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// service is the fair-share state of one service.
type service struct {
	name string
	rows map[string]*row
	heap rowHeap
	// lastVirtualTime is V while there is no backlog: its value at the end of
	// the last backlog, or a higher one to which it was raised since.
	lastVirtualTime float64
	// backloggedWeight is the sum of the weights of the backlogged rows.
	backloggedWeight float64
	// largestCharge is the largest single charge divided by weight.
	largestCharge float64
	// lastBacklogEnd is when the backlog of a row last ended.
	lastBacklogEnd time.Time
	rate           meter
	// averageCost is the average cost of the requests of all workspaces.
	averageCost average
	// averageHint is the average cost hint.
	averageHint average
}

func newService(name string) *service {
	return &service{name: name, rows: map[string]*row{}}
}

// virtualTime returns the virtual time V: the counter of the first backlogged
// row, or the last V while there is no backlog. V excludes extrapolation,
// because an error in the extrapolation ends with the next exchange, but rows
// that were raised to a wrong V would stay there.
func (s *service) virtualTime() float64 {
	if len(s.heap.rows) > 0 {
		return s.heap.rows[0].counter
	}
	return s.lastVirtualTime
}

// recordVirtualTime saves V for the time without a backlog.
func (s *service) recordVirtualTime() {
	if len(s.heap.rows) > 0 {
		s.lastVirtualTime = s.heap.rows[0].counter
	}
}

// raiseToServed raises V to the counter of a served row when there has been no
// backlog for noBacklogDelay. Every workspace then receives what it requests,
// so the use of idle capacity must not become debt.
func (s *service) raiseToServed(r *row, now time.Time) {
	if len(s.heap.rows) > 0 || now.Sub(s.lastBacklogEnd) < noBacklogDelay {
		return
	}
	s.lastVirtualTime = max(s.lastVirtualTime, r.counter)
}

// raiseToPeer raises V to the lowest counter of the workspaces that a peer
// served, while this home knows of no backlog. A home without servers of a
// service sees no demand for it. Its V would stay at the old value until it
// gains a server, and all counters would then look like debt.
func (s *service) raiseToPeer(lowest float64) {
	if len(s.heap.rows) == 0 {
		s.lastVirtualTime = max(s.lastVirtualTime, lowest)
	}
}

// meter computes a rate from a sum that decays with the time constant
// meterPeriod.
type meter struct {
	sum       float64
	startedAt time.Time
	decayedAt time.Time
}

// meterPeriod is the time constant of a meter.
const meterPeriod = 10 * time.Second

func (m *meter) add(cost float64, now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.decayedAt = now, now
	}
	m.decay(now)
	m.sum += cost
}

func (m *meter) decay(now time.Time) {
	m.sum *= math.Exp(-now.Sub(m.decayedAt).Seconds() / meterPeriod.Seconds())
	m.decayedAt = now
}

// perSecond returns the rate, or 0 before a whole period has passed.
func (m *meter) perSecond(now time.Time) float64 {
	if m.startedAt.IsZero() || now.Sub(m.startedAt) < meterPeriod {
		return 0
	}
	m.decay(now)
	return m.sum / meterPeriod.Seconds()
}

// shares is an index of the share rules by workspace.
type shares struct {
	source []wigeonladder.ShareRule
	byName map[string]wigeonladder.ShareRule
}

// update replaces the rules unless list is the slice that they come from, and
// reports whether it did. Rules are immutable, so the same slice means the same
// content.
func (s *shares) update(list []wigeonladder.ShareRule) bool {
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

// of returns the share of a workspace, which has weight 1 without a rule.
func (s *shares) of(workspace string) wigeonladder.ShareRule {
	if x, ok := s.byName[workspace]; ok {
		return x
	}
	return wigeonladder.ShareRule{Workspace: workspace, Weight: 1}
}
