package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
)

// watch checks the ledgers and queues every millisecond while requests wait,
// else every 10 ms.
func (r *rig) watch() {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-r.root.Done():
			return
		case <-t.C:
			period := 10 * time.Millisecond
			if r.check() {
				period = time.Millisecond
			}
			t.Reset(period)
		}
	}
}

// check checks the invariants of every running daemon at one moment. It reports
// whether requests wait.
func (r *rig) check() (busy bool) {
	waits := map[string]string{}
	for _, d := range r.liveRuns() {
		for _, w := range d.queue.Dump().Waiting {
			waits[w.Request] = w.Model
		}
	}
	for _, d := range r.liveRuns() {
		for _, s := range d.checkLedger() {
			r.checkIdle(d, s, waits)
		}
	}
	return len(waits) > 0
}

// liveRuns returns the runs of the daemons that are not killed.
func (r *rig) liveRuns() []*daemonRun {
	var lives []*daemonRun
	for i := range r.config.Register.VMs {
		if l := r.currentRun(i); l.ctx.Err() == nil {
			lives = append(lives, l)
		}
	}
	return lives
}

// checkLedger checks that the slots of a ledger add up, and that no free slot
// fits a demand that the home knows.
func (d *daemonRun) checkLedger() []contract.ServerDump {
	dump := d.ledger.Dump()
	used := map[string]int{}
	for _, c := range dump.Contracts {
		used[c.Contract.Server]++
	}
	for _, s := range dump.Servers {
		if used[s.Name] != s.InUse || s.InUse < 0 {
			d.rig.fail("%s: %d contracts, %d slots in use", s.Name, used[s.Name], s.InUse)
		}
		for _, m := range dump.Demands {
			if s.Free > 0 && m.Demand.Waiting > m.GrantsInFlight && d.rig.fits(s.Name, m.Demand.Model) && !d.closed() {
				d.rig.fail("%s is free while %s knows demand %+v", s.Name, d.vm.Name, m)
			}
		}
	}
	return dump.Servers
}

// fits reports whether a server has a model.
func (r *rig) fits(server, model string) bool {
	for _, s := range r.config.Register.Services[0].Servers {
		if s.Name == server {
			return model == "" || slices.Contains(s.Models, model)
		}
	}
	return false
}

// checkIdle checks that no slot stays free longer than maxIdle while a request
// that fits it waits. The map contains the models of the waiting requests.
func (r *rig) checkIdle(d *daemonRun, s contract.ServerDump, waits map[string]string) {
	for _, other := range r.liveRuns() {
		if other.node.State(s.Name) == wigeonladder.StateLeaving {
			return // daemons that know of it place no more requests there
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := d.vm.Name + " " + s.Name
	if r.idleSince[key] == nil {
		r.idleSince[key] = map[string]time.Time{}
	}
	since := r.idleSince[key]
	wanted := func(request string) bool {
		model, waiting := waits[request]
		return waiting && s.Free > 0 && r.fits(s.Name, model)
	}
	maps.DeleteFunc(since, func(request string, _ time.Time) bool { return !wanted(request) })
	for request := range waits {
		if !wanted(request) {
			continue
		}
		if since[request].IsZero() {
			since[request] = time.Now()
		}
		if idle := time.Since(since[request]); !r.idleSlotsAllowed.Load() && idle > maxIdle && len(r.violations) < 20 {
			r.violations = append(r.violations, fmt.Sprintf("%s was free for %v while %s waited", key, idle, request))
			delete(since, request)
		}
	}
}

// finish waits for the submitted requests and some more time, checks that no
// contract, demand or request is left, and returns the violated invariants.
func (r *rig) finish(after time.Duration) []string {
	r.work.Wait()
	time.Sleep(after)
	r.check()
	for _, d := range r.liveRuns() {
		if l := d.ledger.Dump(); len(l.Contracts) > 0 || len(l.Demands) > 0 {
			r.fail("%s is left with %d contracts, %d demands", d.vm.Name, len(l.Contracts), len(l.Demands))
		}
		if q := d.queue.Dump(); len(q.Held) > 0 || len(q.Waiting) > 0 {
			r.fail("%s is left with %d contracts, %d requests", d.vm.Name, len(q.Held), len(q.Waiting))
		}
	}
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
