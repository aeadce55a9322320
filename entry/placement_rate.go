package entry

import (
	"math"
	"time"
)

// Bounds of the Retry-After time of a refusal, in seconds.
const (
	minRetryAfterSeconds = 1
	maxRetryAfterSeconds = 60
	// rateWindow is the time over which placed requests are counted.
	rateWindow = 5 * time.Second
)

// placementRate counts the requests of a service that were placed in the
// current and the previous window.
type placementRate struct {
	start             time.Time
	current, previous int
}

// add counts one placed request.
func (p *placementRate) add(now time.Time) {
	if age := now.Sub(p.start); age >= rateWindow {
		p.previous = p.current
		if age >= 2*rateWindow {
			p.previous = 0
		}
		p.current = 0
		p.start = now
	}
	p.current++
}

// retryAfterSeconds returns the seconds after which a queue of the given length
// will be empty at the present rate. The result is within the bounds of
// Retry-After. If the rate is zero, it is half of the maximum.
func (p *placementRate) retryAfterSeconds(length int) int {
	rate := float64(max(p.current, p.previous)) / rateWindow.Seconds()
	if rate == 0 {
		return maxRetryAfterSeconds / 2
	}
	seconds := math.Ceil(float64(length) / rate)
	return int(min(max(seconds, minRetryAfterSeconds), maxRetryAfterSeconds))
}
