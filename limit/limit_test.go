package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// server simulates an engine whose latencies rise once more than knee requests
// run. The factor slow scales the latencies, and noise adds jitter.
type server struct {
	knee  int
	slow  float64
	noise *rand.Rand
}

// usage returns the usage of one attempt while the given number of requests run.
func (s server) usage(running int) wigeonladder.Usage {
	load := s.slow * max(1, float64(running)/float64(s.knee))
	jitter := 1 + 0.04*s.noise.NormFloat64()
	return wigeonladder.Usage{
		Cost:       100,
		FirstToken: time.Duration(0.8 * load * jitter * float64(wigeonladder.TargetFirstToken)),
		InterToken: time.Duration(0.8 * load * jitter * float64(wigeonladder.TargetInterToken)),
	}
}

// run keeps a server at its limit for a number of attempts. It returns the lowest
// and the highest limit of the second half.
func run(l *Limit, s server, attempts int) (low, high int) {
	low, high = 1<<30, 0
	for i := range attempts {
		n := l.Slots()
		l.Observe(s.usage(n), n)
		if i >= attempts/2 {
			low, high = min(low, l.Slots()), max(high, l.Slots())
		}
	}
	return low, high
}

// within fails the test unless low and high are between floor and ceiling.
func within(t *testing.T, low, high, floor, ceiling int) {
	t.Helper()
	t.Logf("limit between %d and %d", low, high)
	if low < floor || high > ceiling {
		t.Errorf("limit between %d and %d, want %d to %d", low, high, floor, ceiling)
	}
}

// Guards against a limit that settles far from the server's capacity, overloads
// a server that became slow, stays low after it recovered, or oscillates widely.
func TestFollowsTheServer(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := server{knee: 20, slow: 1, noise: rand.New(rand.NewPCG(seed, 1))}
			l := New(16, 64)
			low, high := run(l, s, 4000)
			within(t, low, high, 17, 26) // without jitter the targets are met up to 25
			s.slow = 2.5
			low, high = run(l, s, 4000)
			within(t, low, high, 1, 4) // the targets are missed at every limit above 1
			s.slow = 1
			low, high = run(l, s, 4000)
			within(t, low, high, 17, 26)
		})
	}
}

// Guards against a limit that rises although it was never reached.
func TestRisesOnlyWhenReached(t *testing.T) {
	is := is.New(t)
	s := server{knee: 20, slow: 1, noise: rand.New(rand.NewPCG(1, 1))}
	l := New(16, 64)
	for range 1000 {
		l.Observe(s.usage(8), 8)
	}
	is.Equal(l.Slots(), 16)
}

// Guards against failed attempts that count as fast ones, and against limits
// outside the configured bounds.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := New(16, 20)
	for range 1000 {
		l.Observe(wigeonladder.Usage{Failed: true}, 16)
	}
	is.Equal(l.Slots(), 16)
	for range 1000 {
		l.Observe(wigeonladder.Usage{FirstToken: time.Millisecond}, 20)
	}
	is.Equal(l.Slots(), 20)
	for range 1000 {
		l.Observe(wigeonladder.Usage{FirstToken: time.Second}, 20)
	}
	is.Equal(l.Slots(), 1)
	is.Equal(New(0, 0).Slots(), 1)
}
