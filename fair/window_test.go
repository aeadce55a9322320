package fair

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a level that gives out more than the capacity, or less than
// the demand while there is capacity.
func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(1, 1000), 1, 20).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		total := 0.0
		for _, d := range demands {
			total += d
		}
		l := maxMinLevel(demands, capacity)
		given := 0.0
		for _, d := range demands {
			given += min(d, l)
		}
		if want := min(total, capacity); given < want*0.999 || given > want*1.001 {
			t.Fatalf("level %v gives %v of %v for a capacity of %v", l, given, total, capacity)
		}
	})
}

// Guards against workspaces that are held back below their share, and against
// a standing that does not improve once no workspace is throttled and the
// service has left the window.
func TestStandings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWindow(nil)
		w.SetCapacity(1000)
		w.RecordDemand("large", 100000)
		w.RecordDemand("small", 100)
		w.RecordService("small", 100)
		is.Equal(w.Standing("small"), BelowShare)
		is.Equal(w.Standing("large"), BelowShare)
		w.RecordService("large", 3800)
		time.Sleep(windowStep)
		is.Equal(w.Standing("large"), BelowShare)
		w.RecordService("large", 1000)
		time.Sleep(windowStep)
		is.Equal(w.Standing("large"), AboveShare)
		w.RecordService("large", 5000)
		w.RecordDemand("small", 1000)
		w.RecordThrottled("small")
		time.Sleep(windowStep)
		is.Equal(w.Standing("large"), Denied)
		time.Sleep(throttledFor)
		is.Equal(w.Standing("large"), AboveShare)
		time.Sleep(windowSteps * windowStep)
		is.Equal(w.Standing("large"), BelowShare)
	})
}

// Guards against a daemon that has just started and allows each workspace a
// whole share again, because it ignores the service of the last seconds.
func TestNewDaemonLearnsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old, young := NewWindow(nil), NewWindow(nil)
		old.SetCapacity(1000)
		young.SetCapacity(1000)
		old.RecordDemand("large", 100000)
		old.RecordService("large", 50000)
		old.RecordDemand("small", 100)
		old.Export()
		time.Sleep(time.Second)
		old.RecordDemand("large", 10)
		young.Import("old", old.Export())
		is.Equal(young.Standing("large"), AboveShare)
		is.Equal(young.Standing("small"), BelowShare)
	})
}

// Guards against service that is lost or counted twice between daemons.
func TestTotalsAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := NewWindow(nil), NewWindow(nil)
		a.RecordDemand("w", 1)
		b.RecordDemand("w", 1)
		b.Import("a", a.Export())
		a.Import("b", b.Export())
		for range 5 {
			a.RecordService("w", 100)
			b.RecordService("w", 10)
			x, y := a.Export(), b.Export()
			b.Import("a", x)
			b.Import("a", x)
			a.Import("b", y)
			time.Sleep(windowStep)
		}
		now := time.Now()
		is.Equal(a.rows["w"].service.sum(a.step(now)), 550.0)
		is.Equal(b.rows["w"].service.sum(b.step(now)), 550.0)
	})
}

// Guards against a large fleet that exceeds the lead by far because its reports
// arrive later.
func TestLeadFallsWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		standing := func(daemons int, service int64) Standing {
			w := NewWindow(func() int { return daemons })
			w.SetCapacity(1)
			w.RecordDemand("starved", 10000)
			w.RecordService("starved", 1000)
			w.RecordThrottled("starved")
			w.RecordService("large", service)
			return w.Standing("large")
		}
		is.Equal(standing(4, 1250), Deprioritized)
		is.Equal(standing(4, 1350), IdleOnly)
		is.Equal(standing(4, 1450), Denied)
		is.Equal(standing(30, 1250), IdleOnly)
		is.Equal(standing(30, 1450), Denied)
		is.Equal(standing(30, 1010), AboveShare)
	})
}

// Guards against a fleet that leaves servers idle because one large call of a
// small workspace waits, and against a larger workspace whose starvation is
// ignored.
func TestOneLargeCallIsNotStarvation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		standing := func(starved int64) Standing {
			w := NewWindow(nil)
			w.SetCapacity(10000)
			w.RecordDemand("large", 400000)
			w.RecordService("large", 200000)
			w.RecordDemand("starved", starved)
			w.RecordThrottled("starved")
			return w.Standing("large")
		}
		is.Equal(standing(3000), AboveShare)
		is.Equal(standing(20000), Denied)
	})
}

// Guards against a dump that does not show why a workspace is refused.
func TestWindowDump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWindow(nil)
		w.SetCapacity(1000)
		w.RecordDemand("starved", 10000)
		w.RecordService("starved", 400)
		w.RecordThrottled("starved")
		w.Import("other", []WorkspaceTotals{{Workspace: "large", RecentDemand: 9600, RecentService: 2912}})
		d := w.Dump()
		is.Equal(d.Level, int64(2000))
		is.Equal(*d.LeastStarved, int64(400))
		is.Equal(d.Workspaces, []WindowRowDump{
			{Workspace: "large", Standing: "far ahead of", Demand: 9600, Service: 2912},
			{Workspace: "starved", Standing: "within", Demand: 10000, Service: 400, OwnDemand: 10000, OwnService: 400, Throttled: true, OwnThrottled: true},
		})
	})
}

// fleet gives out capacity by the standings of a window.
type fleet struct {
	window *Window
	// capacity is what the servers give in a step, in cost units.
	capacity int64
	// demands contains what each workspace asks for in a step.
	demands map[string]int64
}

// run gives out capacity for some time and returns what each workspace got.
// Workspaces that ask for more than they get are throttled.
func (f *fleet) run(d time.Duration) map[string]int64 {
	total := map[string]int64{}
	for range int(d / windowStep) {
		got, left := map[string]int64{}, f.capacity
		for name, demand := range f.demands {
			f.window.RecordDemand(name, demand)
		}
		for left > 0 {
			name, ok := f.next(got)
			if !ok {
				break
			}
			f.window.RecordService(name, callCost)
			got[name] += callCost
			left -= callCost
		}
		for name, demand := range f.demands {
			total[name] += got[name]
			if got[name] < demand {
				f.window.RecordThrottled(name)
			}
		}
		time.Sleep(windowStep)
	}
	return total
}

// callCost is the cost of one call of a fleet.
const callCost = 10

// next returns the workspace that gets the next call: among those with the best
// standing the one that got least in this step.
func (f *fleet) next(got map[string]int64) (string, bool) {
	best, bestStanding := "", Denied
	for _, name := range slices.Sorted(maps.Keys(f.demands)) {
		s := f.window.Standing(name)
		if s == Denied || got[name] >= f.demands[name] {
			continue
		}
		if s < bestStanding || s == bestStanding && got[name] < got[best] {
			best, bestStanding = name, s
		}
	}
	return best, best != ""
}

// Guards against a workspace that gets less than half of what others get for
// seconds, because it used capacity that nobody else asked for before some of
// the servers were lost.
func TestUseOfSpareCapacityIsNotRepaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWindow(func() int { return 25 })
		w.SetCapacity(4000)
		f := &fleet{window: w, capacity: 1000, demands: map[string]int64{"early": 4000}}
		f.run(6 * time.Second)
		for _, name := range []string{"late-1", "late-2", "late-3"} {
			f.demands[name] = 1000
		}
		f.capacity = 600
		got := f.run(6 * time.Second)
		t.Log(got)
		is.New(t).True(2*got["early"] >= got["late-1"])
	})
}
