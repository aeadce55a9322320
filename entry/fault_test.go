package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

// fault is one injected fault. It ends after the time Lasts.
type fault struct {
	At, Lasts time.Duration
	Kind      string
	Daemon    int
	Other     int
	Seed      uint64
}

// drawFaults draws faults that may overlap, at most one of each kind for a
// daemon.
func drawFaults(rt *rapid.T, daemons int, kinds ...string) []fault {
	faults := make([]fault, rapid.IntRange(1, 4).Draw(rt, "faults"))
	seen := map[string]bool{}
	for i := range faults {
		f := fault{
			At:     time.Duration(rapid.IntRange(0, 2000).Draw(rt, "fault at")) * time.Millisecond,
			Lasts:  time.Duration(rapid.IntRange(1, 7000).Draw(rt, "lasts")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Daemon: rapid.IntRange(0, daemons-1).Draw(rt, "at daemon"),
			Other:  rapid.IntRange(0, daemons-1).Draw(rt, "other daemon"),
			Seed:   rapid.Uint64().Draw(rt, "loss seed"),
		}
		key := fmt.Sprint(f.Kind, f.Daemon)
		if seen[key] {
			f.Kind = "none"
		}
		seen[key] = true
		faults[i] = f
	}
	return faults
}

// inject runs one fault in the background.
func (r *rig) inject(f fault) {
	r.work.Go(func() {
		time.Sleep(f.At)
		d := r.daemons[fmt.Sprintf("vm-%d", f.Daemon)]
		other := fmt.Sprintf("vm-%d", f.Other)
		switch f.Kind {
		case "restart":
			d.stopRun()
			time.Sleep(f.Lasts)
			d.restart()
		case "pause":
			d.suspend(f.Lasts)
		case "cut":
			r.idleSlotsAllowed.Store(true)
			r.overAdmissionAllowed.Store(true)
			r.links.SetLinkCut(d.vm.Name, other, true)
			time.Sleep(f.Lasts)
			r.links.SetLinkCut(d.vm.Name, other, false)
		case "loss":
			r.idleSlotsAllowed.Store(true)
			r.overAdmissionAllowed.Store(true)
			r.links.SetLossRate(0.3, f.Seed)
			time.Sleep(f.Lasts)
			r.links.SetLossRate(0, 0)
		}
	})
}

// suspend pauses the daemon. The others consider it dead meanwhile.
func (d *daemon) suspend(lasts time.Duration) {
	d.rig.idleSlotsAllowed.Store(true)
	d.close()
	d.rig.links.SetDown(d.vm.Name, true)
	time.Sleep(lasts)
	d.rig.links.SetDown(d.vm.Name, false)
	d.open()
}

// Guards against leaked slots, double grants and requests that never end under
// any mix of restarts, pauses, cut links and lost messages.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 4).Draw(rt, "daemons")
		jobs := drawJobs(rt, daemons)
		faults := drawFaults(rt, daemons, "restart", "pause", "cut", "loss")
		bad := bubble(t, daemons, drawSlots(rt), func(r *rig) []string {
			r.overAdmissionAllowed.Store(true)
			r.submitAll(jobs)
			for _, f := range faults {
				r.inject(f)
			}
			return r.finish(8 * time.Second)
		})
		if len(bad) > 0 {
			rt.Fatalf("%v", bad)
		}
	})
}

// Guards against over-admission when homes are killed and restarted without
// memory: a new home must wait for the renewals.
func TestRestartAdmitsNoMore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 4).Draw(rt, "daemons")
		jobs := drawJobs(rt, daemons)
		faults := drawFaults(rt, daemons, "restart")
		bad := bubble(t, daemons, drawSlots(rt), func(r *rig) []string {
			r.submitAll(jobs)
			for _, f := range faults {
				r.inject(f)
			}
			return r.finish(8 * time.Second)
		})
		if len(bad) > 0 {
			rt.Fatalf("%v", bad)
		}
	})
}

// Guards against over-admission by a home that was paused while another home
// served its servers.
func TestPausedHomeAdmitsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(2, 2, 2)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			r.submit(fmt.Sprint("r", i), job{
				At: time.Duration(i) * 100 * time.Millisecond, Daemon: 1, Runs: 700 * time.Millisecond, Cost: 1,
			})
		}
		r.work.Go(func() {
			time.Sleep(1500 * time.Millisecond)
			r.daemons["vm-0"].suspend(4 * time.Second)
		})
		report(t, r.finish(8*time.Second))
		is.Equal(r.codes[wigeonladder.CodeOK], 60) // all requests ran
		is.True(r.rejectedContracts <= 4)          // at most the slots of both servers are recalled when the home returns
	})
}

// Guards against over-admission without bound during a partition, and against
// over-admission that goes on after it.
func TestPartitionAndRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(2, 4, 4)
		time.Sleep(2 * time.Second)
		for i := range 200 {
			r.submit(fmt.Sprint("r", i), job{
				At: time.Duration(i) * 50 * time.Millisecond, Daemon: i % 2, Runs: time.Second, Cost: 1,
			})
		}
		r.overAdmissionAllowed.Store(true)
		r.idleSlotsAllowed.Store(true)
		time.Sleep(2 * time.Second)
		r.links.SetLinkCut("vm-0", "vm-1", true)
		time.Sleep(4 * time.Second)
		r.links.SetLinkCut("vm-0", "vm-1", false)
		time.Sleep(2 * time.Second) // the longest request, a refresh and a renewal
		r.overAdmissionAllowed.Store(false)
		report(t, r.finish(8*time.Second))
		for s, n := range r.peak {
			t.Logf("%s: peak %d of %d", s, n, r.slots(s))
			is.True(n <= 2*r.slots(s)) // one limit for each of two homes
		}
	})
}

// report fails the test if invariants were violated.
func report(t *testing.T, bad []string) {
	t.Helper()
	for _, b := range bad {
		t.Error(b)
	}
}

// Guards against requests that are placed on a server more than 3 s after it
// was listed as leaving, also when some daemons learn of it later.
func TestLeavingServerGetsNoWork(t *testing.T) {
	for _, seed := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(3, 2, 2, 2)
				time.Sleep(2 * time.Second)
				for i := range 300 {
					r.submit(fmt.Sprint("r", i), job{
						At: time.Duration(i) * 30 * time.Millisecond, Daemon: i % 3, Runs: 300 * time.Millisecond, Cost: 1,
					})
				}
				time.Sleep(time.Second)
				listed := time.Now()
				for i, vm := range r.config.Register.VMs {
					lag := time.Duration((i+seed)%3) * 1300 * time.Millisecond
					time.AfterFunc(lag, func() {
						r.daemons[vm.Name].node.SetState("scribe-0", wigeonladder.StateLeaving)
					})
				}
				report(t, r.finish(time.Second))
				last := r.grantedAt["scribe-0"].Sub(listed)
				t.Logf("last grant %v after the listing", last)
				is.True(last <= 3*time.Second)
				is.True(r.grantedAt["scribe-1"].Sub(listed) > 3*time.Second) // the other servers still get requests
			})
		})
	}
}

// Guards against slots that stay occupied after their entry died.
func TestContractsOfDeadEntryExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(2, 1, 1)
		time.Sleep(2 * time.Second)
		for i := range 6 {
			r.submit(fmt.Sprint("dead", i), job{Daemon: 0, Runs: time.Minute, Cost: 1})
		}
		time.Sleep(time.Second)
		r.daemons["vm-0"].stopRun()
		r.submit("live", job{At: 10 * time.Millisecond, Daemon: 1, Cost: 1})
		began := time.Now()
		r.work.Wait()
		wait := time.Since(began)
		t.Logf("placed %v after the death", wait)
		is.True(wait <= wigeonladder.ContractExpiry+time.Second)
		report(t, r.finish(2*time.Second))
	})
}
