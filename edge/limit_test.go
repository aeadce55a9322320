package edge_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// limitSpan is the span over which the limit of a server is checked, contactTime
	// the time after which it has to be kept.
	limitSpan   = 4 * time.Second
	contactTime = 3 * time.Second
)

// load makes calls to all daemons in turn until the context ends.
func (r *rig) load(ctx context.Context, period time.Duration, call func() stub.Call) {
	var calls sync.WaitGroup
	defer calls.Wait()
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c, address := call(), r.callerAddresses[n%len(r.callerAddresses)]
		calls.Go(func() { _, _ = r.caller.Do(context.WithoutCancel(ctx), address, c) })
	}
}

// mostArrivals returns the most arrivals within a span, after a time.
func mostArrivals(l []stub.Arrival, from time.Time, span time.Duration) int {
	most := 0
	for i, a := range l {
		n := 0
		for _, b := range l[i:] {
			if b.At.Sub(a.At) <= span {
				n++
			}
		}
		if a.At.After(from) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a server that gets several times the limit that it named, because no
// daemon reads it, or because each keeps it for itself, and against one that gets much
// less than it takes, or gets no calls after the limit has ended.
func TestLimitOfAServerHoldsForAllDaemons(t *testing.T) {
	const limit = 3.0
	is := is.New(t)
	r := newRig(t, withDaemons(4), withEngines(2))
	for _, s := range r.engines {
		s.SetLimit("3")
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), contactTime+2*limitSpan)
	defer cancel()
	r.load(ctx, 10*time.Millisecond, func() stub.Call { return r.prompt("/stream/x") })
	allowed := 1.5*limit*limitSpan.Seconds() + 5
	for _, s := range r.engines {
		after := 0
		for _, a := range s.Arrivals() {
			if a.At.After(start.Add(contactTime)) {
				after++
			}
		}
		t.Logf("%d arrivals in %v at a limit of %g a second", after, 2*limitSpan, limit)
		is.True(float64(mostArrivals(s.Arrivals(), start.Add(contactTime), limitSpan)) <= allowed)
		is.True(float64(after) >= limit*limitSpan.Seconds()) // half of what it takes
		s.SetLimit("")
	}
	ended := time.Now()
	ctx, cancel = context.WithTimeout(t.Context(), contactTime+limitSpan)
	defer cancel()
	r.load(ctx, 10*time.Millisecond, func() stub.Call { return r.prompt("/stream/x") })
	for _, s := range r.engines {
		is.True(float64(mostArrivals(s.Arrivals(), ended.Add(contactTime), limitSpan)) > allowed)
	}
}
