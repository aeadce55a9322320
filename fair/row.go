package fair

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// row is the account of one workspace for one service.
type row struct {
	service   *service
	workspace string
	weight    float64
	burst     float64

	// e is the received service by weight, without extrapolation.
	e float64
	// ahead is the assumed service by weight of the other homes since their
	// last exchange.
	ahead float64
	// own is the cost that this home charged since its start.
	own int64
	// forgiven is service by weight that the debt cap took off. A later
	// correction of an estimate reduces it first; otherwise the correction
	// would turn forgiven debt into credit.
	forgiven float64
	// deficit is how far the row was below V when it stopped waiting.
	deficit float64
	// costs is the mean true cost of the requests that this home saw end.
	costs average
	// left is when the row stopped waiting, served when it was last charged.
	left, served time.Time
	// index is the place in the heap, -1 without backlog.
	index int
}

// newRow returns the row of a workspace that starts at V.
func newRow(s *service, workspace string, share wigeonladder.ShareRule) *row {
	r := &row{service: s, workspace: workspace, e: s.v(), index: -1}
	r.weight = float64(max(share.Weight, 1))
	r.burst = float64(share.Burst)
	return r
}

// key is what orders the row among the backlogged ones.
func (r *row) key() float64 { return r.e + r.ahead }

// backlogged reports whether the workspace has waiting work.
func (r *row) backlogged() bool { return r.index >= 0 }

// receive adds service in cost units.
func (r *row) receive(cost float64, now time.Time) {
	s := r.service
	s.rate.add(cost, now)
	s.largest = max(s.largest, cost/r.weight)
	r.served = now
	part := cost / r.weight
	if part < 0 {
		back := min(r.forgiven, -part)
		r.forgiven -= back
		part += back
	}
	r.e += part
	r.moved()
}

// assume adds extrapolated service by weight.
func (r *row) assume(part float64) {
	r.ahead += part
	r.moved()
}

// moved restores the order of the heap and notes V after a change.
func (r *row) moved() {
	if r.backlogged() {
		r.service.heap.fix(r.index)
	}
	r.service.note()
}

// settle applies the debt cap; 0 means none. Without waiting work V is only an
// estimate, and nobody is kept waiting by the debt.
func (r *row) settle(limit float64) {
	if limit <= 0 || len(r.service.heap.rows) == 0 {
		return
	}
	over := r.e - r.service.v() - limit
	if over <= 0 {
		return
	}
	r.e -= over
	r.forgiven += over
	r.moved()
}

// enter marks the row as backlogged. It gained no credit while it was away: it
// starts at V, less its burst and the deficit that it had when it left. Service
// by any home meanwhile shows that it was not idle, only not waiting here.
func (r *row) enter(now time.Time) {
	s := r.service
	v := s.v()
	if now.Sub(r.left) > deficitKeep && now.Sub(r.served) > deficitKeep {
		r.deficit = 0
	}
	if r.idle(now) && r.e > v {
		r.e = v
		r.forgiven = 0
	}
	r.lift(v - max(r.burst/r.weight, r.deficit))
	r.deficit = 0
	s.weight += r.weight
	s.heap.push(r)
	s.note()
}

// lift raises the counter of the row to a floor.
func (r *row) lift(floor float64) { r.e = max(r.e, floor) }

// idle reports whether the row neither waited nor was served for idleDrop.
func (r *row) idle(now time.Time) bool {
	return now.Sub(r.left) >= idleDrop && now.Sub(r.served) >= idleDrop
}

// leave marks the row as not backlogged.
func (r *row) leave(now time.Time) {
	s := r.service
	s.heap.remove(r.index)
	s.weight -= r.weight
	r.left = now
	s.quiet = now
	r.deficit = 0
	if len(s.heap.rows) > 0 {
		r.deficit = max(0, s.v()-r.e)
	}
	s.note()
}

// level is the counter that the row would have if it returned now.
func (r *row) level() float64 {
	if r.backlogged() {
		return r.e
	}
	return max(r.e, r.service.v()-r.burst/r.weight)
}

// reweigh changes weight and burst and keeps the distance to v in cost units.
func (r *row) reweigh(share wigeonladder.ShareRule, v float64) {
	old := r.weight
	r.weight = float64(max(share.Weight, 1))
	r.burst = float64(share.Burst)
	if r.weight == old {
		return
	}
	s := r.service
	scale := old / r.weight
	r.e = v + (r.e-v)*scale
	r.forgiven *= scale
	r.deficit *= scale
	if r.backlogged() {
		s.weight += r.weight - old
	}
	r.moved()
}
