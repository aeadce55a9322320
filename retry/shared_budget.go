package retry

import (
	"sync"
	"time"
)

// Allowance is the retry budget of each service over all daemons. In each Period
// a service may get Ratio retries for each of its calls, and Slack retries in
// addition.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Period time.Duration
}

const (
	// periodSteps is the number of steps into which the sliding period is
	// divided.
	periodSteps = 20
	// usedBudgetFraction is the part of the budget that is used. The rest covers
	// calls that are counted in a different period than their retries.
	usedBudgetFraction = 0.7
)

// SharedBudget limits the retries of each service over all daemons. It counts the
// calls and the retries of this daemon in the last period. The daemons share the
// budget without messages: each uses the ratio of its own calls and an equal part
// of the slack. It is safe for concurrent use.
type SharedBudget struct {
	allowance Allowance
	daemons   func() int
	start     time.Time

	mu       sync.Mutex
	services map[string]*stepCounts
}

// stepCounts holds the counts of one service for each step of the period.
type stepCounts struct {
	lastStep       int64
	calls, retries [periodSteps]int
}

// NewSharedBudget returns a budget for an allowance that the given number of
// daemons shares.
func NewSharedBudget(a Allowance, daemons func() int) *SharedBudget {
	return &SharedBudget{allowance: a, daemons: daemons, start: time.Now(), services: map[string]*stepCounts{}}
}

// RecordCall counts a call to a service, which raises its budget.
func (w *SharedBudget) RecordCall(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, i := w.currentStep(service)
	s.calls[i]++
}

// Spend takes one retry of a service. It reports false if the budget is used up.
func (w *SharedBudget) Spend(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, i := w.currentStep(service)
	calls, retries := 0, 0
	for k := range periodSteps {
		calls += s.calls[k]
		retries += s.retries[k]
	}
	limit := w.allowance.Ratio*float64(calls) + w.allowance.Slack/float64(max(w.daemons(), 1))
	if float64(retries+1) > limit*usedBudgetFraction {
		return false
	}
	s.retries[i]++
	return true
}

// currentStep returns the counts of a service and the index of the current step.
// It clears the steps that are older than the period.
func (w *SharedBudget) currentStep(service string) (*stepCounts, int) {
	now := int64(time.Since(w.start) / (w.allowance.Period / periodSteps))
	s := w.services[service]
	if s == nil {
		s = &stepCounts{lastStep: now}
		w.services[service] = s
	}
	for n := min(now-s.lastStep, periodSteps); n > 0; n-- {
		i := (now - n + 1) % periodSteps
		s.calls[i], s.retries[i] = 0, 0
	}
	s.lastStep = max(s.lastStep, now)
	return s, int(now % periodSteps)
}
