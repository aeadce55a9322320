package fair

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// row is the fair-share state of one workspace for one service.
type row struct {
	service   *service
	workspace string
	weight    float64
	burst     float64

	// counter is the received service divided by weight, without extrapolation.
	counter float64
	// extrapolated is the service divided by weight that the other homes are
	// assumed to have given since their last exports.
	extrapolated float64
	// ownCharges is the cost that this home has charged since its start.
	ownCharges int64
	// forgiven is the service divided by weight that the debt cap removed. A
	// later correction of an estimate reduces it first; otherwise the
	// correction would turn forgiven debt into credit.
	forgiven float64
	// deficit is how far the row was below V when its backlog ended.
	deficit float64
	// averageCost is the average cost of the workspace's requests that ended at
	// this home.
	averageCost average
	// backlogEnded is when the last backlog ended, lastCharged when the row was
	// last charged.
	backlogEnded, lastCharged time.Time
	// index is the position in the heap, -1 without a backlog.
	index int
}

// newRow returns the row of a workspace, which starts at V.
func newRow(s *service, workspace string, share wigeonladder.ShareRule) *row {
	r := &row{service: s, workspace: workspace, counter: s.virtualTime(), index: -1}
	r.weight = float64(max(share.Weight, 1))
	r.burst = float64(share.Burst)
	return r
}

// key returns the value that orders backlogged rows.
func (r *row) key() float64 { return r.counter + r.extrapolated }

// backlogged reports whether the workspace has waiting requests.
func (r *row) backlogged() bool { return r.index >= 0 }

// addService adds received service in cost units.
func (r *row) addService(cost float64, now time.Time) {
	s := r.service
	s.rate.add(cost, now)
	s.largestCharge = max(s.largestCharge, cost/r.weight)
	r.lastCharged = now
	part := cost / r.weight
	if part < 0 {
		back := min(r.forgiven, -part)
		r.forgiven -= back
		part += back
	}
	r.counter += part
	r.restoreOrder()
}

// addExtrapolated adds extrapolated service, divided by weight.
func (r *row) addExtrapolated(part float64) {
	r.extrapolated += part
	r.restoreOrder()
}

// restoreOrder moves the row to its position in the heap after a change of its
// key, and records V.
func (r *row) restoreOrder() {
	if r.backlogged() {
		r.service.heap.fix(r.index)
	}
	r.service.recordVirtualTime()
}

// applyDebtCap limits how far the counter is above V; 0 means no limit. Without
// any backlog it does nothing, because V is then only an estimate and debt
// delays nobody.
func (r *row) applyDebtCap(limit float64) {
	if limit <= 0 || len(r.service.heap.rows) == 0 {
		return
	}
	over := r.counter - r.service.virtualTime() - limit
	if over <= 0 {
		return
	}
	r.counter -= over
	r.forgiven += over
	r.restoreOrder()
}

// enterBacklog marks the row as backlogged. A workspace gains no credit while
// it is idle: the row starts no lower than V less its burst or the deficit from
// the end of its last backlog, whichever is larger. A row that any home
// has charged recently keeps its deficit, because its workspace was not idle but
// had its backlog at another home.
func (r *row) enterBacklog(now time.Time) {
	s := r.service
	v := s.virtualTime()
	if now.Sub(r.backlogEnded) > deficitRetention && now.Sub(r.lastCharged) > deficitRetention {
		r.deficit = 0
	}
	if r.idle(now) && r.counter > v {
		r.counter = v
		r.forgiven = 0
	}
	r.raiseTo(v - max(r.burst/r.weight, r.deficit))
	r.deficit = 0
	s.backloggedWeight += r.weight
	s.heap.push(r)
	s.recordVirtualTime()
}

// raiseTo raises the counter to at least floor.
func (r *row) raiseTo(floor float64) { r.counter = max(r.counter, floor) }

// idle reports whether the row has had neither a backlog nor service for
// debtExpiry.
func (r *row) idle(now time.Time) bool {
	return now.Sub(r.backlogEnded) >= debtExpiry && now.Sub(r.lastCharged) >= debtExpiry
}

// leaveBacklog marks the row as not backlogged.
func (r *row) leaveBacklog(now time.Time) {
	s := r.service
	s.heap.remove(r.index)
	s.backloggedWeight -= r.weight
	r.backlogEnded = now
	s.lastBacklogEnd = now
	r.deficit = 0
	if len(s.heap.rows) > 0 {
		r.deficit = max(0, s.virtualTime()-r.counter)
	}
	s.recordVirtualTime()
}

// counterOnReturn returns the counter that the row would have if its workspace
// became backlogged now, apart from its deficit and from debt that has expired.
func (r *row) counterOnReturn() float64 {
	if r.backlogged() {
		return r.counter
	}
	return max(r.counter, r.service.virtualTime()-r.burst/r.weight)
}

// setShare changes weight and burst. The distance to v stays the same in cost
// units.
func (r *row) setShare(share wigeonladder.ShareRule, v float64) {
	old := r.weight
	r.weight = float64(max(share.Weight, 1))
	r.burst = float64(share.Burst)
	if r.weight == old {
		return
	}
	s := r.service
	scale := old / r.weight
	r.counter = v + (r.counter-v)*scale
	r.forgiven *= scale
	r.deficit *= scale
	if r.backlogged() {
		s.backloggedWeight += r.weight - old
	}
	r.restoreOrder()
}
