package fair

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

const model = "nib-scribe"

func all(string) bool { return true }

// weights returns rules with the given weights for workspaces w0, w1, ...
func weights(list ...int) func() wigeonladder.Rules {
	r := wigeonladder.Rules{}
	for i, w := range list {
		r.Shares = append(r.Shares, wigeonladder.ShareRule{Workspace: name(i), Weight: w})
	}
	return func() wigeonladder.Rules { return r }
}

func name(i int) string { return fmt.Sprintf("w%d", i) }

// find returns the state of a workspace.
func find(c *Counters, workspace string) WorkspaceDump {
	for _, s := range c.Dump().Services {
		for _, w := range s.Workspaces {
			if s.Service == model && w.Workspace == workspace {
				return w
			}
		}
	}
	return WorkspaceDump{}
}

// near fails the test unless got and want agree up to rounding errors.
func near(t interface{ Fatalf(string, ...any) }, what string, got, want float64) {
	if math.Abs(got-want) > 1e-6*max(1, math.Abs(want)) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against an order of service in which the counters of two backlogged
// workspaces differ by more than the largest charge.
func TestGapOfOneHomeIsOneCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 12).Draw(t, "weights")
		c := NewCounters(Options{HomeIncarnation: "a", Rules: weights(list...)})
		for i := range list {
			c.SetBacklogged(model, name(i), true)
		}
		costs := rapid.SliceOfN(rapid.Int64Range(1, 4000), 10, 200).Draw(t, "costs")
		largest := int64(0)
		for _, cost := range costs {
			largest = max(largest, cost)
			w, ok := c.Next(model, all)
			if !ok {
				t.Fatalf("nobody chosen")
			}
			c.Charge(model, w, cost)
			low, high := math.Inf(1), 0.0
			for i := range list {
				e := find(c, name(i)).Counter
				low, high = min(low, e), max(high, e)
			}
			if high-low > float64(largest) {
				t.Fatalf("gap %v above the largest charge %d", high-low, largest)
			}
		}
	})
}

// Guards against a refused workspace that hides the ones after it, and against
// an order that differs from that of the counters.
func TestNextSkipsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 30).Draw(t, "costs")
		c := NewCounters(Options{HomeIncarnation: "a"})
		for i, cost := range costs {
			c.SetBacklogged(model, name(i), true)
			c.Charge(model, name(i), cost)
		}
		refused := map[string]bool{}
		last := -1.0
		for range costs {
			w, ok := c.Next(model, func(w string) bool { return !refused[w] })
			if !ok {
				t.Fatalf("%d of %d workspaces seen", len(refused), len(costs))
			}
			refused[w] = true
			e := find(c, w).Counter
			if e < last {
				t.Fatalf("%s with %v after %v", w, e, last)
			}
			last = e
		}
		_, ok := c.Next(model, func(w string) bool { return !refused[w] })
		if ok {
			t.Fatalf("a refused workspace was chosen")
		}
	})
}

// Guards against credit that grows while a workspace is idle.
func TestIdleGainsOnlyTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rules := wigeonladder.Rules{Shares: []wigeonladder.ShareRule{{Workspace: "w1", Weight: 2, Burst: 50}}}
		c := NewCounters(Options{HomeIncarnation: "a", Rules: func() wigeonladder.Rules { return rules }})
		c.SetBacklogged(model, "w0", true)
		c.SetBacklogged(model, "w1", true)
		c.SetBacklogged(model, "w1", false)
		c.Charge(model, "w0", 1000)
		time.Sleep(3 * time.Second)
		c.SetBacklogged(model, "w1", true)
		is.Equal(find(c, "w1").Counter, 1000.0-25)
	})
}

// Guards against a workspace that loses its deficit, or gains more, when one
// home sees no demand from it for a moment.
func TestShortGapKeepsDeficit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewCounters(Options{HomeIncarnation: "a"})
		c.SetBacklogged(model, "w0", true)
		c.SetBacklogged(model, "w1", true)
		c.Charge(model, "w0", 100)
		c.SetBacklogged(model, "w1", false)
		c.Charge(model, "w0", 40)
		time.Sleep(100 * time.Millisecond)
		c.SetBacklogged(model, "w1", true)
		is.Equal(find(c, "w1").Counter, 40.0) // 100 behind, as before the gap
	})
}

// Guards against debt that remains after a long idle time.
func TestOldDebtIsDropped(t *testing.T) {
	for _, x := range []struct {
		idle time.Duration
		want float64
	}{{9 * time.Second, 5000}, {10 * time.Second, 10}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := NewCounters(Options{HomeIncarnation: "a"})
			c.SetBacklogged(model, "w0", true)
			c.SetBacklogged(model, "w1", true)
			c.Charge(model, "w1", 5000)
			c.SetBacklogged(model, "w1", false)
			c.Charge(model, "w0", 10)
			time.Sleep(x.idle)
			c.SetBacklogged(model, "w1", true)
			is.Equal(find(c, "w1").Counter, x.want)
		})
	}
}

// Guards against debt for the use of capacity that no other workspace wanted.
func TestIdleCapacityIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewCounters(Options{HomeIncarnation: "a"})
		for range 100 {
			c.Charge(model, "w0", 100)
			time.Sleep(100 * time.Millisecond)
		}
		c.SetBacklogged(model, "w0", true)
		c.SetBacklogged(model, "w1", true)
		is.True(find(c, "w0").Counter-find(c, "w1").Counter <= 100) // at most the last charge
	})
}

// Guards against unlimited debt, and against a correction that turns forgiven
// debt into credit.
func TestDebtCap(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a", ServiceRate: func(string) float64 { return 10 }})
	c.SetBacklogged(model, "w0", true)
	c.SetBacklogged(model, "w1", true)
	for range 100 {
		c.Charge(model, "w1", 20)
	}
	is.Equal(find(c, "w1").Counter, 300.0) // 60 s of half of 10/s
	c.Charge(model, "w1", -1700)
	is.Equal(find(c, "w1").Counter, 300.0)
	c.Charge(model, "w1", -100)
	is.Equal(find(c, "w1").Counter, 200.0)
	is.Equal(find(c, "w1").OwnCharges, int64(200))
}

// Guards against a change of weight that changes the debt in cost units.
func TestChangedWeightKeepsDebt(t *testing.T) {
	is := is.New(t)
	rules := weights(1, 1)()
	c := NewCounters(Options{HomeIncarnation: "a", Rules: func() wigeonladder.Rules { return rules }})
	c.SetBacklogged(model, "w0", true)
	c.SetBacklogged(model, "w1", true)
	c.Charge(model, "w1", 100)
	rules = weights(1, 4)()
	c.Charge(model, "w0", 10)
	is.Equal(find(c, "w1").Counter, 25.0)
	is.Equal(find(c, "w1").Weight, 4.0)
}

// Guards against a cost of decisions that grows faster than the logarithm of
// the number of workspaces: compare the time per operation of the sizes.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{16, 256, 4096, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := NewCounters(Options{HomeIncarnation: "a"})
			for i := range n {
				c.SetBacklogged(model, name(i), true)
			}
			for i := range b.N {
				w, _ := c.Next(model, all)
				c.Charge(model, w, int64(1+i%97))
			}
		})
	}
}
