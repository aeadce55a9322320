package estimate

import (
	"math"
	"time"
)

const (
	// usualMemory is the time constant of the usual work time. It is long against the
	// moments for which other work on the machine slows a server down.
	usualMemory = 3 * time.Second
	// momentMemory is the time constant with which the work time that was stated last
	// loses its meaning for the present one.
	momentMemory = 250 * time.Millisecond
	// workTimeMin and workTimeMax bound a stated work time.
	workTimeMin, workTimeMax = 0.05, 50.0
)

// WorkTime is how long work takes on a server's machine, relative to the usual time of
// its service, as the server states it. The zero value is that of a server that states
// none.
type WorkTime struct {
	usual, last float64
	at          time.Time
	count       int
}

// IsKnown reports whether the server states a work time.
func (w WorkTime) IsKnown() bool { return w.count > 0 }

// StatedAt returns the time of the last statement.
func (w WorkTime) StatedAt() time.Time { return w.at }

// Last returns the work time that was stated last; 0 for none.
func (w WorkTime) Last() float64 { return w.last }

// With returns the work time after a statement that was made at a time. Older statements
// than the last one, and those that state nothing, change nothing.
func (w WorkTime) With(stated float64, at time.Time) WorkTime {
	if stated <= 0 || w.count > 0 && !at.After(w.at) {
		return w
	}
	stated = min(max(stated, workTimeMin), workTimeMax)
	if w.count == 0 {
		return WorkTime{usual: stated, last: stated, at: at, count: 1}
	}
	weight := max(1/float64(w.count+1), 1-math.Exp(-float64(at.Sub(w.at))/float64(usualMemory)))
	return WorkTime{usual: w.usual + (stated-w.usual)*weight, last: stated, at: at, count: w.count + 1}
}

// At returns the expected work time at a time: the stated one, which gives way to the
// usual one as it ages; 1 for a server that states none.
func (w WorkTime) At(now time.Time) float64 {
	if w.count == 0 {
		return 1
	}
	return w.usual + (w.last-w.usual)*math.Exp(-max(float64(now.Sub(w.at)), 0)/float64(momentMemory))
}

// Scale returns how long work that starts at a time takes on the machine, given its time
// at a work time of 1. Over long work the moment gives way to the usual work time.
func (w WorkTime) Scale(now time.Time, d time.Duration) time.Duration {
	if w.count == 0 || d <= 0 {
		return d
	}
	long := float64(d) * w.usual / float64(momentMemory)
	deviation := (w.At(now) - w.usual) * (1 - math.Exp(-long)) / long
	return time.Duration(float64(d) * (w.usual + deviation))
}

// Usual returns the usual work time; 1 for a server that states none.
func (w WorkTime) Usual() float64 {
	if w.count == 0 {
		return 1
	}
	return w.usual
}
