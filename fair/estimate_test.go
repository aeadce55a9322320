package fair

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a workspace that sets its charges by its cost hints.
func TestEstimateIsLearned(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a"})
	is.Equal(c.EstimateCost(model, "w0", 100), int64(100))
	is.Equal(c.EstimateCost(model, "w1", 300), int64(200)) // the average hint, because no request has ended
	for range maxSamples {
		c.RecordCost(model, "w0", 50)
	}
	is.Equal(c.EstimateCost(model, "w0", 1_000_000), int64(50))
	is.Equal(c.EstimateCost(model, "w0", 1), int64(50))
	is.Equal(c.EstimateCost(model, "w1", 1), int64(50)) // the average of the service
}

// Guards against an average that does not follow a workspace whose kind of work
// changes.
func TestMeanFollowsTheWork(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a"})
	for range 1000 {
		c.RecordCost(model, "w0", 100)
	}
	for range 4 * maxSamples {
		c.RecordCost(model, "w0", 900)
	}
	is.True(c.EstimateCost(model, "w0", 1) > 850)
}
