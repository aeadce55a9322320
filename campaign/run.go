package campaign

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options configures a run.
type Options struct {
	// Seed determines the calls and the faults.
	Seed uint64
	// Requests is the number of calls.
	Requests int
}

// Result is the outcome of a run: the violated invariants and the counters of
// the report by name.
type Result struct {
	Options
	Violations []Violation
	Counts     map[string]int
	history    *history
}

// The times of a run.
const (
	// warmUp is the time for the daemons to discover each other.
	warmUp = 12 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 4 * time.Second
	// minLoadDuration is the shortest time for which calls and faults are
	// generated.
	minLoadDuration = 30 * time.Second
	// cleanupTime lets goroutines end after the context of the run.
	cleanupTime = time.Minute
)

// Run runs a fleet under faults and checks its history. It must be called in a
// testing/synctest bubble.
func Run(ctx context.Context, o Options) Result {
	ctx, cancel := context.WithCancel(ctx)
	f := newFleet(ctx, o.Seed)
	sleep(ctx, warmUp)
	span := max(minLoadDuration, time.Duration(o.Requests)*callInterval)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runCalls(planCalls(o.Seed, o.Requests, span))
	}()
	f.runFaults(planFaults(o.Seed, int(span/meanFaultInterval), span))
	f.history.note("", "all faults have ended")
	sleep(ctx, recoveryDeadline)
	f.checkFleetState()
	f.checkLostContracts()
	if f.waitForCallers(done) {
		sleep(ctx, lostContractDelay)
		f.checkIdle()
		f.checkFill()
	}
	cancel()
	time.Sleep(cleanupTime)
	f.checkHistory()
	return Result{Options: o, Violations: f.history.violations, Counts: f.history.counts, history: f.history}
}

// waitForCallers waits for the last callers. It reports whether they ended in
// time.
func (f *fleet) waitForCallers(done <-chan struct{}) bool {
	limit := time.NewTimer(callersDeadline)
	defer limit.Stop()
	select {
	case <-done:
		return true
	case <-limit.C:
		f.history.violate(checkWait, "", "callers still wait %v after the last fault", callersDeadline)
		return false
	}
}

// String returns the counters and the violations, the first maxTraces of them
// with a trace.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d requests, %d violations", r.Seed, r.Requests, len(r.Violations))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "; %s %d", name, r.Counts[name])
	}
	for i, v := range r.Violations {
		fmt.Fprintf(&b, "\n%s: %s %s at %.3fs", v.Check, v.Subject, v.Text, v.At.Sub(r.history.start).Seconds())
		if i < maxTraces {
			fmt.Fprintf(&b, "\n%s", r.history.trace(v))
		}
	}
	return b.String()
}

// maxTraces limits how many violations are printed with a trace.
const maxTraces = 3

func itoa(i int) string { return strconv.Itoa(i) }
