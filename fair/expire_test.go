package fair

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// maxControlBytes is the memory that one daemon may use for control.
const maxControlBytes = 32 << 20

// Guards against a window that grows with all workspaces and daemons that ever were.
func TestUnusedRowsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const workspaces, incarnations, day = 100000, 10000, 24 * time.Hour
		w := NewWindow(nil)
		w.SetCapacity(1000)
		before := heapBytes()
		for i := range workspaces {
			name := fmt.Sprintf("w%d", i)
			w.RecordDemand(name, 10)
			w.Import(fmt.Sprintf("daemon-%d", i%incarnations), []WorkspaceTotals{{Workspace: name, Demand: 10}, {Workspace: "always", Demand: int64(i)}})
			w.Export()
			time.Sleep(day / workspaces)
		}
		is.True(heapBytes()-before <= maxControlBytes)
		is.True(len(w.rows) <= maxWindowRows/8)
		is.True(len(w.rows["always"].peerTotals) <= maxWindowRows/8)
	})
}

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) // #nosec G115
}

// Guards against workspaces that are served before all others because the window has
// no room for them.
func TestNewWorkspaceGainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWindow(nil)
		w.SetCapacity(1)
		is.Equal(w.Standing("new"), BelowShare)
		for i := range maxWindowRows {
			w.RecordDemand(fmt.Sprintf("w%d", i), 10)
		}
		time.Sleep(windowStep)
		is.Equal(w.Standing("new"), AboveShare)
		is.Equal(w.Standing("w0"), BelowShare)
	})
}

// Guards against service that is lost or counted twice when a workspace comes back
// after its rows have expired at one daemon or at both.
func TestReturningWorkspaceIsCounted(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, peerTotalsLifetime + 10*time.Second, rowLifetime + 10*time.Second} {
		t.Run(idle.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b := NewWindow(nil), NewWindow(nil)
				serve := func() {
					a.RecordService("w", 100)
					b.Import("a", a.Export())
				}
				a.RecordDemand("w", 1)
				b.Import("a", a.Export())
				serve()
				time.Sleep(idle)
				a.RecordService("other", 1)
				b.RecordService("other", 1)
				serve()
				want := 100.0
				if idle < windowStep*windowSteps {
					want = 200
				}
				is.Equal(b.rows["w"].service.sum(b.step(time.Now())), want)
				serve()
				is.Equal(b.rows["w"].service.sum(b.step(time.Now())), want+100)
			})
		})
	}
}
