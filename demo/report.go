package demo

import (
	"math"
	"slices"
	"time"
)

// Report holds the measures of one service in one run. The measured window
// begins after the warm-up and lasts four units T.
type Report struct {
	Service string
	// BackloggedWorkspaces is the number of workspaces that had waiting requests
	// all the time of the window.
	BackloggedWorkspaces int
	// Gap is the fairness gap: the largest difference, at any sample, between the
	// services that two of the backlogged workspaces received since the window
	// began, in cost units per unit weight.
	Gap float64
	// GapFirstUnit is the fairness gap over the first unit T.
	GapFirstUnit float64
	// GapLastUnit is Gap over the samples of the last unit T only. The service
	// still counts from the beginning of the window. Its ratio to GapFirstUnit
	// shows whether the gap grows.
	GapLastUnit float64
	// ServiceRate is the service delivered in cost units per second, over the
	// samples of the window in which requests waited all the time.
	ServiceRate float64
	// BusyFraction is the fraction of the window to which ServiceRate applies.
	BusyFraction float64
	// RetainedShare is the lowest fraction of its fair share that a workspace
	// received, apart from the flooders. The fair shares divide the delivered
	// service by weighted max-min fairness. For a workspace with an open loop,
	// what counts as received is the delivered part of the requests that were
	// sent in the window.
	RetainedShare float64
	// LeastRetained is the workspace with that fraction.
	LeastRetained string
	// Served, Refused and Failed count the requests that were sent in the window.
	// A refused request did not run. Unfinished counts those that were still open
	// when the drain time was over.
	Served, Refused, Failed, Unfinished int
	// LongestWait is the longest time from sending a request of the window until
	// its answer began or it ended without an answer, in the time of the workload.
	LongestWait time.Duration
	// LongestStalls is, by workspace, the longest time in which its requests
	// waited and none of their answers began. It is in the time of the runtime's
	// clock.
	LongestStalls map[string]time.Duration
}

// Report returns the measures for a service. Call it after RunWorkload.
func (r *Recorder) Report(service string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Service: service, LongestStalls: map[string]time.Duration{}}
	w := r.window(service)
	for name, b := range w.records {
		rep.LongestStalls[name] = b.longestStall
		rep.Served += b.served
		rep.Refused += b.refused
		rep.Failed += b.failed
		rep.Unfinished += b.unfinished
		rep.LongestWait = max(rep.LongestWait, b.longestWait)
	}
	if r.workload.Speedup != 0 {
		rep.LongestWait = time.Duration(float64(rep.LongestWait) * r.workload.Speedup)
	}
	names := w.backloggedWorkspaces()
	rep.BackloggedWorkspaces = len(names)
	rep.Gap = w.largestGap(names, w.firstSample, w.lastSample)
	rep.GapFirstUnit = w.largestGap(names, w.firstSample, w.firstSample+w.unitSamples)
	rep.GapLastUnit = w.largestGap(names, w.lastSample-w.unitSamples, w.lastSample)
	rep.ServiceRate, rep.BusyFraction = w.serviceRate()
	rep.RetainedShare, rep.LeastRetained = w.leastRetained()
	return rep
}

// window is the measured part of the samples of one service.
type window struct {
	recorder *Recorder
	service  string
	records  map[string]*workspaceRecord
	// firstSample and lastSample are the samples at which the window begins and
	// ends. unitSamples is the number of samples in T.
	firstSample, lastSample, unitSamples int
}

// window returns the measured part of the samples of a service. The caller
// holds the lock.
func (r *Recorder) window(service string) window {
	w := window{recorder: r, service: service, records: map[string]*workspaceRecord{}}
	w.firstSample = int(r.workload.WarmUp / samplePeriod)
	w.unitSamples = int(r.workload.WindowUnit / samplePeriod)
	w.lastSample = min(w.firstSample+4*w.unitSamples, r.sampleCount)
	for k, b := range r.records {
		if k.service == service {
			w.records[k.workspace] = b
		}
	}
	return w
}

// backloggedWorkspaces returns the workspaces that had waiting requests all the
// time of the window, sorted by name.
func (w window) backloggedWorkspaces() []string {
	var names []string
	for name, b := range w.records {
		if w.lastSample >= len(b.samples) {
			continue
		}
		if !slices.ContainsFunc(b.samples[w.firstSample+1:w.lastSample+1], func(s sample) bool { return !s.backlogged }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// largestGap returns the largest gap between the given workspaces at any sample
// in the range, both ends included, in cost units per unit weight.
func (w window) largestGap(names []string, from, to int) float64 {
	largest := 0.0
	for i := from; i <= to; i++ {
		low, high := math.Inf(1), math.Inf(-1)
		for _, name := range names {
			b := w.records[name]
			x := float64(b.samples[i].received-b.samples[w.firstSample].received) / w.recorder.weight(name)
			low, high = min(low, x), max(high, x)
		}
		if len(names) > 1 {
			largest = max(largest, high-low)
		}
	}
	return largest
}

// serviceRate returns ServiceRate and BusyFraction of the report.
func (w window) serviceRate() (rate, busy float64) {
	delivered, periods := int64(0), 0
	for i := w.firstSample + 1; i <= w.lastSample; i++ {
		waits, sum := false, int64(0)
		for _, b := range w.records {
			waits = waits || b.samples[i].backlogged
			sum += b.samples[i].received - b.samples[i-1].received
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
	return float64(delivered) / seconds, float64(periods) / float64(w.lastSample-w.firstSample)
}

// received returns the service that a workspace received in the window.
func (w window) received(b *workspaceRecord) float64 {
	return float64(b.samples[w.lastSample].received - b.samples[w.firstSample].received)
}

// fairShares divides the received service by weighted max-min fairness.
func (w window) fairShares() map[string]float64 {
	total := 0.0
	var claims []Claim
	for name, b := range w.records {
		total += w.received(b)
		c := Claim{Workspace: name, Weight: w.recorder.weight(name), Demand: float64(b.offeredCost)}
		if b.unlimitedDemand {
			c.Demand = -1
		}
		claims = append(claims, c)
	}
	return FairShares(total, claims)
}

// leastRetained returns RetainedShare and LeastRetained of the report.
func (w window) leastRetained() (float64, string) {
	shares := w.fairShares()
	lowest, by := math.Inf(1), ""
	for name, b := range w.records {
		if shares[name] <= 0 || slices.Contains(w.recorder.workload.Flooders, name) {
			continue
		}
		part := w.received(b) / shares[name]
		if !b.unlimitedDemand {
			part = float64(b.deliveredCost) / shares[name]
		}
		if part < lowest || (part == lowest && name < by) {
			lowest, by = part, name
		}
	}
	return lowest, by
}
