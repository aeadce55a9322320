package fair

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// daemons is a fleet of windows that learn of each other's totals a reportAge late and
// share servers that give less than the configured capacity. All calls of the workspace
// "small" come to the first daemon, those of "large" to all.
type daemons struct {
	windows []*Window
	// perStep is what the servers give in a step, in cost units.
	perStep int64
	reports [][][]WorkspaceTotals
}

// reportAge is the number of steps after which a report of another daemon arrives.
const reportAge = 2

func newDaemons(n int, configured float64, perStep int64) *daemons {
	d := &daemons{perStep: perStep}
	for range n {
		w := NewWindow(func() int { return n })
		w.SetCapacity(configured)
		d.windows = append(d.windows, w)
	}
	return d
}

// step gives out the service of one step: first to calls with the best standing, as far as
// each daemon knows it, and in turn to the daemons. It returns what each workspace got.
func (d *daemons) step(small, large int64) map[string]int64 {
	left := make([]map[string]int64, len(d.windows))
	for i, w := range d.windows {
		left[i] = map[string]int64{"large": large / int64(len(d.windows))}
		if i == 0 {
			left[i]["small"] = small
			w.RecordDemand("small", small)
		}
		w.RecordDemand("large", left[i]["large"])
	}
	got := map[string]int64{}
	rest := d.perStep
	for standing := BelowShare; standing < Denied; standing++ {
		for placed := true; placed; {
			placed = false
			for i, w := range d.windows {
				for _, name := range []string{"small", "large"} {
					if rest <= 0 || left[i][name] <= 0 || w.Standing(name) != standing {
						continue
					}
					w.RecordService(name, callCost)
					left[i][name] -= callCost
					got[name] += callCost
					rest -= callCost
					placed = true
				}
			}
		}
	}
	for i, w := range d.windows {
		for name, x := range left[i] {
			if x > 0 {
				w.RecordThrottled(name)
			}
		}
	}
	d.report()
	time.Sleep(windowStep)
	return got
}

// report exports the totals of all daemons and delivers those of an earlier step.
func (d *daemons) report() {
	all := make([][]WorkspaceTotals, len(d.windows))
	for i, w := range d.windows {
		all[i] = w.Export()
	}
	d.reports = append(d.reports, all)
	if len(d.reports) <= reportAge {
		return
	}
	for from, totals := range d.reports[0] {
		for to, w := range d.windows {
			if to != from {
				w.Import(fmt.Sprint(from), totals)
			}
		}
	}
	d.reports = d.reports[1:]
}

// Guards against a workspace that gets a fraction of another one's service for seconds
// because the configured capacity, which the servers do not reach, makes the shares so
// large that nobody is above them.
func TestLostCapacityIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(17, 48000, 6000)
		for range 12 {
			d.step(500, 4000)
		}
		total := map[string]int64{}
		for step := range 36 {
			got := d.step(2000, 12000)
			if step >= 12 {
				total["small"] += got["small"]
				total["large"] += got["large"]
			}
		}
		t.Log(total)
		is := is.New(t)
		is.True(2*total["small"] >= 24*2000)
		is.Equal(total["small"]+total["large"], int64(24*6000)) // nothing stays unused
	})
}

// Guards against shares that stay small after the servers have recovered.
func TestRecoveredCapacityIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(5, 48000, 3000)
		for range 20 {
			d.step(2000, 12000)
		}
		d.perStep = 12000
		recovered := int64(0)
		for step := range 16 {
			got := d.step(2000, 12000)
			if step >= 8 {
				recovered += got["small"] + got["large"]
			}
		}
		is.New(t).Equal(recovered, int64(8*12000))
	})
}

// Guards against a starved workspace that others are not held back for because it asks
// for little compared with the capacity.
func TestSmallWorkspaceIsStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standing := func(served int) Standing {
			w := NewWindow(nil)
			w.SetCapacity(100000)
			for i := range 20 {
				w.RecordDemand("small", 1000)
				if i < served {
					w.RecordService("small", 1000)
				}
			}
			w.RecordThrottled("small")
			for range 1000 {
				w.RecordDemand("large", 1000)
			}
			w.RecordService("large", 500000)
			return w.Standing("large")
		}
		is := is.New(t)
		is.Equal(standing(8), IdleOnly)
		is.Equal(standing(10), AboveShare)
	})
}
