package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against rates that stay those of another engine, and against samples with
// unknown causes, one in ten here, that make an engine look slower than it is.
func TestRatesAreLearned(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	for _, tokensPerMs := range []float64{40, 90, 160} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		r := NewRates(60*time.Millisecond, 90, 2*time.Millisecond)
		for range 400 {
			tokens, streams := int(1000*math.Exp(random.NormFloat64())), random.IntN(20)
			took := (25 + float64(tokens)/tokensPerMs + 0.5*float64(streams)) * math.Exp(0.15*random.NormFloat64())
			if random.IntN(10) == 0 {
				took *= 5
			}
			r = r.With(Sample{Tokens: tokens, Streams: streams, Took: duration(took)})
		}
		is.True(math.Abs(math.Log(r.TokensPerMs()/tokensPerMs)) < 0.15)
		expected := r.Base() + r.Read(2000) + r.Streams(10)
		is.True(math.Abs(math.Log(milliseconds(expected)/(25+2000/tokensPerMs+5))) < 0.15)
	}
}

// Guards against rates without meaning after samples without meaning.
func TestRatesStayWithinBounds(t *testing.T) {
	is := is.New(t)
	r := NewRates(60*time.Millisecond, 90, 2*time.Millisecond)
	for i := range 1000 {
		r = r.With(Sample{Tokens: i % 2, Took: time.Duration(i%3) * time.Hour})
	}
	is.True(r.Base() > 0 && r.Base() <= 500*time.Millisecond)
	is.True(r.TokensPerMs() >= 5 && r.TokensPerMs() <= 2000)
	is.True(r.Streams(1) >= 0 && r.Streams(1) <= 5*time.Millisecond)
}

// Guards against a moment of other work on a machine that counts as its usual speed, and
// against a stated figure that counts for ever.
func TestWorkTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var w WorkTime
	is.True(!w.IsKnown())
	is.Equal(w.At(now), 1.0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		w = w.With(0.7, now)
	}
	w = w.With(1.75, now.Add(100*time.Millisecond))
	now = w.StatedAt()
	is.Equal(w.At(now), 1.75)
	is.True(math.Abs(w.At(now.Add(2*time.Second))-0.7) < 0.05)
	is.True(math.Abs(float64(w.Scale(now, time.Millisecond))/float64(time.Millisecond)-1.75) < 0.01)
	is.True(w.Scale(now, 5*time.Second) < 4500*time.Millisecond) // 8.75 s at the moment's work time
	is.Equal(w.With(9, now.Add(-time.Second)), w)
	is.Equal(w.With(0, now.Add(time.Second)), w)
}
