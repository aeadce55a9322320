// Package limit adapts the number of requests that one backend server runs
// concurrently, as section 5 of docs/design.md describes. The limit falls by a
// tenth when first-token or inter-token times miss their targets, and rises by
// one when it was reached and both targets were met.
package limit

import (
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// windowObservations is the number of observations after which the limit
	// may rise. A 95th percentile of fewer than 20 values has no meaning.
	windowObservations = 20
	// maxMisses is the number of observations in a window that may miss a
	// target while the 95th percentiles still meet both targets.
	maxMisses = windowObservations / 20
	// cutDivisor divides the limit; too many missed targets lower the limit by
	// the quotient, rounded up.
	cutDivisor = 10
)

// Limit is the adaptive concurrency limit of one server. It implements
// wigeonladder.Limiter and is safe for concurrent use.
type Limit struct {
	mu    sync.Mutex
	slots int
	max   int

	observations int
	misses       int
	reached      bool
	// skipRemaining is the number of observations to ignore after a cut: these
	// attempts started under the old limit.
	skipRemaining int
}

var _ wigeonladder.Limiter = (*Limit)(nil)

// New returns a limit that starts at start and stays between 1 and max. If max
// is below start, it is raised to start.
func New(start, max int) *Limit {
	l := &Limit{slots: start, max: max}
	if l.slots < 1 {
		l.slots = 1
	}
	if l.max < l.slots {
		l.max = l.slots
	}
	return l
}

// Slots implements wigeonladder.Limiter.
func (l *Limit) Slots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots
}

// Observe implements wigeonladder.Limiter. It ignores failed attempts, whose
// times have no meaning. The number of slots in use includes the slot of the
// attempt that ended.
func (l *Limit) Observe(u wigeonladder.Usage, inUse int) {
	if u.Failed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skipRemaining > 0 {
		l.skipRemaining--
		return
	}
	l.observations++
	l.reached = l.reached || inUse >= l.slots
	if missedTarget(u) {
		l.misses++
	}
	switch {
	case l.misses > maxMisses:
		l.cut(inUse)
	case l.observations >= windowObservations:
		l.raise()
	}
}

// cut lowers the limit by a tenth, at least by one.
func (l *Limit) cut(inUse int) {
	less := (l.slots + cutDivisor - 1) / cutDivisor
	l.slots = max(1, l.slots-less)
	l.restart()
	l.skipRemaining = max(0, inUse-1)
}

// raise increases the limit by one if it was reached.
func (l *Limit) raise() {
	if l.reached {
		l.slots = min(l.max, l.slots+1)
	}
	l.restart()
}

func (l *Limit) restart() {
	l.observations, l.misses, l.reached = 0, 0, false
}

// missedTarget reports whether an attempt missed one of the targets.
func missedTarget(u wigeonladder.Usage) bool {
	return u.FirstToken > wigeonladder.TargetFirstToken || u.InterToken > wigeonladder.TargetInterToken
}
