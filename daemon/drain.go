package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/operator"
)

// stages are the steps of a graceful shutdown that have been reached.
type stages struct {
	// draining is set first: load balancers and peers are told to send no more
	// requests, but requests are still served.
	draining atomic.Bool
	// refusing is set after the lead time: new requests are refused.
	refusing atomic.Bool
	// finished is set once the last request has ended or was cut off.
	finished atomic.Bool
}

// Times of a graceful shutdown.
const (
	// ticketPollInterval is the time between two counts of the running tickets.
	ticketPollInterval = 50 * time.Millisecond
	// operatorGracePeriod is how long operators can still query the daemon
	// after the last request has ended.
	operatorGracePeriod = time.Second
)

// CallerServer accepts the requests of callers.
type CallerServer interface {
	// OpenRequests returns the number of open requests.
	OpenRequests() int
	// Shutdown waits until the open requests have ended. The end of the context
	// cuts them off.
	Shutdown(ctx context.Context) error
}

// Drain starts a graceful shutdown. Further calls have no effect. Done is
// closed when the shutdown is complete.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// run waits for Drain, performs the graceful shutdown and then stops all parts.
// If the context ends first, it stops them at once.
func (d *Daemon) run(ctx context.Context) {
	defer d.cancel()
	select {
	case <-ctx.Done():
		return
	case <-d.drainRequested:
	}
	d.GracefulShutdown(ctx, d.caller)
}

// Draining reports whether load balancers should send no more requests.
func (d *Core) Draining() bool { return d.stages.draining.Load() }

// Refusing reports whether new requests are refused.
func (d *Core) Refusing() bool { return d.stages.refusing.Load() }

// DrainStatus returns the progress of a graceful shutdown, given the number of
// open requests.
func (d *Core) DrainStatus(openRequests int) operator.DrainStatus {
	return operator.DrainStatus{
		Draining:     d.stages.draining.Load(),
		OpenRequests: openRequests + d.issuer.Running(),
		Done:         d.stages.finished.Load(),
	}
}

// GracefulShutdown announces the shutdown to load balancers and peers, serves
// requests for the lead time, then refuses new requests and waits for the
// running ones, at most for the drain timeout of the settings. The caller must
// end the context of the core afterwards.
func (d *Core) GracefulShutdown(ctx context.Context, server CallerServer) {
	d.journal.Note("", "draining", "open", server.OpenRequests())
	d.stages.draining.Store(true)
	d.mesh.SetDraining(true)
	d.mesh.TriggerRound()
	sleep(ctx, time.Duration(d.settings.LeadTime))
	d.stages.refusing.Store(true)
	d.issuer.StartDraining()
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.DrainTimeout))
	defer cancel()
	if err := server.Shutdown(drainCtx); err != nil {
		d.journal.Note("", "drain_limit", "open", server.OpenRequests(), "error", err)
	}
	for d.issuer.Running() > 0 && drainCtx.Err() == nil {
		sleep(drainCtx, ticketPollInterval)
	}
	d.stages.finished.Store(true)
	d.journal.Note("", "drained")
	sleep(ctx, operatorGracePeriod)
}

// sleep waits for a time or for the end of the context.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
