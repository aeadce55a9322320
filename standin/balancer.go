package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/fake"
)

const (
	// probePeriod is how often a balancer probes each entry daemon.
	probePeriod = 100 * time.Millisecond
	// probeLimit bounds one probe.
	probeLimit = 2 * time.Second
)

// balancer chooses entry daemons as a load balancer does: it probes each of them
// and prefers those that are ready.
type balancer struct {
	entries []string
	ready   []atomic.Bool
	done    sync.WaitGroup
}

// newBalancer returns a balancer that probes until the context ends. It counts
// every entry as ready until the first probe. It calls left when an entry stops
// being ready.
func newBalancer(ctx context.Context, entries []string, left func()) *balancer {
	b := &balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	for i, entry := range entries {
		b.ready[i].Store(true)
		b.done.Go(func() {
			probe := NewCaller("").WithAddress(entry)
			defer probe.Close()
			tick := time.NewTicker(probePeriod)
			defer tick.Stop()
			for {
				ok := probeOnce(ctx, probe)
				if b.ready[i].Swap(ok) && !ok {
					left()
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	return b
}

// probeOnce asks one entry daemon whether it is ready.
func probeOnce(ctx context.Context, probe *fake.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	return probe.Ready(ctx)
}

// pick returns the n-th entry of those that are ready, or of all if none is.
func (b *balancer) pick(n int) string {
	var ready []string
	for i, entry := range b.entries {
		if b.ready[i].Load() {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		ready = b.entries
	}
	return ready[n%len(ready)]
}

// wait returns when the probes have ended.
func (b *balancer) wait() { b.done.Wait() }
