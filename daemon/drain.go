package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/operator"
)

// stages are the steps of a graceful stop.
type stages struct {
	// draining tells the load balancer and the peers; requests are served.
	draining atomic.Bool
	// refusing refuses new requests.
	refusing atomic.Bool
	// finished is set once the last request has ended.
	finished atomic.Bool
}

// Times of a graceful stop.
const (
	// ticketPollInterval is the period at which running tickets are counted.
	ticketPollInterval = 50 * time.Millisecond
	// operatorGracePeriod is how long operators can still ask after the last request.
	operatorGracePeriod = time.Second
)

// CallerServer accepts the requests of callers.
type CallerServer interface {
	// Open returns the number of open requests.
	Open() int
	// Shutdown waits for the open requests; the end of the context cuts them
	// off.
	Shutdown(ctx context.Context) error
}

// Drain starts a graceful stop; more calls change nothing. Done is closed at
// its end.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// run waits for the end of the context or a graceful stop, and ends all parts.
func (d *Daemon) run(ctx context.Context) {
	defer d.cancel()
	select {
	case <-ctx.Done():
		return
	case <-d.drainRequested:
	}
	d.GracefulShutdown(ctx, d.caller)
}

// Draining reports whether load balancers should send no more.
func (d *Core) Draining() bool { return d.stages.draining.Load() }

// Refusing reports whether new requests are refused.
func (d *Core) Refusing() bool { return d.stages.refusing.Load() }

// DrainStatus returns the progress of a graceful shutdown, given the number of
// open requests.
func (d *Core) DrainStatus(open int) operator.DrainStatus {
	return operator.DrainStatus{
		Draining:     d.stages.draining.Load(),
		OpenRequests: open + d.issuer.Running(),
		Done:         d.stages.finished.Load(),
	}
}

// GracefulShutdown announces the shutdown to load balancers and peers, serves
// requests for the lead time, then refuses new requests and waits for the
// running ones. The caller must end the context of the core afterwards.
func (d *Core) GracefulShutdown(ctx context.Context, f CallerServer) {
	d.journal.Note("", "draining", "open", f.Open())
	d.stages.draining.Store(true)
	d.mesh.SetDraining(true)
	d.mesh.TriggerRound()
	sleep(ctx, time.Duration(d.settings.LeadTime))
	d.stages.refusing.Store(true)
	d.issuer.StartDraining()
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.DrainLimit))
	defer cancel()
	if err := f.Shutdown(drainCtx); err != nil {
		d.journal.Note("", "drain_limit", "open", f.Open(), "error", err)
	}
	for d.issuer.Running() > 0 && drainCtx.Err() == nil {
		sleep(drainCtx, ticketPollInterval)
	}
	d.stages.finished.Store(true)
	d.journal.Note("", "drained")
	sleep(ctx, operatorGracePeriod)
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
