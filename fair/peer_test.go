package fair

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

func slots(n int) func() int { return func() int { return n } }

// homes returns the counters of n homes that have exchanged all rows and in
// which w0 and w1 are backlogged.
func homes(n int, o Options) []*Counters {
	list := make([]*Counters, n)
	for i := range list {
		o.HomeIncarnation = fmt.Sprintf("h%d", i)
		list[i] = NewCounters(o)
		list[i].SetBacklogged(model, "w0", true)
		list[i].SetBacklogged(model, "w1", true)
	}
	for range fullExportInterval {
		exchange(list, func(int, int) bool { return true })
	}
	return list
}

// exchange delivers one export of each home to the homes that reach allows.
func exchange(list []*Counters, reach func(from, to int) bool) {
	for i, from := range list {
		m := from.Export()
		for j, to := range list {
			if i != j && reach(i, j) {
				to.Import(m)
			}
		}
	}
}

// Guards against charges that are lost with a message or counted twice.
func TestLostMessageLosesNoCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "homes")
		list := homes(n, Options{Slots: slots(rapid.IntRange(0, 32).Draw(t, "slots"))})
		sums := map[string]int64{}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for _, c := range list {
				w := rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "workspace")
				cost := rapid.Int64Range(-50, 500).Draw(t, "cost")
				c.Charge(model, w, cost)
				sums[w] += cost
			}
			lost := rapid.SliceOfN(rapid.Bool(), n*n, n*n).Draw(t, "lost")
			exchange(list, func(from, to int) bool { return !lost[from*n+to] })
		}
		for range fullExportInterval {
			exchange(list, func(int, int) bool { return true })
		}
		for _, c := range list {
			for w, sum := range sums {
				near(t, w, find(c, w).Counter, float64(sum))
				near(t, w+" assumed", find(c, w).Extrapolated, 0)
			}
		}
	})
}

// Guards against service from before the first contact that is charged as new.
func TestFirstContactSetsBaseline(t *testing.T) {
	is := is.New(t)
	a := NewCounters(Options{HomeIncarnation: "a"})
	b := NewCounters(Options{HomeIncarnation: "b"})
	c := NewCounters(Options{HomeIncarnation: "c"})
	a.Import(b.Export()) // a has heard its first peer
	a.SetBacklogged(model, "w0", true)
	c.Charge(model, "w0", 1_000_000)
	a.Import(c.Export())
	is.Equal(find(a, "w0").Counter, 0.0)
	c.Charge(model, "w0", 7)
	a.Import(c.Export())
	is.Equal(find(a, "w0").Counter, 7.0)
}

// Guards against a home that starts with other counters than the rest of the
// fleet after a restart, and against peers that revoke the charges of its
// previous incarnation.
func TestRestartAdoptsCounters(t *testing.T) {
	is := is.New(t)
	list := homes(2, Options{})
	list[0].Charge(model, "w0", 900)
	list[1].Charge(model, "w1", 400)
	exchange(list, func(int, int) bool { return true })

	b := NewCounters(Options{HomeIncarnation: "h1b"})
	b.SetBacklogged(model, "w1", true)
	b.SetBacklogged(model, "w2", true)
	list[0].Export()
	list[0].Charge(model, "w0", 100)
	b.Import(list[0].Export()) // contains w0 only
	is.Equal(find(b, "w0").Counter, 1000.0)
	is.Equal(find(b, "w2").Counter, 1000.0) // raised; otherwise it would receive all service
	for range fullExportInterval {
		b.Import(list[0].Export())
	}
	list[0].Import(b.Export())
	is.Equal(find(list[0], "w0").Counter, 1000.0)
	is.Equal(find(list[0], "w1").Counter, 400.0)
	b.Charge(model, "w1", 30)
	list[0].Import(b.Export())
	is.Equal(find(list[0], "w1").Counter, 430.0)
}

// Guards against memory that grows with every restart of a peer.
func TestDeadIncarnationsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := NewCounters(Options{HomeIncarnation: "a"})
	for i := range 10 * maxPeers {
		m := wigeonladder.ChargeReport{HomeIncarnation: fmt.Sprint(i), Rows: []wigeonladder.Charge{{Service: model, Workspace: "w0", Total: 5}}}
		c.Import(m)
	}
	is.Equal(len(c.Dump().Peers), maxPeers)
}

// Guards against all homes choosing the same workspace between two exchanges,
// also with many homes and a long period.
func TestExtrapolationSpreadsChoices(t *testing.T) {
	for _, x := range []struct{ homes, every int }{{4, 10}, {50, 50}} {
		on, off := choices(x.homes, x.every, false), choices(x.homes, x.every, true)
		t.Logf("%d homes, exchange every %d rounds: largest gap %v with extrapolation, %v without", x.homes, x.every, on, off)
		if on > off {
			t.Errorf("extrapolation raised the gap from %v to %v", off, on)
		}
	}
}

// choices returns the largest difference in service between two workspaces when
// each home makes one grant in each round.
func choices(n, every int, off bool) float64 {
	list := homes(n, Options{Slots: slots(16), NoExtrapolation: off})
	gap := 0.0
	sums := map[string]float64{}
	for round := range 20 * every {
		for _, c := range list {
			w, _ := c.Next(model, all)
			cost := int64(100)
			if round%2 == 1 {
				cost = 150
			}
			c.Charge(model, w, cost)
			sums[w] += float64(cost)
		}
		gap = max(gap, sums["w0"]-sums["w1"], sums["w1"]-sums["w0"])
		if round%every == 0 {
			exchange(list, func(int, int) bool { return true })
		}
	}
	return gap
}

// Guards against extrapolated charges of a peer that is gone or does not serve
// the service.
func TestExtrapolationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := homes(2, Options{Slots: slots(8)})
		list[0].Charge(model, "w0", 100)
		is.Equal(find(list[0], "w0").Extrapolated, 0.0) // h1 has charged nothing yet
		list[1].Charge(model, "w1", 100)
		exchange(list, func(int, int) bool { return true })
		list[0].Charge(model, "w0", 100)
		is.Equal(find(list[0], "w0").Extrapolated, 100.0)
		time.Sleep(peerSilence + time.Second)
		list[0].Charge(model, "w0", 100)
		is.Equal(find(list[0], "w0").Extrapolated, 0.0)
	})
}

// Guards against a home that gains its first server of a service and treats the
// counters from its peers as debt, and against an idle workspace that has
// credit there.
func TestHomeWithoutDemandFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rate := func(string) float64 { return 10 }
		a := NewCounters(Options{HomeIncarnation: "a"})
		b := NewCounters(Options{HomeIncarnation: "b", ServiceRate: rate})
		for _, w := range []string{"w0", "w1"} {
			a.SetBacklogged(model, w, true)
		}
		a.Charge(model, "w2", 1) // charged only once
		b.Import(a.Export())
		for range 100 {
			w, _ := a.Next(model, all)
			a.Charge(model, w, 1000)
			a.Charge(model, "w1", 100)
			time.Sleep(time.Second)
			b.Import(a.Export())
		}
		gap := find(a, "w0").Counter - find(a, "w1").Counter
		for _, w := range []string{"w0", "w1", "w2"} {
			b.SetBacklogged(model, w, true)
		}
		is.Equal(find(b, "w0").Counter-find(b, "w1").Counter, gap)
		is.True(find(b, "w2").Counter >= min(find(b, "w0").Counter, find(b, "w1").Counter))
	})
}

// Guards against a large correction at a home with few slots that is scaled by
// the slots of the others: it would lower V and give credit to a workspace
// that becomes backlogged.
func TestCorrectionIsNotExtrapolated(t *testing.T) {
	is := is.New(t)
	list := homes(2, Options{Slots: slots(8)})
	list[1].Charge(model, "w0", 10)
	m := list[1].Export()
	m.Slots = 160
	list[0].Import(m)
	list[0].Charge(model, "w0", 4000)
	list[0].Charge(model, "w1", 4010)
	list[0].Charge(model, "w0", -3000)
	list[0].SetBacklogged(model, "w2", true)
	is.Equal(find(list[0], "w2").Counter, 1010.0)
	is.Equal(find(list[0], "w0").Extrapolated, 80000.0)
}

// Guards against a workspace with a backlog at another home that loses its
// deficit here each time its short backlog at this home ends.
func TestWaitElsewhereKeepsDeficit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := homes(2, Options{})
		a, b := list[0], list[1]
		a.Charge(model, "w0", 1000) // w1 is 1000 behind
		for range 20 {
			a.SetBacklogged(model, "w1", false)
			for range 5 {
				a.Charge(model, "w0", 100)
				b.Charge(model, "w1", 100)
				time.Sleep(time.Second)
				exchange(list, func(int, int) bool { return true })
			}
			a.SetBacklogged(model, "w1", true)
			is.Equal(find(a, "w0").Counter-find(a, "w1").Counter, 1000.0)
		}
	})
}
