package campaign

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

var (
	seeds    = flag.Int("seeds", 3, "number of seeds of the campaign")
	first    = flag.Uint64("first", 1, "first seed of the campaign")
	requests = flag.Int("requests", 400, "number of requests for each seed")
)

// Guards against an invariant of section 1.2 of docs/design.md that is violated
// only when faults of different kinds coincide.
func TestCampaign(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expectNoViolations(t, Run(t.Context(), Options{Seed: seed, Requests: *requests}))
			})
		})
	}
}

// expectNoViolations checks that a run violated no invariant, injected faults
// and completed answers.
func expectNoViolations(t *testing.T, r Result) {
	t.Helper()
	is := is.New(t)
	t.Log(r)
	is.Equal(len(r.Violations), 0)            // invariants were violated
	is.True(r.Counts["faults"] > 0)           // no fault was injected
	is.True(r.Counts["complete answers"] > 0) // nothing was answered
}
