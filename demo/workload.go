package demo

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// RequestSource generates requests of one workspace to one service. It is a
// closed loop if Clients is above 0: each client sends its next request when
// the previous one has ended. Otherwise it is an open loop: requests are sent
// at Rate, whether or not earlier ones have ended.
type RequestSource struct {
	Workspace string
	Service   string
	Urgency   wigeonladder.Urgency
	Clients   int
	// Rate is the rate of an open loop in requests per second.
	Rate float64
	// MeanCost is the mean of the log-normal costs, in cost units.
	MeanCost float64
	// HintFactor is the ratio of every size hint to the true cost; 0 for a random
	// ratio per request.
	HintFactor float64
	// From and To limit the time in which requests are sent. A To of 0 means the
	// end of the workload.
	From, To time.Duration
	// EntryFractions gives the fraction of the requests that each entry VM gets,
	// in the order of the register.
	EntryFractions []float64
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultDaemonCrash ends the daemon on an entry VM at once, which breaks its
	// open requests. At the end of the fault the daemon starts again without its
	// earlier state.
	FaultDaemonCrash FaultKind = "daemon lost"
	// FaultZoneCut cuts the links between a zone and the others. The end of the
	// fault restores them.
	FaultZoneCut FaultKind = "zone cut"
	// FaultServerSlow multiplies the times of a backend server by SlowFactor.
	FaultServerSlow FaultKind = "server slow"
)

// Fault is one fault of a workload.
type Fault struct {
	Kind FaultKind
	// Target is the name of the VM, the zone or the backend server.
	Target string
	// At is when the fault begins and Duration how long it lasts.
	At, Duration time.Duration
	// SlowFactor is the factor of FaultServerSlow.
	SlowFactor float64
}

// Workload describes the requests and the faults of one run. The same seed
// gives the same requests under every policy.
type Workload struct {
	Name    string
	Seed    uint64
	Sources []RequestSource
	Faults  []Fault
	// WarmUp is the time before the measured window. WindowUnit is the time T of
	// the targets; the window lasts four times as long.
	WarmUp, WindowUnit time.Duration
	// DrainTime is how long the open requests may take after the window.
	DrainTime time.Duration
	// Flooders are the workspaces that exceed the capacity of the fleet. They are
	// left out of the retained share.
	Flooders []string
	// Speedup divides all times of the run; costs stay the same. 0 means 1.
	Speedup float64
}

// SendDuration returns the time in which requests are sent, which is the
// warm-up and the measured window.
func (w Workload) SendDuration() time.Duration { return w.WarmUp + 4*w.WindowUnit }

// WithSeed returns a copy with another seed.
func (w Workload) WithSeed(seed uint64) Workload {
	w.Seed = seed
	return w
}

// WithSpeedup returns a copy that runs faster by a factor. The backend servers
// must be faster by the same factor.
func (w Workload) WithSpeedup(factor float64) Workload {
	w.Speedup = factor
	return w
}

// WithTimes returns a copy with another warm-up and another unit of the
// measured window. The times of the faults and the request sources are scaled
// with the length of the run.
func (w Workload) WithTimes(warm, unit time.Duration) Workload {
	old := w.SendDuration()
	w.WarmUp, w.WindowUnit = warm, unit
	rescale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(w.SendDuration()) / float64(old))
	}
	sources := append([]RequestSource(nil), w.Sources...)
	for i := range sources {
		sources[i].From, sources[i].To = rescale(sources[i].From), rescale(sources[i].To)
	}
	faults := append([]Fault(nil), w.Faults...)
	for i := range faults {
		faults[i].At, faults[i].Duration = rescale(faults[i].At), rescale(faults[i].Duration)
	}
	w.Sources, w.Faults = sources, faults
	return w
}

// clockTime converts a time of the workload to a time on the runtime's clock.
func (w Workload) clockTime(d time.Duration) time.Duration {
	if w.Speedup == 0 {
		return d
	}
	return time.Duration(float64(d) / w.Speedup)
}
