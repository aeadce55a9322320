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

// usedMemory returns the size of the heap and the stacks in bytes after a garbage
// collection.
func usedMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// memoryPerItem logs and returns the bytes of memory that build adds for each item.
func memoryPerItem(t *testing.T, what string, items int, build func() any) float64 {
	before := usedMemory()
	kept := build()
	per := (usedMemory() - before) / float64(items)
	runtime.KeepAlive(kept)
	t.Logf("%s, %d: %.0f bytes each", what, items, per)
	return per
}

// Guards against a configuration document above 1 MiB, which does not fit into a
// value of the platform, and against membership state above 1 MiB at the size in
// the requirements. The other figures are only logged.
func TestMemory(t *testing.T) {
	is := is.New(t)
	document := len(SizeFor(Daemons).Document())
	t.Logf("document of %d VMs, %d servers, %d workspaces: %d bytes", Daemons, Servers, Workspaces, document)
	is.True(document < 1<<20)
	for _, n := range []int{50, 150, 390} {
		c := SizeFor(n).Config()
		per := memoryPerItem(t, "member records", n, func() any { return newFullTable(c) })
		is.True(per*Daemons < 1<<20)
		memoryPerItem(t, "servers in the configuration", len(c.Register.Services[0].Servers)*Models, func() any { return SizeFor(n).Config() })
	}
	for _, n := range sizes([]int{15}, []int{150, 1540}) {
		memoryPerItem(t, "rows of workspace and service", n, func() any { return chargeRows(fair.NewCounters(fair.Options{HomeIncarnation: "a"}), n) })
		for _, homes := range []int{1, 8, 64} {
			memoryPerItem(t, fmt.Sprintf("known homes with %d rows", n), homes, func() any { return countersOfHomes(n, homes) })
		}
	}
	for _, servers := range sizes([]int{16}, []int{160, 1600}) {
		ctx, cancel := context.WithCancel(t.Context())
		memoryPerItem(t, "contracts in the ledger", servers*serverSlots, func() any {
			l, n, _ := newLedger(ctx, t, Size{Daemons: 1, Servers: servers, Services: 1, Zones: 1})
			requestAllSlots(t, l, n.Self())
			return l
		})
		cancel()
	}
	for _, n := range sizes([]int{1000}, []int{5000, 20000}) {
		measureWaiting(t, n)
	}
}

// chargeRows charges n pairs of workspace and service, which adds a row for each.
func chargeRows(c *fair.Counters, n int) *fair.Counters {
	for i := range n {
		c.Charge(ServiceName(i%Models), WorkspaceName(i/Models), 400)
	}
	return c
}

// countersOfHomes returns counters that have imported n rows of each home.
func countersOfHomes(n, homes int) *fair.Counters {
	c := fair.NewCounters(fair.Options{HomeIncarnation: "a"})
	for h := range homes {
		m := chargeRows(fair.NewCounters(fair.Options{HomeIncarnation: fmt.Sprint("home-", h)}), n).Export()
		c.Import(m)
	}
	return c
}

// measureWaiting logs the memory of waiting requests, each with its goroutine, at
// an entry whose home has no free slot.
func measureWaiting(t *testing.T, n int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, node, c := newLedger(ctx, t, Size{Daemons: 1, Servers: 1, Services: 1, Zones: 1})
		requestAllSlots(t, l, node.Self())
		q := entry.NewQueue(ctx, entry.Options{Fleet: node, Zone: c.Register.VMs[0].Zone, Config: func() wigeonladder.Config { return c }})
		node.SetRoles(l, q)
		memoryPerItem(t, "waiting requests", n, func() any {
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
