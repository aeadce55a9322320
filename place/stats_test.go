package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against statistics that hide calls which were charged and not served.
func TestStatsCountWastedCost(t *testing.T) {
	bubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		served, lost := r.acquire(t, r.job("w", "s")), r.acquire(t, r.job("w", "s"))
		is.Equal(r.Stats().Services[1].Running, 2)
		finish(served)
		lost.End(Inconclusive)
		m := r.Stats().Services[1]
		is.Equal(m.Service, "model")
		is.Equal(m.Running, 0)
		is.Equal(m.Servers, 2)
		is.Equal(m.Available, 2)
		is.Equal(m.WastedCost, lost.job.Prompt.Cost())
	})
}

// Guards against a shortage of processor time that does not show.
func TestStatsShowLateSweeps(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		time.Sleep(10 * sweepPeriod)
		synctest.Wait()
		is.Equal(r.Stats().SweepDelay, time.Duration(0))
		r.mu.Lock()
		r.sweptAt = r.sweptAt.Add(-time.Second)
		r.mu.Unlock()
		time.Sleep(sweepPeriod)
		synctest.Wait()
		is.True(r.Stats().SweepDelay >= time.Second)
		is.Equal(r.Stats().SweepDelay, time.Duration(0))
	})
}

// Guards against a daemon that lacks processor time and takes servers for
// unreachable, because its own timeouts pass meanwhile.
func TestLateDaemonBlocksNoServer(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		time.Sleep(10 * sweepPeriod)
		synctest.Wait()
		r.mu.Lock()
		r.sweptAt = r.sweptAt.Add(-time.Second)
		r.mu.Unlock()
		r.acquire(t, r.job("w", "s")).End(Unreachable)
		is.True(!r.Dump()[0].Blocked)
		time.Sleep(sweepPeriod)
		synctest.Wait()
		r.acquire(t, r.job("w", "s")).End(Unreachable)
		is.True(!r.Dump()[0].Blocked)
		time.Sleep(lateTime)
		r.acquire(t, r.job("w", "s")).End(Unreachable)
		is.True(r.Dump()[0].Blocked)
	})
}
