package entry_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
)

// watch checks the ledgers and queues each millisecond, each ten while nothing
// waits.
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

// check tests the invariants of every live daemon at one moment; it reports
// whether work waits.
func (r *rig) check() (busy bool) {
	waits := map[string]bool{}
	for _, d := range r.live() {
		for _, w := range d.queue.Dump().Waiting {
			waits[w.Model] = true
		}
	}
	for _, d := range r.live() {
		for _, s := range d.checkLedger() {
			r.checkIdle(d, s, waits)
		}
	}
	return len(waits) > 0
}

// live returns the daemons that run.
func (r *rig) live() []*life {
	var lives []*life
	for i := range r.config.Register.VMs {
		if l := r.life(i); l.ctx.Err() == nil {
			lives = append(lives, l)
		}
	}
	return lives
}

// checkLedger tests that the slots of a ledger add up, and that no free slot
// fits a demand that the home knows.
func (d *life) checkLedger() []contract.ServerDump {
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

// checkIdle tests that a slot is not free for long while work waits.
func (r *rig) checkIdle(d *life, s contract.ServerDump, waits map[string]bool) {
	for _, other := range r.live() {
		if other.node.State(s.Name) == wigeonladder.StateLeaving {
			return // those who know it no longer want it
		}
	}
	wanted := false
	for model := range waits {
		wanted = wanted || (s.Free > 0 && r.fits(s.Name, model))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := d.vm.Name + " " + s.Name
	since, ok := r.idle[key]
	switch {
	case !wanted:
		delete(r.idle, key)
	case !ok:
		r.idle[key] = time.Now()
	case !r.idling.Load() && time.Since(since) > idleBound && len(r.bad) < 20:
		r.bad = append(r.bad, fmt.Sprintf("%s was free for %v while work waited", key, time.Since(since)))
		delete(r.idle, key)
	}
}

// finish waits for the work and some time, and tests that nothing is left.
func (r *rig) finish(after time.Duration) []string {
	r.work.Wait()
	time.Sleep(after)
	r.check()
	for _, d := range r.live() {
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
	return r.bad
}
