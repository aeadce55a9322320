package demo

import (
	"math"
	"slices"
	"time"
)

// Report holds the measures of one run for one service. The measured window
// begins after the warm-up and lasts four units T.
type Report struct {
	Service string
	// BackloggedWorkspaces is the number of workspaces that had waiting work all the
	// time of the window.
	BackloggedWorkspaces int
	// Gap is the fairness gap: the largest difference, at any sample, of the
	// service that two of these workspaces received since the window began, in
	// cost units per unit weight.
	Gap float64
	// GapFirstUnit is the same over the first unit T.
	GapFirstUnit float64
	// GapLastUnit is the largest difference at a sample of the last unit T, since
	// the window began. With GapUnit it tells whether the gap grows.
	GapLastUnit float64
	// ServiceRate is the service delivered while work waited, in cost units per
	// second, over the samples of the window in which work waited all the time.
	ServiceRate float64
	// BusyFraction is the part of the window to which Rate applies.
	BusyFraction float64
	// RetainedShare is the lowest part of its fair share that a workspace got which
	// does not flood. The fair shares divide the delivered service by weighted
	// max-min fairness. For a workspace whose requests come whatever happens,
	// it counts how much of the requests of the window was delivered at all.
	RetainedShare float64
	// LeastRetained is the workspace with that part.
	LeastRetained string
	// Served, Refused and Failed count the requests that were first sent in
	// the window. A refused request did not run. Unfinished ones were open when
	// the drain time was over.
	Served, Refused, Failed, Unfinished int
	// LongestWait is the longest wait of such a request until its answer began
	// or it was refused, in time of the workload.
	LongestWait time.Duration
	// LongestStalls is, by workspace, the longest time in which it had waiting work and
	// none of it began.
	LongestStalls map[string]time.Duration
}

// Report returns the measures for a service. Call it after Play.
func (r *Recorder) Report(service string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Service: service, LongestStalls: map[string]time.Duration{}}
	w := r.window(service)
	for name, b := range w.books {
		rep.LongestStalls[name] = b.stall
		rep.Served += b.served
		rep.Refused += b.refused
		rep.Failed += b.failed
		rep.Unfinished += b.unended
		rep.LongestWait = max(rep.LongestWait, b.worst)
	}
	if r.workload.Speedup != 0 {
		rep.LongestWait = time.Duration(float64(rep.LongestWait) * r.workload.Speedup)
	}
	names := w.backlogged()
	rep.BackloggedWorkspaces = len(names)
	rep.Gap = w.gap(names, w.first, w.last)
	rep.GapFirstUnit = w.gap(names, w.first, w.first+w.unit)
	rep.GapLastUnit = w.gap(names, w.last-w.unit, w.last)
	rep.ServiceRate, rep.BusyFraction = w.rate()
	rep.RetainedShare, rep.LeastRetained = w.retained()
	return rep
}

// window is the measured part of the samples of one service.
type window struct {
	recorder *Recorder
	service  string
	books    map[string]*book
	// first is the sample at which the window begins, last the one at which it
	// ends, unit the number of samples in T.
	first, last, unit int
}

// window returns the measured part of the samples of a service. The caller
// holds the lock.
func (r *Recorder) window(service string) window {
	w := window{recorder: r, service: service, books: map[string]*book{}}
	w.first = int(r.workload.WarmUp / samplePeriod)
	w.unit = int(r.workload.WindowUnit / samplePeriod)
	w.last = min(w.first+4*w.unit, r.samples)
	for k, b := range r.books {
		if k.service == service {
			w.books[k.workspace] = b
		}
	}
	return w
}

// backlogged returns the workspaces that had waiting work in every sample.
func (w window) backlogged() []string {
	var names []string
	for name, b := range w.books {
		if w.last >= len(b.rows) {
			continue
		}
		if !slices.ContainsFunc(b.rows[w.first+1:w.last+1], func(s sample) bool { return !s.backlogged }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// gap returns the largest gap at a sample between two places.
func (w window) gap(names []string, from, to int) float64 {
	largest := 0.0
	for i := from; i <= to; i++ {
		low, high := math.Inf(1), math.Inf(-1)
		for _, name := range names {
			b := w.books[name]
			x := float64(b.rows[i].received-b.rows[w.first].received) / w.recorder.weight(name)
			low, high = min(low, x), max(high, x)
		}
		if len(names) > 1 {
			largest = max(largest, high-low)
		}
	}
	return largest
}

// rate returns the service per second while work waited and the part of the
// window in which work waited.
func (w window) rate() (rate, busy float64) {
	delivered, periods := int64(0), 0
	for i := w.first + 1; i <= w.last; i++ {
		waits, sum := false, int64(0)
		for _, b := range w.books {
			waits = waits || b.rows[i].backlogged
			sum += b.rows[i].received - b.rows[i-1].received
		}
		if waits {
			periods++
			delivered += sum
		}
	}
	if periods == 0 {
		return 0, 0
	}
	seconds := float64(periods) * samplePeriod.Seconds()
	return float64(delivered) / seconds, float64(periods) / float64(w.last-w.first)
}

// received returns what a workspace received in the window.
func (w window) received(b *book) float64 {
	return float64(b.rows[w.last].received - b.rows[w.first].received)
}

// fairShares divides the received service by weighted max-min fairness.
func (w window) fairShares() map[string]float64 {
	total := 0.0
	var claims []Claim
	for name, b := range w.books {
		total += w.received(b)
		c := Claim{Workspace: name, Weight: w.recorder.weight(name), Demand: float64(b.offered)}
		if b.endless {
			c.Demand = -1
		}
		claims = append(claims, c)
	}
	return FairShares(total, claims)
}

// retained returns the lowest part of a fair share.
func (w window) retained() (float64, string) {
	shares := w.fairShares()
	lowest, by := math.Inf(1), ""
	for name, b := range w.books {
		if shares[name] <= 0 || slices.Contains(w.recorder.workload.Flooders, name) {
			continue
		}
		part := w.received(b) / shares[name]
		if !b.endless {
			part = float64(b.delivered) / shares[name]
		}
		if part < lowest || (part == lowest && name < by) {
			lowest, by = part, name
		}
	}
	return lowest, by
}
