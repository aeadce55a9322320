package place

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// server returns the entry of the n-th server of a rig.
func (r *rig) instance(n int) wigeonladder.Instance {
	return wigeonladder.Instance{ID: fmt.Sprintf("m%d", n), Service: "model", Zone: "zone-a", Slots: 8}
}

// serversOf returns the servers that get n jobs, each of which ends at once.
func (r *rig) serversOf(t *testing.T, n int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		l := r.acquire(t, r.job("a", fmt.Sprintf("part-%d", r.jobs)))
		got[l.Instance.ID]++
		l.RecordFirstToken()
		l.End(Completed)
	}
	return got
}

// wantUnavailable asserts the reason in the dump of the n-th server.
func (r *rig) wantUnavailable(t *testing.T, n int, u Unavailability) {
	t.Helper()
	is.New(t).Equal(r.Dump()[n].Unavailable, u.String())
	is.New(t).Equal(r.Allowed(r.instance(n)), u == Available || u == Blocked || u == Probing)
}

// busyJobs is the number of jobs whose prompts keep a server busy for so long that it
// gets no more.
const busyJobs = 3

// Guards against calls to a server that says in its answers that it leaves, and
// against a store entry that brings it back.
func TestLeavingServersGetNothing(t *testing.T) {
	for name, after := range map[string]func(*rig){
		"listed as live":   func(r *rig) { r.Put(r.instance(0)) },
		"removed and back": func(r *rig) { r.Remove("m0"); r.Put(r.instance(0)) },
		"after a while":    func(*rig) { time.Sleep(time.Hour) },
		"after a pause":    func(r *rig) { r.RecordPause(r.instance(0), time.Second); time.Sleep(2 * time.Second) },
		"another service": func(r *rig) {
			x := r.instance(0)
			x.Service = "app"
			r.Put(x)
			r.Put(r.instance(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(t *testing.T, r *rig) {
				is := is.New(t)
				is.True(r.RecordLeaving(r.instance(0)))
				is.True(!r.RecordLeaving(r.instance(0)))
				after(r)
				r.wantUnavailable(t, 0, Leaving)
				is.Equal(r.serversOf(t, 6), map[string]int{"m1": 6})
			})
		})
	}
	t.Run("new incarnation", func(t *testing.T) {
		bubble(t, 1, func(t *testing.T, r *rig) {
			r.RecordLeaving(r.instance(0))
			x := r.instance(0)
			x.StartUnixMs = 7
			r.Put(x)
			is.New(t).Equal(r.acquire(t, r.job("a", "p")).Instance, x)
		})
	})
}

// Guards against calls to a server before the time is over for which it asked for
// none, and against a server that is lost after that time.
func TestPausedServersGetNothing(t *testing.T) {
	bubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		is.True(r.RecordPause(r.instance(0), 3*time.Second))
		is.True(!r.RecordPause(r.instance(0), time.Second))
		r.Remove("m0")
		r.Put(r.instance(0))
		time.Sleep(2900 * time.Millisecond)
		r.wantUnavailable(t, 0, Paused)
		is.Equal(r.serversOf(t, 4), map[string]int{"m1": 4})
		time.Sleep(101 * time.Millisecond)
		r.wantUnavailable(t, 0, Available)
		is.True(r.serversOf(t, 8)["m0"] > 0)
		r.RecordPause(r.instance(0), 1000*time.Hour)
		time.Sleep(MaxPause)
		r.wantUnavailable(t, 0, Available)
	})
}

// Guards against callers that wait although no server takes calls in time, and
// against a retry delay that is not the shortest time left.
func TestCallsAreRefusedWhileNoServerTakesThem(t *testing.T) {
	t.Run("new calls", func(t *testing.T) {
		bubble(t, 3, func(t *testing.T, r *rig) {
			is := is.New(t)
			began := time.Now()
			r.RecordLeaving(r.instance(0))
			r.RecordPause(r.instance(1), 5*time.Second)
			r.RecordPause(r.instance(2), 4*time.Second)
			_, err := r.Acquire(t.Context(), r.job("a", "p"))
			is.Equal(err.Code, wigeonladder.CodeNoServer)
			is.Equal(err.RetryDelay, 4*time.Second)
			is.True(strings.Contains(err.Detail, "1 leaving, 2 paused"))
			is.Equal(time.Since(began), time.Duration(0))
		})
	})
	t.Run("waiting calls", func(t *testing.T) {
		bubble(t, 2, func(t *testing.T, r *rig) {
			is := is.New(t)
			r.RecordPause(r.instance(1), time.Minute)
			for i := range busyJobs {
				r.acquire(t, r.job("a", fmt.Sprintf("busy-%d", i)))
			}
			refused := make(chan *wigeonladder.Error, 1)
			j := r.job("b", "p")
			go func() {
				_, err := r.Acquire(t.Context(), j)
				refused <- err
			}()
			time.Sleep(time.Millisecond)
			is.Equal(r.Stats().Services[1].Waiting, 1)
			began := time.Now()
			r.RecordPause(r.instance(0), 30*time.Second)
			err := <-refused
			is.Equal(err.Code, wigeonladder.CodeNoServer)
			is.Equal(err.RetryDelay, 30*time.Second)
			is.Equal(time.Since(began), time.Duration(0))
		})
	})
	t.Run("waiting calls move", func(t *testing.T) {
		bubble(t, 2, func(t *testing.T, r *rig) {
			r.RecordPause(r.instance(1), 50*time.Millisecond)
			for i := range busyJobs {
				r.acquire(t, r.job("a", fmt.Sprintf("busy-%d", i)))
			}
			placed := make(chan *Lease, 1)
			j := r.job("b", "p")
			go func() {
				l, _ := r.Acquire(t.Context(), j)
				placed <- l
			}()
			time.Sleep(time.Millisecond)
			r.RecordLeaving(r.instance(0))
			is.New(t).Equal((<-placed).Instance.ID, "m1")
		})
	})
}

// Guards against a server that is lost for good by a false report of another daemon,
// and against reports that have no effect.
func TestReportsOfLeavingServers(t *testing.T) {
	bubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		other := newRig(t.Context(), "zone-b", 2)
		other.RecordLeaving(other.instance(0))
		report := other.Export()
		is.Equal(report.Leaving, []LeavingServer{{Server: "m0"}})
		is.Equal(len(other.Export().Leaving), 0)
		for range 3 {
			r.Import("edge-b", report, time.Second)
			r.wantUnavailable(t, 0, ReportedLeaving)
			time.Sleep(reportedLeavingTime / 4)
		}
		time.Sleep(reportedLeavingTime / 4)
		r.wantUnavailable(t, 0, Available)
		r.Import("edge-b", report, time.Second)
		r.wantUnavailable(t, 0, Available)
		r.RecordLeaving(r.instance(0))
		r.wantUnavailable(t, 0, Leaving)
		is.Equal(Report{Leaving: report.Leaving}.WithNext(Report{}).Leaving, report.Leaving)
	})
}

// Guards against notices that accumulate while servers come and go.
func TestNoticesAreBounded(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		for i := range maxNotices + 100 {
			r.RecordLeaving(wigeonladder.Instance{ID: fmt.Sprintf("gone-%d", i)})
			r.Export()
		}
		is := is.New(t)
		is.Equal(len(r.notices.byIncarnation), maxNotices)
		is.Equal(len(r.notices.order), maxNotices)
	})
}

// Guards against a lease on a server that was removed while the job waited for it.
func TestRemovedServersGetNoWaitingJobs(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		for i := range busyJobs {
			r.acquire(t, r.job("a", fmt.Sprintf("busy-%d", i)))
		}
		placed := make(chan *Lease, 1)
		j := r.job("b", "p")
		go func() {
			l, _ := r.Acquire(t.Context(), j)
			placed <- l
		}()
		time.Sleep(time.Millisecond)
		r.mu.Lock()
		j.lastReassigned = time.Now()
		r.mu.Unlock()
		r.Remove("m0")
		x := r.instance(1)
		r.Put(x)
		is.New(t).Equal((<-placed).Instance, x)
	})
}
