package fair

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// windowStep and windowSteps make up the time over which demand and service
	// are compared.
	windowStep  = 250 * time.Millisecond
	windowSteps = 16
	// restrainedFor is how long a workspace counts as restrained after one of
	// its calls was refused or came late.
	restrainedFor = 1500 * time.Millisecond
	// maxLead is how much more than the least served restrained workspace another
	// one may get until it gets nothing, in a small fleet; without a bound, the
	// workspace that calls most often would find nearly all of the room that is
	// spare. A large fleet hears of its own service later and goes further beyond
	// the bound, so that it falls towards minLead.
	maxLead, minLead = 0.3, 0.0
	// smallFleet is the number of daemons with the whole lead.
	smallFleet = 6
	// firstLead is the part of the lead from which a workspace comes behind the
	// restrained one.
	firstLead = 1.0 / 3
	// wanting is the part of what it asks for below which a restrained workspace
	// holds others back; one that gets nearly all of it only has calls that come
	// late.
	wanting = 0.6
	// lackShare is the part of the level by which a workspace has to be below that.
	// Otherwise one large call that waits makes a small workspace, which is served
	// first anyway, hold back all others while servers are idle.
	lackShare = 1.0 / 16
	// maxWindowRows bounds the workspaces of one window.
	maxWindowRows = 4096
)

// WorkspaceTotals is what one daemon saw of one workspace since its start, in cost units.
type WorkspaceTotals struct {
	Workspace string `json:"w"`
	Demand    int64  `json:"a"`
	Service   int64  `json:"g"`
	// Throttled is true if a call was refused or came late just now.
	Throttled bool `json:"r,omitempty"`
	// RecentDemand and RecentGot are the parts of the last seconds, for a daemon
	// that has just started.
	RecentDemand  int64 `json:"ra,omitempty"`
	RecentService int64 `json:"rg,omitempty"`
}

// Standing says how a workspace stands towards its share.
type Standing int

// The standings.
const (
	// BelowShare means that the workspace got less than its share.
	BelowShare Standing = iota
	// AboveShare means that it got its share and may have what nobody else needs.
	AboveShare
	// Deprioritized means that it got more than a workspace that is held back.
	Deprioritized
	// Denied means that it got so much more that it gets nothing now.
	Denied
)

// String returns the word for a standing.
func (s Standing) String() string {
	switch s {
	case AboveShare:
		return "beyond"
	case Deprioritized:
		return "ahead of"
	case Denied:
		return "far ahead of"
	case BelowShare:
	}
	return "within"
}

// Window compares what the workspaces asked for and what they got over the whole
// fleet in the last seconds. The max-min share is the level up to which every
// workspace gets what it asks if the levels sum up to the capacity.
type Window struct {
	start   time.Time
	daemons func() int

	mu       sync.Mutex
	rows     map[string]*windowRow
	capacity float64
	level    float64
	levelAt  time.Time
	least    float64
	hasLeast bool
	lead     float64
	dirty    map[string]bool
}

// windowRow is one workspace.
type windowRow struct {
	asked, got ring
	// ownAsked and ownGot are the parts of this daemon.
	ownAsked, ownGot ring
	// own are the totals of this daemon, peers the last totals of the others.
	own        WorkspaceTotals
	peers      map[string]WorkspaceTotals
	restrained time.Time
	ownHeld    time.Time
}

// ring is a sum over the window.
type ring struct {
	step  int64
	parts [windowSteps]float64
}

// NewWindow returns a window in which nothing has happened. The function tells the
// number of daemons that report to each other; nil for one.
func NewWindow(daemons func() int) *Window {
	if daemons == nil {
		daemons = func() int { return 1 }
	}
	return &Window{start: time.Now(), daemons: daemons, rows: map[string]*windowRow{}, dirty: map[string]bool{}}
}

// SetCapacity sets the service of the whole fleet in cost units per second; 0 if
// it is not known.
func (w *Window) SetCapacity(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity, w.levelAt = perSecond, time.Time{}
}

// RecordDemand counts a call.
func (w *Window) RecordDemand(workspace string, cost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if r := w.row(workspace); r != nil {
		r.own.Demand += cost
		r.asked.add(w.step(now), float64(cost))
		r.ownAsked.add(w.step(now), float64(cost))
		w.dirty[workspace] = true
	}
}

// RecordService counts a call that was placed.
func (w *Window) RecordService(workspace string, cost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if r := w.row(workspace); r != nil {
		r.own.Service += cost
		r.got.add(w.step(now), float64(cost))
		r.ownGot.add(w.step(now), float64(cost))
		w.dirty[workspace] = true
	}
}

// RecordThrottled notes that a call of the workspace was refused or came late.
func (w *Window) RecordThrottled(workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.row(workspace); r != nil {
		r.restrained = time.Now()
		r.ownHeld = r.restrained
		w.dirty[workspace] = true
	}
}

// Standing returns how a workspace stands before a call of the given cost.
func (w *Window) Standing(workspace string) Standing {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refresh(now)
	r := w.rows[workspace]
	if r == nil || w.level <= 0 {
		return BelowShare
	}
	got := r.got.sum(w.step(now))
	least := max(w.least, w.level)
	switch {
	case got <= w.level:
		return BelowShare
	case w.hasLeast && got > (1+w.lead)*least:
		return Denied
	case w.hasLeast && got > (1+w.lead*firstLead)*least:
		return Deprioritized
	}
	return AboveShare
}

// RetryDelay returns the time in which a workspace that is refused now is expected to
// have room again.
func (w *Window) RetryDelay(workspace string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refresh(now)
	r := w.rows[workspace]
	if r == nil || w.level <= 0 {
		return 0
	}
	got, room := r.got.sum(w.step(now)), w.level
	if w.hasLeast {
		room = (1 + w.lead*firstLead) * max(w.least, w.level)
	}
	if got <= room {
		return 0
	}
	return time.Duration((got - room) / got * float64(windowStep*windowSteps))
}

// row returns the row of a workspace; nil if there are too many.
func (w *Window) row(workspace string) *windowRow {
	r := w.rows[workspace]
	if r == nil && len(w.rows) < maxWindowRows {
		r = &windowRow{peers: map[string]WorkspaceTotals{}, own: WorkspaceTotals{Workspace: workspace}}
		w.rows[workspace] = r
	}
	return r
}

// refresh computes the level anew once in a step.
func (w *Window) refresh(now time.Time) {
	if now.Sub(w.levelAt) < windowStep/4 {
		return
	}
	w.levelAt = now
	demands := make([]float64, 0, len(w.rows))
	for _, r := range w.rows {
		if asked := r.asked.sum(w.step(now)); asked > 0 {
			demands = append(demands, asked)
		}
	}
	w.level = level(demands, w.capacity*(windowStep*windowSteps).Seconds())
	w.lead = minLead + (maxLead-minLead)*smallFleet/float64(max(w.daemons(), smallFleet))
	w.hasLeast = false
	for _, r := range w.rows {
		if got := r.got.sum(w.step(now)); w.lacks(r, got, now) && (!w.hasLeast || got < w.least) {
			w.least, w.hasLeast = got, true
		}
	}
}

// lacks reports whether a workspace gets so much less than it asks for that it holds
// others back.
func (w *Window) lacks(r *windowRow, got float64, now time.Time) bool {
	asked := r.asked.sum(w.step(now))
	return now.Sub(r.restrained) < restrainedFor && got < wanting*asked-lackShare*w.level
}

// level returns the max-min level of demands for a capacity; 0 if the capacity is
// not known.
func level(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.SortFunc(demands, cmp.Compare[float64])
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return capacity
}

// Export returns the totals that changed since the last call.
func (w *Window) Export() []WorkspaceTotals {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	l := make([]WorkspaceTotals, 0, len(w.dirty))
	for name := range w.dirty {
		r := w.rows[name]
		t := r.own
		t.Throttled = now.Sub(r.ownHeld) < restrainedFor
		t.RecentDemand, t.RecentService = int64(r.ownAsked.sum(w.step(now))), int64(r.ownGot.sum(w.step(now)))
		l = append(l, t)
	}
	clear(w.dirty)
	return l
}

// Import takes over the totals of another daemon, named by its incarnation. Of
// one that was not heard before, the parts of the last seconds count.
func (w *Window) Import(from string, l []WorkspaceTotals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, t := range l {
		r := w.row(t.Workspace)
		if r == nil {
			continue
		}
		if last, known := r.peers[from]; known {
			r.asked.add(w.step(now), float64(max(t.Demand-last.Demand, 0)))
			r.got.add(w.step(now), float64(max(t.Service-last.Service, 0)))
		} else {
			r.asked.spread(w.step(now), float64(t.RecentDemand))
			r.got.spread(w.step(now), float64(t.RecentService))
		}
		r.peers[from] = t
		if t.Throttled {
			r.restrained = now
		}
	}
}

// step returns the number of the step at a time.
func (w *Window) step(now time.Time) int64 { return int64(now.Sub(w.start) / windowStep) }

// at clears the parts of steps that are over and returns the current part.
func (g *ring) at(step int64) *float64 {
	for n := min(step-g.step, windowSteps); n > 0; n-- {
		g.parts[(step-n+1)%windowSteps] = 0
	}
	g.step = max(step, g.step)
	return &g.parts[g.step%windowSteps]
}

// add adds to the current step.
func (g *ring) add(step int64, v float64) { *g.at(step) += v }

// spread adds to all steps evenly.
func (g *ring) spread(step int64, v float64) {
	g.at(step)
	for i := range g.parts {
		g.parts[i] += v / windowSteps
	}
}

// sum returns the sum over the window.
func (g *ring) sum(step int64) float64 {
	g.at(step)
	s := 0.0
	for _, p := range g.parts {
		s += p
	}
	return s
}
