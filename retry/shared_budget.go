package retry

import (
	"sync"
	"time"
)

// Allowance is the part of a shared retry budget that one daemon may spend. In
// each period a service may get Ratio retries for each of its calls, and Slack
// beyond these over all daemons.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Period time.Duration
}

const (
	// windowSteps is the number of steps in which a period slides.
	windowSteps = 20
	// allowanceShare is the part of the budget that is used. The rest covers
	// calls that are counted in another period than their retries.
	allowanceShare = 0.7
)

// SharedBudget counts the calls and the retries of each service in the last period.
// All daemons share the budget without messages: each uses the ratio of its own
// calls and an equal part of the slack.
type SharedBudget struct {
	allowance Allowance
	daemons   func() int
	start     time.Time

	mu       sync.Mutex
	services map[string]*steps
}

// steps are the counts of one service, a step at a time.
type steps struct {
	last           int64
	calls, retries [windowSteps]int
}

// NewSharedBudget returns a window for an allowance that the given number of daemons
// shares.
func NewSharedBudget(a Allowance, daemons func() int) *SharedBudget {
	return &SharedBudget{allowance: a, daemons: daemons, start: time.Now(), services: map[string]*steps{}}
}

// RecordCall counts a call to a service.
func (w *SharedBudget) RecordCall(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, i := w.at(service)
	s.calls[i]++
}

// Spend takes one retry and reports whether there was one.
func (w *SharedBudget) Spend(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, i := w.at(service)
	calls, retries := 0, 0
	for k := range windowSteps {
		calls += s.calls[k]
		retries += s.retries[k]
	}
	limit := w.allowance.Ratio*float64(calls) + w.allowance.Slack/float64(max(w.daemons(), 1))
	if float64(retries+1) > limit*allowanceShare {
		return false
	}
	s.retries[i]++
	return true
}

// at returns the counts of a service and the current step, with old steps
// cleared.
func (w *SharedBudget) at(service string) (*steps, int) {
	now := int64(time.Since(w.start) / (w.allowance.Period / windowSteps))
	s := w.services[service]
	if s == nil {
		s = &steps{last: now}
		w.services[service] = s
	}
	for n := min(now-s.last, windowSteps); n > 0; n-- {
		i := (now - n + 1) % windowSteps
		s.calls[i], s.retries[i] = 0, 0
	}
	s.last = max(s.last, now)
	return s, int(now % windowSteps)
}
