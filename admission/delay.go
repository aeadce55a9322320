package admission

import (
	"math"
	"time"
)

const (
	// delayPeriod is the time constant of a Delay.
	delayPeriod = 200 * time.Millisecond
	// maxSingleDelay, and delayGrowth times the mean, bound a single delay. A process that
	// stood still once works on as usual.
	maxSingleDelay = 100 * time.Millisecond
	delayGrowth    = 2
)

// Delay is the mean delay of a timer that fires at regular intervals, over about
// delayPeriod. The zero value is ready for use.
type Delay struct {
	mean    time.Duration
	firedAt time.Time
}

// Fire records that the timer fires now, an interval after the last time or later.
func (d *Delay) Fire(now time.Time, interval time.Duration) {
	passed := now.Sub(d.firedAt)
	if !d.firedAt.IsZero() {
		late := min(max(passed-interval, 0), delayGrowth*d.mean+maxSingleDelay)
		weight := 1 - math.Exp(-passed.Seconds()/delayPeriod.Seconds())
		d.mean += time.Duration(weight * float64(late-d.mean))
	}
	d.firedAt = now
}

// Mean returns the mean delay.
func (d *Delay) Mean() time.Duration { return d.mean }
