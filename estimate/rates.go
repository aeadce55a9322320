package estimate

import "time"

const (
	// sampleMemory is the number of samples after which a sample has lost most of its
	// weight.
	sampleMemory = 200.0
	// priorSamples is the weight of the initial rates in samples, at each of priorTokens
	// and with priorStreams.
	priorSamples = 2.0
	priorStreams = 10.0
	// maxDeviation is the deviation from the expectation, relative to it, beyond which a
	// sample counts less: the cause of a larger one is probably not known.
	maxDeviation = 0.3
	// Bounds of the rates.
	baseMin, baseMax           = 1.0, 500.0
	perTokenMin, perTokenMax   = 1.0 / 2000, 1.0 / 5
	perStreamMin, perStreamMax = 0.0, 5.0
)

// priorTokens are the lengths of prompts at which the initial rates count as observed.
var priorTokens = [...]float64{0, 2000, 20000}

// Sample is a first token whose causes are known.
type Sample struct {
	// Tokens is the number of prompt tokens that the server had to read, with those of
	// earlier requests, Streams the number of requests that it ran meanwhile.
	Tokens, Streams int
	// Took is the time from the sending of the request to the first token, divided by
	// the work time of the server.
	Took time.Duration
}

// Rates are the times that the engines of a service need at the usual work time. They are
// learned by weighted least squares.
type Rates struct {
	// base, perToken and perStream are in milliseconds.
	base, perToken, perStream float64
	moments                   [3][3]float64
	sums                      [3]float64
}

// NewRates returns rates before any sample: the time to the first token of an idle
// engine, the number of tokens that it reads in a millisecond, and the delay for each
// running stream.
func NewRates(base time.Duration, tokensPerMs float64, perStream time.Duration) Rates {
	r := Rates{base: milliseconds(base), perToken: 1 / tokensPerMs, perStream: milliseconds(perStream)}
	for _, t := range priorTokens {
		for _, streams := range [...]float64{0, priorStreams} {
			r.add([3]float64{1, t, streams}, r.expected(t, streams), priorSamples)
		}
	}
	return r
}

// Base returns the time to the first token of an idle engine that has nothing to read.
func (r Rates) Base() time.Duration { return duration(r.base) }

// Read returns the time to read prompt tokens.
func (r Rates) Read(tokens int) time.Duration { return duration(float64(tokens) * r.perToken) }

// Streams returns the delay that running streams cause.
func (r Rates) Streams(n int) time.Duration { return duration(float64(n) * r.perStream) }

// TokensPerMs returns the number of prompt tokens that are read in a millisecond.
func (r Rates) TokensPerMs() float64 { return 1 / r.perToken }

// With returns the rates after a sample.
func (r Rates) With(s Sample) Rates {
	for i := range r.moments {
		for k := range r.moments[i] {
			r.moments[i][k] *= 1 - 1/sampleMemory
		}
		r.sums[i] *= 1 - 1/sampleMemory
	}
	x, took := [3]float64{1, float64(s.Tokens), float64(s.Streams)}, milliseconds(s.Took)
	expected := r.expected(x[1], x[2])
	weight := 1.0
	if deviation := abs(took-expected) / expected; deviation > maxDeviation {
		weight = maxDeviation / deviation
	}
	r.add(x, took, weight)
	return r.solved()
}

// expected returns the expected time to the first token in milliseconds.
func (r Rates) expected(tokens, streams float64) float64 {
	return r.base + tokens*r.perToken + streams*r.perStream
}

// add adds an observation. Its error counts relative to the expected time.
func (r *Rates) add(x [3]float64, took, weight float64) {
	e := r.expected(x[1], x[2])
	weight /= e * e
	for i := range x {
		for k := range x {
			r.moments[i][k] += weight * x[i] * x[k]
		}
		r.sums[i] += weight * x[i] * took
	}
}

// solved returns the rates that fit the observations best, within the bounds.
func (r Rates) solved() Rates {
	a, b := r.moments, r.sums
	for i := range a {
		if a[i][i] <= 0 {
			return r
		}
		for k := range a {
			if k == i {
				continue
			}
			f := a[k][i] / a[i][i]
			for c := range a[k] {
				a[k][c] -= f * a[i][c]
			}
			b[k] -= f * b[i]
		}
	}
	r.base = min(max(b[0]/a[0][0], baseMin), baseMax)
	r.perToken = min(max(b[1]/a[1][1], perTokenMin), perTokenMax)
	r.perStream = min(max(b[2]/a[2][2], perStreamMin), perStreamMax)
	return r
}

func abs(x float64) float64 { return max(x, -x) }

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration returns the duration of a number of milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
