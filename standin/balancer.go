package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/fake"
)

const (
	// probeInterval is the interval at which a balancer probes each entry daemon.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 2 * time.Second
)

// balancer chooses entry daemons as a load balancer does: it probes their readiness
// and prefers those that are ready.
type balancer struct {
	entries []string
	ready   []atomic.Bool
	probers sync.WaitGroup
}

// newBalancer returns a balancer that probes until the context is cancelled. It
// treats every entry as ready until its first probe, and calls onNotReady when an
// entry stops being ready.
func newBalancer(ctx context.Context, entries []string, onNotReady func()) *balancer {
	b := &balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	for i, entry := range entries {
		b.ready[i].Store(true)
		b.probers.Go(func() {
			probe := NewCaller("").WithAddress(entry)
			defer probe.Close()
			tick := time.NewTicker(probeInterval)
			defer tick.Stop()
			for {
				ok := probeOnce(ctx, probe)
				if b.ready[i].Swap(ok) && !ok {
					onNotReady()
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

// probeOnce probes the readiness of one entry daemon.
func probeOnce(ctx context.Context, probe *fake.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return probe.Ready(ctx)
}

// pick returns the n-th of the ready entries, counted modulo their number, or of all
// entries if none is ready.
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

// wait waits until the probes have ended.
func (b *balancer) wait() { b.probers.Wait() }
