package fair

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a charge that a workspace chooses by its hints.
func TestExpectIsLearned(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a"})
	is.Equal(c.EstimateCost(model, "w0", 100), int64(100))
	is.Equal(c.EstimateCost(model, "w1", 300), int64(200)) // the mean hint, as nothing is known
	for range learnMost {
		c.RecordCost(model, "w0", 50)
	}
	is.Equal(c.EstimateCost(model, "w0", 1_000_000), int64(50))
	is.Equal(c.EstimateCost(model, "w0", 1), int64(50))
	is.Equal(c.EstimateCost(model, "w1", 1), int64(50)) // the mean of the service
}

// Guards against a mean that does not follow a workspace that changes its work.
func TestMeanFollowsTheWork(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a"})
	for range 1000 {
		c.RecordCost(model, "w0", 100)
	}
	for range 4 * learnMost {
		c.RecordCost(model, "w0", 900)
	}
	is.True(c.EstimateCost(model, "w0", 1) > 850)
}
