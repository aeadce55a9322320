package admission

import (
	"math"
	"time"
)

const (
	// slowPeriod and fastPeriod are the time constants of the averages of a Rate. The
	// slow one evens out calls of different sizes; the fast one follows a burst that
	// finds idle servers.
	slowPeriod = time.Second
	fastPeriod = 200 * time.Millisecond
	// settlingTime is the time for which costs must have been added before a Rate is
	// known.
	settlingTime = 250 * time.Millisecond
)

// Rate is a moving average of the cost per second of what was placed. The zero value
// is ready for use.
type Rate struct {
	slow, fast float64
	startedAt  time.Time
	at         time.Time
}

// Add adds the cost of a placed call.
func (r *Rate) Add(now time.Time, cost int64) {
	if r.startedAt.IsZero() {
		r.startedAt, r.at = now, now
	}
	r.decay(now)
	r.slow += float64(cost)
	r.fast += float64(cost)
}

// PerSecond returns the cost per second; 0 while it is not known.
func (r *Rate) PerSecond(now time.Time) float64 {
	age := now.Sub(r.startedAt)
	if r.startedAt.IsZero() || age < settlingTime {
		return 0
	}
	r.decay(now)
	return max(average(r.slow, slowPeriod, age), average(r.fast, fastPeriod, age))
}

// Idle reports whether next to nothing was added for several slow periods.
func (r *Rate) Idle(now time.Time) bool { return now.Sub(r.at) > 10*slowPeriod }

// decay reduces the sums by the time that has passed.
func (r *Rate) decay(now time.Time) {
	passed := now.Sub(r.at).Seconds()
	if passed <= 0 {
		return
	}
	r.slow *= math.Exp(-passed / slowPeriod.Seconds())
	r.fast *= math.Exp(-passed / fastPeriod.Seconds())
	r.at = now
}

// average returns the rate that a decaying sum stands for after the given time.
func average(sum float64, period, age time.Duration) float64 {
	return sum / period.Seconds() / (1 - math.Exp(-age.Seconds()/period.Seconds()))
}
