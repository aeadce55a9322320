package edge

import (
	"context"
	"time"
)

const (
	// leadTime is the time for which a stopping daemon still accepts calls, so that the
	// load balancer has removed it by then: the load balancer checks readiness
	// once a second and removes a daemon after two failed checks.
	leadTime = 3 * time.Second
	// leadFraction bounds leadTime as a fraction of the grace period, so that calls
	// which are taken at its end still have time.
	leadFraction = 0.5
	// shutdownMargin is subtracted from the grace period of the settings, so that
	// a stopping daemon ends within that period. shutdownMarginFraction bounds it as a
	// fraction of that period.
	shutdownMargin         = 600 * time.Millisecond
	shutdownMarginFraction = 0.1
)

// Stop ends the daemon gracefully. It serves on until callers have moved to
// other daemons, and cuts off what is still open when the grace period of the
// settings is almost over.
func (d *Daemon) Stop(ctx context.Context) {
	d.leaving.Store(true)
	d.journal.Note("", "stopping", "open", d.front.OpenCalls())
	grace := time.Duration(d.settings.ShutdownGracePeriod)
	stopsAt := time.Now().Add(grace - min(shutdownMargin, fractionOf(grace, shutdownMarginFraction)))
	d.stopsAt.Store(&stopsAt)
	ctx, cancel := context.WithDeadline(ctx, stopsAt)
	defer cancel()
	err := d.front.Shutdown(ctx, min(leadTime, fractionOf(grace, leadFraction)))
	d.cancel()
	d.relay.Close()
	d.journal.Note("", "stopped", "open", d.front.OpenCalls(), "error", err)
}

// fractionOf returns a fraction of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// stopTime returns the time at which the daemon ends the calls that still run; zero
// while it is not stopping.
func (d *Daemon) stopTime() time.Time {
	if t := d.stopsAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
