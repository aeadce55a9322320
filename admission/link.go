package admission

import (
	"math"
	"time"
)

const (
	// linkPeriod is the time constant of the measured use of a link.
	linkPeriod = 500 * time.Millisecond
	// headBytes is assumed as the size of a request's head and of the packets' headers.
	headBytes = 512
	// bitsPerByte and bitsPerMegabit convert the rates of links.
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Link measures which part of a link's rate the requests of callers take. The rest is left
// to the answers of servers, the store and the other daemons.
type Link struct {
	bytesPerSecond float64
	sum            float64
	at             time.Time
}

// NewLink returns a link without traffic; a rate of 0 is not known.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * bitsPerMegabit / bitsPerByte} }

// Add adds a request whose body has the given size.
func (l *Link) Add(now time.Time, bodyBytes int) {
	l.decay(now)
	// What is read faster than the link carries it had waited in this machine.
	l.sum = min(l.sum+float64(max(bodyBytes, 0)+headBytes), linkPeriod.Seconds()*l.bytesPerSecond)
}

// Use returns the part of the rate that is in use; 0 if the rate is not known.
func (l *Link) Use(now time.Time) float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.decay(now)
	return l.sum / linkPeriod.Seconds() / l.bytesPerSecond
}

// decay reduces the sum by the time that has passed.
func (l *Link) decay(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.sum *= math.Exp(-passed.Seconds() / linkPeriod.Seconds())
		l.at = now
	}
}
