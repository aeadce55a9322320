package edge

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder/memory"
)

// observePeriod is the time between two sets of log lines about load and
// shares. The lines stay few when calls are so many that their own lines are
// dropped.
const observePeriod = time.Second

// observedWait is the quantile of the waits for the processor that is logged.
const observedWait = 0.9

// observe logs load and shares until the context ends.
func (d *Daemon) observe(ctx context.Context) {
	t := time.NewTicker(observePeriod)
	defer t.Stop()
	var last memory.Stats
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.logLoad()
			d.logShares()
			last = d.logMemory(last)
		}
	}
}

// logMemory logs a line if connections found no room for their requests or answers, or
// gave way to others, since the last statistics. It returns the current ones.
func (d *Daemon) logMemory(last memory.Stats) memory.Stats {
	s := d.front.Memory()
	if s.Refused != last.Refused || s.Evicted != last.Evicted {
		d.journal.Note("", "memory_short", "head", s.Held["head"], "body", s.Held["body"], "answer", s.Held["answer"],
			"limit", s.Limit, "refused", s.Refused, "evicted", s.Evicted)
	}
	return s
}

// logLoad logs one line for each service at which calls wait or run.
func (d *Daemon) logLoad() {
	stats := d.pool.Stats()
	linkUse, gated := d.gate.stats()
	processorWait := d.processor.waitQuantile(observedWait)
	configAge, _ := d.tableStore.ConfirmationAge()
	for _, s := range stats.Services {
		if s.Waiting == 0 && s.Running == 0 {
			continue
		}
		d.journal.Note("", "load", "service", s.Service, "servers", s.Servers, "available", s.Available, "evacuated", s.Evacuated, "cold", s.Cold, "running", s.Running,
			"waiting", s.Waiting, "waiting_tokens", s.WaitingTokens, "mean_wait", s.MeanWait, "wasted", s.WastedCost,
			"first_tokens", s.FirstTokens.Count, "ratio_p10", s.FirstTokens.P10, "ratio_p50", s.FirstTokens.P50, "ratio_p90", s.FirstTokens.P90, "ratio_p99", s.FirstTokens.P99,
			"sweep_delay", stats.SweepDelay, "timer_delay", stats.TimerDelay, "request_delay", d.gate.requestDelay(), "processor_wait", processorWait, "store_age", configAge, "link_use", linkUse, "gated", gated, "open", d.front.OpenCalls(), "connections", d.front.OpenConns(), "shed", d.front.ShedConns(), "daemons", d.liveDaemons())
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
