package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/operator"
)

// stages are the steps of a graceful stop.
type stages struct {
	once  sync.Once
	start chan struct{}
	// draining tells the load balancer and the peers; requests are served.
	draining atomic.Bool
	// refusing refuses new requests.
	refusing atomic.Bool
	// finished is set once the last request has ended.
	finished atomic.Bool
}

// Times of a graceful stop.
const (
	// ticketPoll is the period at which running tickets are counted.
	ticketPoll = 50 * time.Millisecond
	// farewell is how long operators can still ask after the last request.
	farewell = time.Second
)

// Drain starts a graceful stop; more calls change nothing. Done is closed at
// its end.
func (d *Daemon) Drain() {
	d.stages.once.Do(func() { close(d.stages.start) })
}

// Status tells how far a graceful stop is.
func (d *Daemon) Status() operator.Status {
	return operator.Status{
		Draining: d.stages.draining.Load(),
		Open:     d.caller.Open() + d.book.Running(),
		Done:     d.stages.finished.Load(),
	}
}

// live waits for the end of the context or a graceful stop, and ends all parts.
func (d *Daemon) live(ctx context.Context) {
	defer d.cancel()
	select {
	case <-ctx.Done():
		return
	case <-d.stages.start:
	}
	d.stop(ctx)
}

// stop is the graceful stop: tell everyone, serve for the lead time, refuse new
// requests, wait for the running ones.
func (d *Daemon) stop(ctx context.Context) {
	d.journal.Note("", "draining", "open", d.caller.Open())
	d.stages.draining.Store(true)
	d.mesh.SetDraining(true)
	d.mesh.Spread()
	pause(ctx, time.Duration(d.settings.LeadTime))
	d.stages.refusing.Store(true)
	d.book.Seal()
	end, cancel := context.WithTimeout(ctx, time.Duration(d.settings.DrainLimit))
	defer cancel()
	if err := d.caller.Shutdown(end); err != nil {
		d.journal.Note("", "drain_limit", "open", d.caller.Open(), "error", err)
	}
	for d.book.Running() > 0 && end.Err() == nil {
		pause(end, ticketPoll)
	}
	d.stages.finished.Store(true)
	d.journal.Note("", "drained")
	pause(ctx, farewell)
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
