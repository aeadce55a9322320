package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// otherZone returns the entry of the n-th server in zone-b.
func (r *rig) otherZone(n int) wigeonladder.Instance {
	i := r.instance(n)
	i.Zone = "zone-b"
	return i
}

// Guards against calls to the servers of a zone that is evacuated, by every way in which
// a server is chosen, against calls that run and are not let end, and against a zone
// that gets no calls after its evacuation.
func TestEvacuatedServersGetNothing(t *testing.T) {
	bubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.Put(r.otherZone(2))
		running := r.acquire(t, r.job("a", "p"))
		r.SetEvacuatedZones([]string{"zone-a"})
		r.wantUnavailable(t, 0, Evacuated)
		is.True(!r.Allowed(r.instance(1)))
		is.Equal(r.serversOf(t, 6), map[string]int{"m2": 6})
		isolated := r.job("a", "q")
		isolated.IsolationKey = 1
		l := r.acquire(t, isolated)
		is.Equal(l.Instance.ID, "m2")
		l.End(Completed)
		r.Put(r.instance(3)) // listed while its zone is evacuated
		r.wantUnavailable(t, 3, Evacuated)
		running.RecordFirstToken()
		running.End(Completed)
		r.SetEvacuatedZones(nil)
		r.wantUnavailable(t, 0, Available)
		is.True(r.serversOf(t, 12)["m2"] < 12)
	})
}

// Guards against calls that go on waiting for servers of a zone that is evacuated,
// although others get room, and against calls that wait when all servers are there.
func TestWaitingCallsLeaveAnEvacuatedZone(t *testing.T) {
	type outcome struct {
		lease *Lease
		err   *wigeonladder.Error
	}
	// evacuate lets a job wait for busy servers and evacuates the zone of the first.
	evacuate := func(t *testing.T, r *rig, servers int) (waiting chan outcome, running []*Lease) {
		t.Helper()
		for i := range servers * busyJobs {
			running = append(running, r.acquire(t, r.job("a", string(rune('a'+i)))))
		}
		waiting = make(chan outcome, 1)
		j := r.job("a", "z")
		go func() {
			l, err := r.Acquire(t.Context(), j)
			waiting <- outcome{l, err}
		}()
		time.Sleep(10 * time.Millisecond)
		is.New(t).Equal(len(waiting), 0)
		r.SetEvacuatedZones([]string{"zone-a"})
		return waiting, running
	}
	t.Run("to others", func(t *testing.T) {
		bubble(t, 1, func(t *testing.T, r *rig) {
			r.Put(r.otherZone(1))
			waiting, running := evacuate(t, r, 2)
			for _, l := range running {
				if l.Instance.Zone == "zone-b" {
					l.End(Completed)
				}
			}
			began := time.Now()
			x := <-waiting
			is.New(t).True(time.Since(began) <= reassignPeriod+2*sweepPeriod)
			is.New(t).Equal(x.lease.Instance.Zone, "zone-b")
		})
	})
	t.Run("refused if there are no others", func(t *testing.T) {
		bubble(t, 1, func(t *testing.T, r *rig) {
			began := time.Now()
			waiting, _ := evacuate(t, r, 1)
			x := <-waiting
			is.New(t).True(time.Since(began) <= 10*time.Millisecond)
			is.New(t).Equal(x.err.Code, wigeonladder.CodeNoServer)
			is.New(t).Equal(x.err.RetryDelay, retryDelayMax)
		})
	})
}
