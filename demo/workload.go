package demo

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// RequestSource is one source of requests of a workspace. It is closed if Clients is
// set: each client sends its next request when the last one ended. Otherwise it
// is open: requests come at Rate, whatever happens to them.
type RequestSource struct {
	Workspace string
	Service   string
	Urgency   wigeonladder.Urgency
	Clients   int
	// Rate is in requests per second.
	Rate float64
	// MeanCost is the mean cost in cost units. Costs are log-normal.
	MeanCost float64
	// HintFactor is the factor by which every size hint is wrong; 0 for a random one.
	HintFactor float64
	// From and To bound the sending; 0 means the whole workload.
	From, To time.Duration
	// EntryFractions gives the part of the requests that each entry VM gets, in the
	// order of the register.
	EntryFractions []float64
}

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// FaultDaemonCrash stops the daemon on an entry VM at once; its open requests
	// break. It starts again without memory.
	FaultDaemonCrash FaultKind = "daemon lost"
	// FaultZoneCut cuts a zone off from the others; the zone rejoins.
	FaultZoneCut FaultKind = "zone cut"
	// FaultServerSlow multiplies the times of a backend server.
	FaultServerSlow FaultKind = "server slow"
)

// Fault is one fault of a workload.
type Fault struct {
	Kind FaultKind
	// Target is the VM, the zone or the server.
	Target string
	// At is when the fault begins, Duration how long it lasts.
	At, Duration time.Duration
	// SlowFactor is by how much a server is slower.
	SlowFactor float64
}

// Workload is what one run does, as data. The same seed gives the same
// requests to every policy.
type Workload struct {
	Name    string
	Seed    uint64
	Sources []RequestSource
	Faults  []Fault
	// WarmUp is the time before measuring begins. WindowUnit is the time T of the
	// targets; measuring lasts four of it.
	WarmUp, WindowUnit time.Duration
	// DrainTime is how long the open requests may take at the end.
	DrainTime time.Duration
	// Flooders are the workspaces that flood; their service is not part of
	// the retained service.
	Flooders []string
	// Speedup divides all times of the run; costs stay the same. 1 by default.
	Speedup float64
}

// SendDuration returns the time in which requests are sent.
func (w Workload) SendDuration() time.Duration { return w.WarmUp + 4*w.WindowUnit }

// WithSeed returns a copy with another seed.
func (w Workload) WithSeed(seed uint64) Workload {
	w.Seed = seed
	return w
}

// WithSpeedup returns a copy that runs faster by a factor. The servers must be
// faster by the same factor.
func (w Workload) WithSpeedup(factor float64) Workload {
	w.Speedup = factor
	return w
}

// WithTimes returns a copy with other times for warm-up and measuring. Faults
// and bounds of streams keep their place within the run.
func (w Workload) WithTimes(warm, unit time.Duration) Workload {
	old := w.SendDuration()
	w.WarmUp, w.WindowUnit = warm, unit
	move := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(w.SendDuration()) / float64(old))
	}
	streams := append([]RequestSource(nil), w.Sources...)
	for i := range streams {
		streams[i].From, streams[i].To = move(streams[i].From), move(streams[i].To)
	}
	faults := append([]Fault(nil), w.Faults...)
	for i := range faults {
		faults[i].At, faults[i].Duration = move(faults[i].At), move(faults[i].Duration)
	}
	w.Sources, w.Faults = streams, faults
	return w
}

// real converts a time of the workload to the runtime's clock.
func (w Workload) real(d time.Duration) time.Duration {
	if w.Speedup == 0 {
		return d
	}
	return time.Duration(float64(d) / w.Speedup)
}
