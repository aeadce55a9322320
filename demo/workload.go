package demo

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Stream is one source of requests of a workspace. It is closed if Clients is
// set: each client sends its next request when the last one ended. Otherwise it
// is open: requests come at Rate, whatever happens to them.
type Stream struct {
	Workspace string
	Service   string
	Urgency   wigeonladder.Urgency
	Clients   int
	// Rate is in requests per second.
	Rate float64
	// Mean is the mean cost in cost units. Costs are log-normal.
	Mean float64
	// Hint is the factor by which every size hint is wrong; 0 for a random one.
	Hint float64
	// From and To bound the sending; 0 means the whole workload.
	From, To time.Duration
	// Spread gives the part of the requests that each entry VM gets, in the
	// order of the register.
	Spread []float64
}

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// FaultDaemon stops the daemon on an entry VM at once; its open requests
	// break. It starts again without memory.
	FaultDaemon FaultKind = "daemon lost"
	// FaultZone cuts a zone off from the others; the zone rejoins.
	FaultZone FaultKind = "zone cut"
	// FaultSlow multiplies the times of a backend server.
	FaultSlow FaultKind = "server slow"
)

// Fault is one fault of a workload.
type Fault struct {
	Kind FaultKind
	// Target is the VM, the zone or the server.
	Target string
	// At is when the fault begins, For how long it lasts.
	At, For time.Duration
	// Factor is by how much a server is slower.
	Factor float64
}

// Workload is what one run does, as data. The same seed gives the same
// requests to every policy.
type Workload struct {
	Name    string
	Seed    uint64
	Streams []Stream
	Faults  []Fault
	// Warm is the time before measuring begins. Unit is the time T of the
	// targets; measuring lasts four of it.
	Warm, Unit time.Duration
	// Drain is how long the open requests may take at the end.
	Drain time.Duration
	// Flooders are the workspaces that flood; their service is not part of
	// the retained service.
	Flooders []string
	// Scale divides all times of the run; costs stay the same. 1 by default.
	Scale float64
}

// Length returns the time in which requests are sent.
func (w Workload) Length() time.Duration { return w.Warm + 4*w.Unit }

// WithSeed returns a copy with another seed.
func (w Workload) WithSeed(seed uint64) Workload {
	w.Seed = seed
	return w
}

// WithScale returns a copy that runs faster by a factor. The servers must be
// faster by the same factor.
func (w Workload) WithScale(factor float64) Workload {
	w.Scale = factor
	return w
}

// WithTimes returns a copy with other times for warm-up and measuring. Faults
// and bounds of streams keep their place within the run.
func (w Workload) WithTimes(warm, unit time.Duration) Workload {
	old := w.Length()
	w.Warm, w.Unit = warm, unit
	move := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(w.Length()) / float64(old))
	}
	streams := append([]Stream(nil), w.Streams...)
	for i := range streams {
		streams[i].From, streams[i].To = move(streams[i].From), move(streams[i].To)
	}
	faults := append([]Fault(nil), w.Faults...)
	for i := range faults {
		faults[i].At, faults[i].For = move(faults[i].At), move(faults[i].For)
	}
	w.Streams, w.Faults = streams, faults
	return w
}

// real converts a time of the workload to the runtime's clock.
func (w Workload) real(d time.Duration) time.Duration {
	if w.Scale == 0 {
		return d
	}
	return time.Duration(float64(d) / w.Scale)
}
