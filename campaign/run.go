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

// Options configure a run.
type Options struct {
	// Seed chooses the calls and the faults.
	Seed uint64
	// Requests is the number of calls.
	Requests int
}

// Result is the outcome of a run.
type Result struct {
	Options
	Violations []Violation
	Counts     map[string]int
	history    *history
}

// Times of a run.
const (
	// warmUp is the time for the daemons to find each other.
	warmUp = 12 * time.Second
	// faultEvery is the mean time between two faults.
	faultEvery = 4 * time.Second
	// leastSpan is the shortest time of calls and faults.
	leastSpan = 30 * time.Second
	// windDown lets goroutines end after the last context.
	windDown = time.Minute
)

// Run runs a fleet under faults and checks its history. It must be called in a
// testing/synctest bubble.
func Run(ctx context.Context, o Options) Result {
	ctx, cancel := context.WithCancel(ctx)
	f := newFleet(ctx, o.Seed)
	sleep(ctx, warmUp)
	span := max(leastSpan, time.Duration(o.Requests)*callEvery)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.drive(newCalls(o.Seed, o.Requests, span))
	}()
	f.inject(newFaults(o.Seed, int(span/faultEvery), span))
	f.history.note("", "all faults have ended")
	sleep(ctx, settleWithin)
	f.checkSettled()
	f.checkLostContracts()
	if f.finish(done) {
		sleep(ctx, persistFor)
		f.checkIdle()
		f.checkFill()
	}
	cancel()
	time.Sleep(windDown)
	f.judge()
	return Result{Options: o, Violations: f.history.violations, Counts: f.history.counts, history: f.history}
}

// finish waits for the last callers.
func (f *fleet) finish(done <-chan struct{}) bool {
	limit := time.NewTimer(finishWithin)
	defer limit.Stop()
	select {
	case <-done:
		return true
	case <-limit.C:
		f.history.violate(checkWait, "", "callers still wait %v after the last fault", finishWithin)
		return false
	}
}

// String returns the counts and, for each violation, the trace around it.
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

// maxTraces bounds the violations that are shown with a trace.
const maxTraces = 3

// itoa returns a number as text.
func itoa(i int) string { return strconv.Itoa(i) }
