package edge

import (
	"context"
	"time"
)

// observePeriod is the time between two sets of log lines about load and
// shares. The lines stay few when calls are so many that their own lines are
// dropped.
const observePeriod = time.Second

// observe logs load and shares until the context ends.
func (d *Daemon) observe(ctx context.Context) {
	t := time.NewTicker(observePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.logLoad()
			d.logShares()
		}
	}
}

// logLoad logs one line for each service at which calls wait or run.
func (d *Daemon) logLoad() {
	stats := d.pool.Stats()
	linkUse, gated := d.gate.stats()
	for _, s := range stats.Services {
		if s.Waiting == 0 && s.Running == 0 {
			continue
		}
		d.journal.Note("", "load", "service", s.Service, "servers", s.Servers, "available", s.Available, "running", s.Running,
			"waiting", s.Waiting, "waiting_tokens", s.WaitingTokens, "mean_wait", s.MeanWait, "wasted", s.WastedCost,
			"sweep_delay", stats.SweepDelay, "timer_delay", stats.TimerDelay, "link_use", linkUse, "gated", gated, "open", d.front.OpenCalls(), "connections", d.front.OpenConns(), "shed", d.front.ShedConns(), "daemons", d.liveDaemons())
	}
}

// logShares logs one line for each workspace of which this daemon has recently
// refused calls or placed them late.
func (d *Daemon) logShares() {
	dump := d.window.Dump()
	least := int64(-1)
	if dump.LeastStarved != nil {
		least = *dump.LeastStarved
	}
	for _, r := range dump.Workspaces {
		if !r.OwnThrottled {
			continue
		}
		d.journal.Note("", "share", "workspace", r.Workspace, "standing", r.Standing, "demand", r.Demand, "service", r.Service,
			"own_demand", r.OwnDemand, "own_service", r.OwnService, "level", dump.Level, "least", least)
	}
}
