package capacity

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
)

// heap returns the heap and stacks in use.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// grown logs and returns the memory for each item that a build adds.
func grown(t *testing.T, what string, items int, build func() any) float64 {
	before := heap()
	kept := build()
	per := (heap() - before) / float64(items)
	runtime.KeepAlive(kept)
	t.Logf("%s, %d: %.0f bytes each", what, items, per)
	return per
}

// Guards against a register that does not fit a value of the platform, and
// against state that grows beyond the budget at the size in the requirements.
func TestMemory(t *testing.T) {
	is := is.New(t)
	document := len(SizeFor(Daemons).Document())
	t.Logf("document of %d VMs, %d servers, %d workspaces: %d bytes", Daemons, Servers, Workspaces, document)
	is.True(document < 1<<20)
	for _, n := range []int{50, 150, 390} {
		c := SizeFor(n).Config()
		per := grown(t, "member records", n, func() any { return table(c) })
		is.True(per*Daemons < 1<<20)
		grown(t, "servers in the configuration", len(c.Register.Services[0].Servers)*Models, func() any { return SizeFor(n).Config() })
	}
	for _, n := range sizes([]int{15}, []int{150, 1540}) {
		grown(t, "rows of workspace and service", n, func() any { return rows(fair.NewCounters(fair.Options{HomeIncarnation: "a"}), n) })
		for _, homes := range []int{1, 8, 64} {
			grown(t, fmt.Sprintf("known homes with %d rows", n), homes, func() any { return heard(n, homes) })
		}
	}
	for _, servers := range sizes([]int{16}, []int{160, 1600}) {
		ctx, cancel := context.WithCancel(t.Context())
		grown(t, "contracts in the ledger", servers*slots, func() any {
			l, n, _ := ledger(ctx, t, Size{Daemons: 1, Servers: servers, Services: 1, Zones: 1})
			lend(t, l, n.Self())
			return l
		})
		cancel()
	}
	for _, n := range sizes([]int{1000}, []int{5000, 20000}) {
		waiting(t, n)
	}
}

// rows charges some workspaces.
func rows(c *fair.Counters, n int) *fair.Counters {
	for i := range n {
		c.Charge(ServiceName(i%Models), WorkspaceName(i/Models), 400)
	}
	return c
}

// heard returns counters that know some homes.
func heard(n, homes int) *fair.Counters {
	c := fair.NewCounters(fair.Options{HomeIncarnation: "a"})
	for h := range homes {
		m := rows(fair.NewCounters(fair.Options{HomeIncarnation: fmt.Sprint("home-", h)}), n).Export()
		c.Import(m)
	}
	return c
}

// waiting measures waiting requests at an entry whose home grants nothing,
// each with its goroutine.
func waiting(t *testing.T, n int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, node, c := ledger(ctx, t, Size{Daemons: 1, Servers: 1, Services: 1, Zones: 1})
		lend(t, l, node.Self())
		q := entry.NewQueue(ctx, entry.Options{Fleet: node, Zone: c.Register.VMs[0].Zone, Config: func() wigeonladder.Config { return c }})
		node.SetRoles(l, q)
		grown(t, "waiting requests", n, func() any {
			for i := range n {
				go func() { _, _ = q.Place(ctx, request(i)) }()
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
			return q
		})
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
