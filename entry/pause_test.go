package entry_test

import (
	"context"
	"sync"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// gate simulates the pause of a process: while it is closed, no call from or to
// the daemon passes.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// close starts the pause.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

// open ends the pause.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// closed reports whether the daemon is paused.
func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

// pass waits until the pause ends.
func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// gatedFleet delays the calls that a paused daemon makes until its pause ends.
type gatedFleet struct {
	*fake.Node
	g *gate
}

func (f gatedFleet) Home(vm string) wigeonladder.Home { return gatedHome{f.Node.Home(vm), f.g} }

func (f gatedFleet) Entry(vm string) wigeonladder.Entry { return gatedEntry{f.Node.Entry(vm), f.g} }

// gatedHome delays calls before and after they are served while the gate is
// closed.
type gatedHome struct {
	h wigeonladder.Home
	g *gate
}

func (h gatedHome) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	h.g.pass()
	defer h.g.pass()
	return h.h.RequestSlot(ctx, a)
}

func (h gatedHome) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	h.g.pass()
	defer h.g.pass()
	return h.h.ReportDemand(ctx, r)
}

func (h gatedHome) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	h.g.pass()
	defer h.g.pass()
	return h.h.Renew(ctx, r)
}

func (h gatedHome) Release(ctx context.Context, r []wigeonladder.Release) error {
	h.g.pass()
	defer h.g.pass()
	return h.h.Release(ctx, r)
}

// gatedEntry delays calls before and after they are served while the gate is
// closed.
type gatedEntry struct {
	e wigeonladder.Entry
	g *gate
}

func (e gatedEntry) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	e.g.pass()
	defer e.g.pass()
	return e.e.Grant(ctx, cs)
}

func (e gatedEntry) Recall(ctx context.Context, ids []wigeonladder.ContractID) error {
	e.g.pass()
	defer e.g.pass()
	return e.e.Recall(ctx, ids)
}
