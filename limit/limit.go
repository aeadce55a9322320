// Package limit learns how many requests one backend server should run at once,
// as section 5 of docs/design.md describes. The limit falls by a tenth when
// first-token or inter-token times miss their targets, and rises by one when it
// was reached and both targets were met.
package limit

import (
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// window is the number of observations that decide on a raise: with fewer
	// than 20 a 95th percentile means nothing.
	window = 20
	// allowed is the number of misses in a window that keeps a target at the
	// 95th percentile.
	allowed = window / 20
	// cutPart is the divisor of the limit that a missed target takes off.
	cutPart = 10
)

// Limit is the learned concurrency limit of one server. It implements
// wigeonladder.Limiter and is safe for concurrent use.
type Limit struct {
	mu    sync.Mutex
	slots int
	max   int

	seen    int
	missed  int
	reached bool
	// skip is the number of observations to pass over after a cut: these
	// attempts started under the old limit.
	skip int
}

var _ wigeonladder.Limiter = (*Limit)(nil)

// New returns a limit that starts at start and stays between 1 and max. A max
// below start is raised to it.
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

// Observe implements wigeonladder.Limiter. Failed attempts have no meaningful
// times and are passed over. The number of slots in use includes the one of the
// ended attempt.
func (l *Limit) Observe(u wigeonladder.Usage, inUse int) {
	if u.Failed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skip > 0 {
		l.skip--
		return
	}
	l.seen++
	l.reached = l.reached || inUse >= l.slots
	if misses(u) {
		l.missed++
	}
	switch {
	case l.missed > allowed:
		l.cut(inUse)
	case l.seen >= window:
		l.raise()
	}
}

// cut lowers the limit by a tenth, at least by one.
func (l *Limit) cut(inUse int) {
	less := (l.slots + cutPart - 1) / cutPart
	l.slots = max(1, l.slots-less)
	l.restart()
	l.skip = max(0, inUse-1)
}

// raise lifts the limit by one if it was reached.
func (l *Limit) raise() {
	if l.reached {
		l.slots = min(l.max, l.slots+1)
	}
	l.restart()
}

func (l *Limit) restart() {
	l.seen, l.missed, l.reached = 0, 0, false
}

// misses reports whether an attempt missed one of the targets.
func misses(u wigeonladder.Usage) bool {
	return u.FirstToken > wigeonladder.TargetFirstToken || u.InterToken > wigeonladder.TargetInterToken
}
