package fair

import (
	"sync"
	"time"
)

const (
	// windowStep and windowSteps define the window over which demand and
	// service are compared.
	windowStep  = 250 * time.Millisecond
	windowSteps = 16
	// throttledFor is how long a workspace counts as throttled after one of its
	// calls was refused or placed late.
	throttledFor = 1500 * time.Millisecond
	// maxLead is the fraction by which, in a small fleet, the service of a
	// workspace may exceed that of the least served starved workspace before
	// its calls are held back. Without a bound, the workspace that sends the most
	// calls would take nearly all spare capacity. The daemons of a large fleet
	// learn of each other's service later and exceed the bound by more, so that
	// the bound falls towards minLead as the fleet grows.
	maxLead, minLead = 0.3, 0.0
	// idleLead is the fraction up to which a workspace may exceed that service with
	// calls that idle servers take. It is bounded, too, because the calls of the
	// starved workspace may all come to one daemon that cannot place more of them.
	idleLead = 0.4
	// smallFleetDaemons is the number of daemons up to which the lead is maxLead.
	smallFleetDaemons = 6
	// deprioritizeLeadFraction is the fraction of the lead from which the calls
	// of a workspace are placed after those of starved workspaces.
	deprioritizeLeadFraction = 1.0 / 3
	// starvedDemandFraction is the fraction of its demand below which a
	// throttled workspace counts as starved. A throttled workspace that
	// receives nearly all of its demand is not starved; some of its calls are
	// only placed late.
	starvedDemandFraction = 0.6
	// starvedLevelMargin is the fraction of the max-min level, and
	// starvedCallsMargin the number of the largest calls, by the lower of which the
	// service of a starved workspace has to be below that part of its demand.
	// Otherwise a single large call that waits would make a small workspace,
	// which is served first anyway, hold back all others while servers are
	// idle.
	starvedLevelMargin = 1.0 / 16
	starvedCallsMargin = 3
	// maxDebt is the fraction by which the service of a workspace may count as
	// more than that of the least served starved workspace. What it received
	// beyond that was spare when it was given, or could not be prevented in time.
	// If all of it counted, the workspace would get nothing until the others had
	// caught up.
	maxDebt = 0.5
	// maxWindowRows bounds the number of workspaces in a window.
	maxWindowRows = 4096
)

// WorkspaceTotals is the demand and service of one workspace that one daemon
// has counted since its start, in cost units.
type WorkspaceTotals struct {
	Workspace string `json:"w"`
	Demand    int64  `json:"a"`
	Service   int64  `json:"g"`
	// Throttled is true if a call was refused or placed late recently.
	Throttled bool `json:"r,omitempty"`
	// RecentDemand and RecentService are the parts within the window, for a daemon
	// that has just started.
	RecentDemand  int64 `json:"ra,omitempty"`
	RecentService int64 `json:"rg,omitempty"`
}

// Standing is the position of a workspace relative to its fair share and to
// starved workspaces, in ascending order of received service.
type Standing int

// The standings.
const (
	// BelowShare means that the workspace has received at most its share.
	BelowShare Standing = iota
	// AboveShare means that the workspace has received its share and may use
	// spare capacity.
	AboveShare
	// Deprioritized means that the workspace has received more than a starved
	// one, so that its calls are placed last.
	Deprioritized
	// IdleOnly means that the workspace has received so much more than a starved
	// one that its calls are placed only while servers idle.
	IdleOnly
	// Denied means that the workspace has received so much more than a starved
	// one that its calls are not placed now, whatever is idle.
	Denied
)

// String returns the standing as it appears in messages, before "its share".
func (s Standing) String() string {
	switch s {
	case AboveShare:
		return "beyond"
	case Deprioritized:
		return "ahead of"
	case IdleOnly:
		return "well ahead of"
	case Denied:
		return "far ahead of"
	case BelowShare:
	}
	return "within"
}

// Window compares the demand and the service of the workspaces over the whole
// fleet in the last seconds. The fair share is the max-min level: every
// workspace receives its demand up to the level, and the sum is the capacity.
// Window is safe for concurrent use.
type Window struct {
	start   time.Time
	daemons func() int

	mu   sync.Mutex
	rows map[string]*windowRow
	// capacity is the configured capacity in cost units per second, 0 if unknown.
	// asked is the demand and served the service of all workspaces. throttling is the
	// time since which some workspace has been throttled, zero while none is.
	capacity      float64
	asked, served ring
	throttling    time.Time
	// largestCost is the highest cost of a recent call at this daemon.
	largestCost recentMax
	// level is the max-min level of service in the window, as of levelAt; 0 if
	// the capacity is unknown.
	level   float64
	levelAt time.Time
	// leastStarved is the lowest service of a starved workspace; hasStarved is
	// false if there is none. lead is the fraction by which the service of
	// another workspace may exceed it, between minLead and maxLead.
	leastStarved float64
	hasStarved   bool
	lead         float64
	// dirty contains the workspaces that the next export names.
	dirty map[string]bool
	// expiredAt is when unused rows were last removed.
	expiredAt time.Time
}

// windowRow is the state of one workspace.
type windowRow struct {
	demand, service ring
	// ownDemand and ownService are the parts counted by this daemon.
	ownDemand, ownService ring
	// ownTotals contains the totals of this daemon, peerTotals the last totals of
	// the others by incarnation.
	ownTotals  WorkspaceTotals
	peerTotals map[string]peerTotals
	// usedAt is when something was last added.
	usedAt time.Time
	// throttledAt is when a call at any daemon was last throttled,
	// ownThrottledAt when one at this daemon was.
	throttledAt    time.Time
	ownThrottledAt time.Time
}

// NewWindow returns an empty window. The function daemons returns the number of
// daemons that report to each other; nil means one.
func NewWindow(daemons func() int) *Window {
	if daemons == nil {
		daemons = func() int { return 1 }
	}
	return &Window{start: time.Now(), daemons: daemons, rows: map[string]*windowRow{}, dirty: map[string]bool{}}
}

// SetCapacity sets the capacity of the whole fleet in cost units per second; 0
// means unknown.
func (w *Window) SetCapacity(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity, w.levelAt = perSecond, time.Time{}
}

// RecordDemand adds the cost of a call that arrived.
func (w *Window) RecordDemand(workspace string, cost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if r := w.row(workspace); r != nil {
		r.ownTotals.Demand += cost
		r.demand.add(w.step(now), float64(cost))
		r.ownDemand.add(w.step(now), float64(cost))
		w.asked.add(w.step(now), float64(cost))
		w.largestCost.add(w.step(now), float64(cost))
		w.dirty[workspace] = true
	}
}

// RecordService adds the cost of a call that was placed on a server.
func (w *Window) RecordService(workspace string, cost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if r := w.row(workspace); r != nil {
		r.ownTotals.Service += cost
		r.service.add(w.step(now), float64(cost))
		r.ownService.add(w.step(now), float64(cost))
		w.served.add(w.step(now), float64(cost))
		w.dirty[workspace] = true
	}
}

// RecordThrottled records that a call of the workspace was refused or placed
// late.
func (w *Window) RecordThrottled(workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.row(workspace); r != nil {
		r.throttledAt = time.Now()
		r.ownThrottledAt = r.throttledAt
		w.dirty[workspace] = true
	}
}

// Standing returns the current standing of a workspace. It is BelowShare while
// the capacity is unknown.
func (w *Window) Standing(workspace string) Standing {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refresh(now)
	r := w.rows[workspace]
	switch {
	case r != nil:
		return w.standing(r, now)
	case len(w.rows) >= maxWindowRows && w.level > 0:
		// What the workspace received is not known; it must not gain by that.
		return AboveShare
	}
	return BelowShare
}

// standing implements Standing for one row, after a refresh.
func (w *Window) standing(r *windowRow, now time.Time) Standing {
	if w.level <= 0 {
		return BelowShare
	}
	service := r.service.sum(w.step(now))
	least := max(w.leastStarved, w.level)
	switch {
	case service <= w.level:
		return BelowShare
	case w.hasStarved && service > (1+max(w.lead, idleLead))*least:
		return Denied
	case w.hasStarved && service > (1+w.lead)*least:
		return IdleOnly
	case w.hasStarved && service > (1+w.lead*deprioritizeLeadFraction)*least:
		return Deprioritized
	}
	return AboveShare
}

// OwnRate returns the service per second that a workspace has received from this
// daemon within the window.
func (w *Window) OwnRate(workspace string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rows[workspace]
	if r == nil {
		return 0
	}
	return r.ownService.sum(w.step(time.Now())) / (windowSteps * windowStep).Seconds()
}

// RetryDelay returns the time until a workspace that is refused now is expected
// to be allowed more service.
func (w *Window) RetryDelay(workspace string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refresh(now)
	r := w.rows[workspace]
	if r == nil || w.level <= 0 {
		return 0
	}
	service, room := r.service.sum(w.step(now)), w.level
	if w.hasStarved {
		room = (1 + w.lead*deprioritizeLeadFraction) * max(w.leastStarved, w.level)
	}
	if service <= room {
		return 0
	}
	return time.Duration((service - room) / service * float64(windowStep*windowSteps))
}

// row returns the row of a workspace and creates it if it does not exist; nil
// if there are maxWindowRows already.
func (w *Window) row(workspace string) *windowRow {
	now := time.Now()
	w.expire(now)
	r := w.rows[workspace]
	if r == nil && len(w.rows) < maxWindowRows {
		r = &windowRow{peerTotals: map[string]peerTotals{}, ownTotals: WorkspaceTotals{Workspace: workspace}}
		w.rows[workspace] = r
	}
	if r != nil {
		r.usedAt = now
	}
	return r
}

// refresh computes the level, the lead and the least service of a starved
// workspace again if they are older than a quarter of a step.
func (w *Window) refresh(now time.Time) {
	if now.Sub(w.levelAt) < windowStep/4 {
		return
	}
	w.levelAt = now
	w.updateThrottling(now)
	demands := make([]float64, 0, len(w.rows))
	for _, r := range w.rows {
		if demand := r.demand.sum(w.step(now)); demand > 0 {
			demands = append(demands, demand)
		}
	}
	w.level = maxMinLevel(demands, w.availableService(now))
	w.lead = minLead + (maxLead-minLead)*smallFleetDaemons/float64(max(w.daemons(), smallFleetDaemons))
	w.hasStarved = false
	for _, r := range w.rows {
		if service := r.service.sum(w.step(now)); w.isStarved(r, service, now) && (!w.hasStarved || service < w.leastStarved) {
			w.leastStarved, w.hasStarved = service, true
		}
	}
	if w.hasStarved {
		w.forgiveDebt(now)
	}
}

// forgiveDebt reduces the service that counts for each workspace to at most
// maxDebt more than the least served starved workspace has, or the level if
// that is more.
func (w *Window) forgiveDebt(now time.Time) {
	limit := (1 + maxDebt) * max(w.leastStarved, w.level)
	for _, r := range w.rows {
		if service := r.service.sum(w.step(now)); service > limit {
			r.service.scale(limit / service)
		}
	}
}

// isStarved reports whether a throttled workspace receives so much less than
// its demand that others have to be held back.
func (w *Window) isStarved(r *windowRow, service float64, now time.Time) bool {
	demand := r.demand.sum(w.step(now))
	margin := min(starvedLevelMargin*w.level, starvedCallsMargin*w.largestCost.value())
	return now.Sub(r.throttledAt) < throttledFor && service < starvedDemandFraction*demand-margin
}

// Export returns the totals that have changed since the last export.
func (w *Window) Export() []WorkspaceTotals {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	l := make([]WorkspaceTotals, 0, len(w.dirty))
	for name := range w.dirty {
		r := w.rows[name]
		t := r.ownTotals
		t.Throttled = now.Sub(r.ownThrottledAt) < throttledFor
		t.RecentDemand, t.RecentService = int64(r.ownDemand.sum(w.step(now))), int64(r.ownService.sum(w.step(now)))
		l = append(l, t)
	}
	clear(w.dirty)
	return l
}

// Import applies the totals of another daemon, which is identified by its
// incarnation. The first totals of a workspace from an incarnation count with
// their recent parts only.
func (w *Window) Import(from string, l []WorkspaceTotals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, t := range l {
		r := w.row(t.Workspace)
		if r == nil {
			continue
		}
		if last, known := r.peerTotals[from]; known {
			r.demand.add(w.step(now), float64(max(t.Demand-last.demand, 0)))
			w.asked.add(w.step(now), float64(max(t.Demand-last.demand, 0)))
			r.service.add(w.step(now), float64(max(t.Service-last.service, 0)))
			w.served.add(w.step(now), float64(max(t.Service-last.service, 0)))
		} else {
			r.demand.spread(w.step(now), float64(t.RecentDemand))
			w.asked.spread(w.step(now), float64(t.RecentDemand))
			r.service.spread(w.step(now), float64(t.RecentService))
			w.served.spread(w.step(now), float64(t.RecentService))
		}
		r.peerTotals[from] = peerTotals{demand: t.Demand, service: t.Service, at: now}
		if t.Throttled {
			r.throttledAt = now
		}
	}
}

// step returns the number of the step that contains now.
func (w *Window) step(now time.Time) int64 { return int64(now.Sub(w.start) / windowStep) }
