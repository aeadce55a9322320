package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

// drawJobs draws a workload of two seconds.
func drawJobs(rt *rapid.T, daemons int) []job {
	models := []string{"", "base", "large"}
	jobs := make([]job, rapid.IntRange(1, 120).Draw(rt, "jobs"))
	for i := range jobs {
		j := job{
			At:        time.Duration(rapid.IntRange(0, 2000).Draw(rt, "at")) * time.Millisecond,
			Daemon:    rapid.IntRange(0, daemons-1).Draw(rt, "daemon"),
			Workspace: rapid.IntRange(0, 4).Draw(rt, "workspace"),
			Runs:      time.Duration(rapid.IntRange(0, 400).Draw(rt, "runs")) * time.Millisecond,
			Urgency:   rapid.IntRange(0, 2).Draw(rt, "urgency"),
			Model:     rapid.SampledFrom(models).Draw(rt, "model"),
			Prefix:    uint64(rapid.IntRange(0, 3).Draw(rt, "prefix")),
			Cost:      int64(rapid.IntRange(1, 500).Draw(rt, "cost")),
			Estimate:  int64(rapid.IntRange(1, 500).Draw(rt, "estimate")),
		}
		if rapid.IntRange(0, 9).Draw(rt, "impatient") == 0 {
			j.Patience = time.Duration(rapid.IntRange(1, 300).Draw(rt, "patience")) * time.Millisecond
		}
		jobs[i] = j
	}
	return jobs
}

// drawSlots draws the number of servers and the slots of each.
func drawSlots(rt *rapid.T) []int {
	return rapid.SliceOfN(rapid.IntRange(1, 4), 2, 6).Draw(rt, "slots")
}

// bubble runs a fleet on virtual time and returns the violated invariants.
func bubble(t *testing.T, daemons int, slots []int, f func(*rig) []string) []string {
	var bad []string
	synctest.Test(t, func(*testing.T) {
		bad = f(newRig(daemons, slots...))
	})
	return bad
}

// submitAll starts the jobs.
func (r *rig) submitAll(jobs []job) {
	for i, j := range jobs {
		r.submit(fmt.Sprintf("r-%d", i), j)
	}
}

// Guards against leaked slots, double grants, more requests on a server than
// its limit, slots that stay idle while requests wait, and charges that differ
// from the true cost.
func TestFleetWithoutFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 4).Draw(rt, "daemons")
		jobs := drawJobs(rt, daemons)
		bad := bubble(t, daemons, drawSlots(rt), func(r *rig) []string {
			r.submitAll(jobs)
			r.work.Wait()
			time.Sleep(50 * time.Millisecond)
			r.checkCharges(jobs)
			return r.finish(50 * time.Millisecond)
		})
		if len(bad) > 0 {
			rt.Fatalf("%v", bad)
		}
	})
}

// checkCharges checks that the charges of all homes add up to the cost of the
// requests that ran.
func (r *rig) checkCharges(jobs []job) {
	var charged, most int64
	for _, d := range r.liveRuns() {
		for w := range 5 {
			charged += d.shares.WorkspaceTotal("nib-scribe", fmt.Sprintf("w-%d", w))
		}
	}
	for _, j := range jobs {
		most += j.Cost
	}
	if r.codes[wigeonladder.CodeOK] == len(jobs) && charged != most {
		r.fail("charged %d of %d", charged, most)
	}
	if charged < 0 || charged > most {
		r.fail("charged %d of %d", charged, most)
	}
}

// Guards against a request that waits for a timer although the home in its own
// process has a free slot.
func TestOwnHomeNeedsNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			r.submit(fmt.Sprint("r", i), job{Runs: time.Second, Cost: 1})
		}
		began := time.Now()
		bad := r.finish(0)
		is.Equal(time.Since(began), 5*time.Second) // each grant follows a release at once
		is.Equal(len(bad), 0)
	})
}
