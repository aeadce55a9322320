package fair

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCapacityFraction is the fraction of the configured capacity below which the
	// capacity that is divided never falls.
	minCapacityFraction = 1.0 / 8
	// minThrottledSteps is the number of steps for which calls must have been throttled
	// before the service that was given tells the capacity. Reports of other daemons are
	// up to a second old.
	minThrottledSteps = 4
	// minExcess is the ratio of demand to service from which the service tells the
	// capacity. Below it, nearly every call is served, perhaps late.
	minExcess = 1.1
)

// availableService returns the service within the window that the workspaces can
// share; 0 if no capacity is configured. While calls are throttled, the fleet serves as
// much as it can, so that the rate of its service bounds the configured capacity:
// servers that are lost or slow make it less than configured.
func (w *Window) availableService(now time.Time) float64 {
	configured := w.capacity * (windowStep * windowSteps).Seconds()
	if w.throttling.IsZero() {
		return configured
	}
	// The current step is not over.
	steps := min(int(now.Sub(w.throttling)/windowStep), windowSteps-1)
	if steps < minThrottledSteps {
		return configured
	}
	given := w.served.last(w.step(now), steps)
	if w.asked.last(w.step(now), steps) < minExcess*given {
		return configured
	}
	return min(configured, max(given*windowSteps/float64(steps), configured*minCapacityFraction))
}

// updateThrottling records whether a call of any workspace was refused or placed late
// recently.
func (w *Window) updateThrottling(now time.Time) {
	for _, r := range w.rows {
		if now.Sub(r.throttledAt) >= throttledFor {
			continue
		}
		if w.throttling.IsZero() {
			w.throttling = now
		}
		return
	}
	w.throttling = time.Time{}
}

// maxMinLevel returns the level up to which all demands can be met with a
// capacity; 0 if the capacity is unknown.
func maxMinLevel(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.SortFunc(demands, cmp.Compare[float64])
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return capacity
}
