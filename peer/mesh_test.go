package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against daemons that do not discover each other through the register,
// or that notice the death or restart of a daemon too late.
func TestJoinAndDeath(t *testing.T) {
	for _, size := range []int{2, 5, 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.startAll()
				t.Log("all known after", f.waitWithin(5*time.Second, "all known", f.converged))
				time.Sleep(5 * time.Second)
				f.nodes["vm-001"].cancel()
				t.Log("death known after", f.waitWithin(10*time.Second, "death known", f.converged))
				f.start(1, "b", f.config)
				t.Log("restart known after", f.waitWithin(10*time.Second, "restart known", f.converged))
				f.stop()
			})
		})
	}
}

// Guards against result codes that are lost on the way back to the caller,
// demand reports that are reordered, and a long forwarded request that delays
// other calls on the same connection.
func TestRolesOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		f.startAll()
		a, b := f.nodes["vm-000"], f.nodes["vm-001"]
		f.waitWithin(5*time.Second, "all known", f.converged)
		done := make(chan string)
		go func() {
			out, err := a.Forward(t.Context(), "vm-001", "inc", wigeonladder.Request{Path: "/x"})
			done <- fmt.Sprint(string(out.Body), err)
		}()
		time.Sleep(20 * time.Second)
		offer, err := a.Home("vm-001").RequestSlot(t.Context(), wigeonladder.SlotRequest{})
		is.NoErr(err)
		is.Equal(offer.Free, 7)
		for i := range 100 {
			is.NoErr(a.Home("vm-001").ReportDemand(t.Context(), wigeonladder.DemandReport{Entry: "vm-000", Demands: []wigeonladder.Demand{{Waiting: i}}}))
		}
		for i, d := range b.demands {
			is.Equal(d.Demands[0].Waiting, i)
		}
		is.NoErr(a.Entry("vm-001").Grant(t.Context(), make([]wigeonladder.Contract, 3)))
		is.Equal(b.grants, 3)
		err = a.Home("vm-001").Renew(t.Context(), wigeonladder.Renewal{})
		is.Equal(err, wigeonladder.Errorf(wigeonladder.CodeContractLate, "here", "too late").WithRetryAfter(3))
		is.Equal(a.Home("vm-001").Release(t.Context(), nil).Error(), "peer answered: plain")
		close(b.unblockForwarded)
		is.Equal(<-done, "inc/x<nil>")
		f.stop()
	})
}

// Guards against daemons that stay separated after the end of a partition, and
// against homes that move at once when daemons rejoin: no home of a daemon may
// move within 1.5 s after it has seen the first daemon of the other side, and
// 3.5 s after all have seen each other they must agree on the homes.
func TestHomesAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		f.startAll()
		f.waitWithin(5*time.Second, "all known", f.converged)
		time.Sleep(5 * time.Second)
		f.partition(true)
		separated := func() bool {
			return len(f.nodes["vm-000"].Members()) == 2 && len(f.nodes["vm-001"].Members()) == 3
		}
		t.Log("partition known after", f.waitWithin(10*time.Second, "partition known", separated))
		time.Sleep(time.Minute)
		f.partition(false)
		homesStay := f.watchHomes()
		t.Log("rejoin known after", f.waitWithin(8*time.Second, "rejoin known", func() bool { return homesStay() && f.converged() }))
		for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			is.True(homesStay())
		}
		for _, n := range f.nodes {
			is.Equal(n.homes(), f.nodes["vm-000"].homes())
		}
		f.stop()
	})
}

// partition cuts the links between zone 0 (daemons 0 and 3) and the other
// zones, or restores them.
func (f *testFleet) partition(cut bool) {
	for _, a := range []int{0, 3} {
		for _, b := range []int{1, 2, 4} {
			vms := f.config.Register.VMs
			f.net.setCut(vms[a].PeerAddress, vms[b].PeerAddress, cut)
		}
	}
}

// watchHomes returns a function that fails the test, and returns false, if the
// homes of a daemon have moved too soon after its number of members grew.
func (f *testFleet) watchHomes() func() bool {
	type state struct {
		members int
		homes   string
		seenAt  time.Time
	}
	states := map[string]*state{}
	for name, n := range f.nodes {
		states[name] = &state{members: len(n.Members()), homes: n.homes()}
	}
	return func() bool {
		for name, n := range f.nodes {
			s := states[name]
			if s.seenAt.IsZero() && len(n.Members()) > s.members {
				s.seenAt = time.Now()
			}
			if n.homes() != s.homes && (s.seenAt.IsZero() || time.Since(s.seenAt) < 1500*time.Millisecond) {
				f.t.Errorf("the homes of %s moved %v after it saw a daemon of the other side", name, time.Since(s.seenAt))
				return false
			}
		}
		return true
	}
}

// homes returns the homes of 30 servers as this daemon knows them.
func (n *node) homes() string {
	l := ""
	for i := range 30 {
		vm, _ := n.HomeOf(wigeonladder.Server{Name: fmt.Sprint(i), Zone: fmt.Sprintf("zone-%d", i%3)})
		l += vm + " "
	}
	return l
}

// Guards against a restarted daemon that works with an old configuration or
// without the charges of the other homes. It starts without a configuration and
// knows only one seed.
func TestRestartedDaemonGetsRevisionAndCharges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		f.startAll()
		rows := []wigeonladder.Charge{{Service: "s", Workspace: "w", Total: 5}}
		for _, n := range f.nodes {
			n.mu.Lock()
			n.charges.Rows = rows
			n.mu.Unlock()
		}
		time.Sleep(10 * time.Second)
		f.nodes["vm-001"].cancel()
		time.Sleep(time.Second)
		n := f.start(1, "b", wigeonladder.Config{}, f.config.Register.VMs[3].PeerAddress)
		restored := func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.config.Revision == 1 && len(n.imported) > 0
		}
		took := f.waitWithin(500*time.Millisecond, "revision and charges", restored)
		t.Log("revision and charges after", took)
		is.Equal(n.imported[0].Rows, rows)
		is.Equal(n.documentsApplied, 1)
		f.waitWithin(time.Second, "all known", func() bool { return len(n.Members()) == 5 })
		// The sequence number in the first record of the new incarnation may be
		// lower than the last one of the previous incarnation. The other
		// daemons learn of the new incarnation in the second round after the
		// restart.
		t.Log("incarnation known after", f.waitWithin(1200*time.Millisecond, "incarnation known", func() bool {
			r, _ := f.nodes["vm-004"].table.Lookup("vm-001")
			return r.Incarnation == "b"
		}))
		f.stop()
	})
}

// Guards against a revision that does not reach all daemons within the target
// of 5 s, and a leaving server that does not within 3 s, when only one daemon
// learns of them from the platform.
func TestChangesSpread(t *testing.T) {
	for _, size := range []int{5, 50} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.startAll()
				time.Sleep(20 * time.Second)
				first := f.nodes["vm-000"]
				first.mu.Lock()
				f.config.Revision = 2
				first.config = f.config
				first.live = wigeonladder.LiveList{Version: 3, VMs: []wigeonladder.LiveVM{{Name: "server-1", State: wigeonladder.StateLeaving}}}
				first.mu.Unlock()
				all := func(ok func(*node) bool) func() bool {
					return func() bool {
						for _, n := range f.nodes {
							if !ok(n) {
								return false
							}
						}
						return true
					}
				}
				t.Log("leaving known after", f.waitWithin(3*time.Second, "leaving known", all(func(n *node) bool {
					return n.State("server-1") == wigeonladder.StateLeaving
				})))
				t.Log("revision known after the leaving, by", f.waitWithin(2*time.Second, "revision known", all(func(n *node) bool {
					return n.getConfig().Revision == 2
				})))
				f.stop()
			})
		})
	}
}

// Guards against control traffic above the target of 6 KB/s for each daemon. No
// requests run; the bytes are those that the meshes count on their connections.
func TestTrafficStaysBelowTheLimit(t *testing.T) {
	rates := map[int]float64{}
	for _, size := range []int{5, 50} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			f.startAll()
			time.Sleep(30 * time.Second)
			before := f.nodes["vm-001"].Traffic()
			time.Sleep(time.Minute)
			after := f.nodes["vm-001"].Traffic()
			in0, out0 := before.Total()
			in, out := after.Total()
			rates[size] = float64(out.Bytes-out0.Bytes) / 60
			heartbeats := after.Out[methodHeartbeat]
			t.Logf("%d daemons: out %.0f bytes/s, in %.0f bytes/s, %.0f bytes per message of %q",
				size, rates[size], float64(in.Bytes-in0.Bytes)/60,
				float64(heartbeats.Bytes-before.Out[methodHeartbeat].Bytes)/float64(heartbeats.Messages-before.Out[methodHeartbeat].Messages), methodHeartbeat)
			f.stop()
		})
	}
	if rates[50] > 6000 {
		t.Error("a daemon of 50 sends more than 6 KB/s")
	}
}
