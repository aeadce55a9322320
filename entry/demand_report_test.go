package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a demand report for every change of a long queue, and against
// the opposite: a home that runs out of known demand while many requests wait.
// The rig reports a slot that stays free while requests wait.
func TestLongQueueIsReportedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 1200
		r := newRig(3, 4, 4)
		time.Sleep(2 * time.Second)
		before := r.crossings()
		for i := range requests {
			r.submit(fmt.Sprint("r", i), job{At: time.Duration(i) * time.Millisecond, Daemon: 2, Runs: 50 * time.Millisecond, Cost: 1, Workspace: i % 3})
		}
		r.work.Wait()
		calls := float64(r.crossings()-before) / requests
		t.Logf("%.2f crossings for each request", calls)
		report(t, r.finish(time.Second))
		// A grant and its release take 4; one report to each of two homes at each
		// change would add 4.
		is.True(calls <= 5)
	})
}
