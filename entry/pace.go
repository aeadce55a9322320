package entry

import (
	"math"
	"time"
)

// Bounds of the retry time that a refusal names, in seconds.
const (
	minRetry = 1
	maxRetry = 60
	// paceWindow is the time over which placed requests are counted.
	paceWindow = 5 * time.Second
)

// pace counts the placed requests of a service in the current and the last
// window.
type pace struct {
	start     time.Time
	now, last int
}

// add counts one placed request.
func (p *pace) add(now time.Time) {
	if age := now.Sub(p.start); age >= paceWindow {
		p.last = p.now
		if age >= 2*paceWindow {
			p.last = 0
		}
		p.now = 0
		p.start = now
	}
	p.now++
}

// retry returns the seconds after which a queue of the given length is gone at
// the present pace.
func (p *pace) retry(length int) int {
	rate := float64(max(p.now, p.last)) / paceWindow.Seconds()
	if rate == 0 {
		return maxRetry / 2
	}
	seconds := math.Ceil(float64(length) / rate)
	return int(min(max(seconds, minRetry), maxRetry))
}
