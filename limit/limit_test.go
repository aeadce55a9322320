package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// server is a model of an engine whose times rise beyond a knee.
type server struct {
	knee  int
	slow  float64
	noise *rand.Rand
}

// usage returns the times of an attempt among others.
func (s server) usage(running int) wigeonladder.Usage {
	load := s.slow * max(1, float64(running)/float64(s.knee))
	jitter := 1 + 0.04*s.noise.NormFloat64()
	return wigeonladder.Usage{
		Cost:       100,
		FirstToken: time.Duration(0.8 * load * jitter * float64(wigeonladder.TargetFirstToken)),
		InterToken: time.Duration(0.8 * load * jitter * float64(wigeonladder.TargetInterToken)),
	}
}

// run keeps a server at its limit for some attempts and returns the lowest and
// the highest limit of the second half.
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

// within fails unless a range of limits is inside another.
func within(t *testing.T, low, high, floor, ceiling int) {
	t.Helper()
	t.Logf("limit between %d and %d", low, high)
	if low < floor || high > ceiling {
		t.Errorf("limit between %d and %d, want %d to %d", low, high, floor, ceiling)
	}
}

// Guards against a limit that settles far from what a server can do, keeps a
// slow server busy, stays low after it healed, or oscillates widely.
func TestFollowsTheServer(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := server{knee: 20, slow: 1, noise: rand.New(rand.NewPCG(seed, 1))}
			l := New(16, 64)
			low, high := run(l, s, 4000)
			within(t, low, high, 17, 26) // the targets are met up to 25 but for jitter
			s.slow = 2.5
			low, high = run(l, s, 4000)
			within(t, low, high, 1, 4) // at any number above 1 the targets are missed
			s.slow = 1
			low, high = run(l, s, 4000)
			within(t, low, high, 17, 26)
		})
	}
}

// Guards against a limit that rises although the server was never full.
func TestRisesOnlyWhenReached(t *testing.T) {
	is := is.New(t)
	s := server{knee: 20, slow: 1, noise: rand.New(rand.NewPCG(1, 1))}
	l := New(16, 64)
	for range 1000 {
		l.Observe(s.usage(8), 8)
	}
	is.Equal(l.Slots(), 16)
}

// Guards against failures being read as fast answers, and against limits
// outside the register's bounds.
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
