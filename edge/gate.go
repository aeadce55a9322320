package edge

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/forward"
)

// gate applies an admission.DaemonGate to the measured load of the process. It implements
// forward.Gate.
type gate struct {
	timerDelay func() time.Duration
	// requestDelay returns the time for which requests wait to be read.
	requestDelay func() time.Duration

	mu      sync.Mutex
	gate    admission.DaemonGate
	link    *admission.Link
	refused int
}

var _ forward.Gate = (*gate)(nil)

// Refusal implements forward.Gate.
func (g *gate) Refusal(h admission.Head) *wigeonladder.Error {
	delay := g.delay()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.link.Add(now, h.BodyBytes)
	err := g.gate.Refusal(g.load(delay, now), h)
	if err != nil {
		g.refused++
	}
	return err
}

// HopelessRefusal implements forward.Gate.
func (g *gate) HopelessRefusal(h admission.Head) *wigeonladder.Error {
	delay := g.delay()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	err := g.load(delay, now).HopelessRefusal(h)
	if err != nil {
		// The caller has sent the body, or most of it, all the same.
		g.link.Add(now, h.BodyBytes)
		g.refused++
	}
	return err
}

// delay returns the time for which work waits for the processor.
func (g *gate) delay() time.Duration { return max(g.timerDelay(), g.requestDelay()) }

// load returns the load of the process. It must be called with the lock held.
func (g *gate) load(delay time.Duration, now time.Time) admission.DaemonLoad {
	return admission.DaemonLoad{Delay: delay, LinkUse: g.link.Use(now)}
}

// gateMetrics is what is published of a gate.
type gateMetrics struct {
	// TimerDelayMicros is the mean delay of timers, RequestDelayMicros the mean time for
	// which requests wait to be read, both in microseconds, LinkUse the part of the link's
	// rate that requests take, Refused the number of refused calls since the start.
	TimerDelayMicros   int64   `json:"timerDelayMicros"`
	RequestDelayMicros int64   `json:"requestDelayMicros"`
	LinkUse            float64 `json:"linkUse"`
	Refused            int     `json:"refused"`
}

// metrics returns what is published of the gate.
func (g *gate) metrics() gateMetrics {
	linkUse, refused := g.stats()
	return gateMetrics{TimerDelayMicros: g.timerDelay().Microseconds(), RequestDelayMicros: g.requestDelay().Microseconds(), LinkUse: linkUse, Refused: refused}
}

// stats returns the use of the link and the number of calls that were refused since the
// start.
func (g *gate) stats() (linkUse float64, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.link.Use(time.Now()), g.refused
}
