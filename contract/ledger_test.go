package contract

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// recorder is an entry that keeps what it gets.
type recorder struct {
	mu       sync.Mutex
	got      []wigeonladder.Contract
	calls    int
	recalled []wigeonladder.ContractID
	err      error
}

// Grant implements wigeonladder.Entry.
func (r *recorder) Grant(_ context.Context, cs []wigeonladder.Contract) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.got = append(r.got, cs...)
	return r.err
}

// Recall implements wigeonladder.Entry.
func (r *recorder) Recall(_ context.Context, ids []wigeonladder.ContractID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recalled = append(r.recalled, ids...)
	return r.err
}

// bench is one home with entries that record.
type bench struct {
	is      *is.I
	ledger  *Ledger
	shares  *fake.Shares
	node    *fake.Node
	entries map[string]*recorder
	mu      sync.Mutex
	load    wigeonladder.Load
	loadErr error
	stop    context.CancelFunc
}

// run runs a home of some servers in a bubble, past the takeover wait.
func run(t *testing.T, f func(*bench), slots ...int) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(is.New(t), slots...)
		time.Sleep(2 * time.Second)
		f(b)
		b.stop()
	})
}

// newBench returns a home of some servers.
func newBench(is *is.I, slots ...int) *bench {
	b := &bench{is: is, shares: fake.NewShares(), entries: map[string]*recorder{}}
	links := fake.NewLinks(0)
	config := wigeonladder.Config{Register: wigeonladder.Register{Services: []wigeonladder.Service{{Name: "desk"}}}}
	for i, n := range slots {
		s := wigeonladder.Server{Name: fmt.Sprint("s", i), Slots: n}
		config.Register.Services[0].Servers = append(config.Register.Services[0].Servers, s)
	}
	b.node = links.Add(wigeonladder.VM{Name: "home"})
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	b.ledger = NewLedger(ctx, Options{
		Fleet: b.node, Shares: b.shares, Incarnation: "home/1",
		Config:  func() wigeonladder.Config { return config },
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
		FetchLoad: func(ctx context.Context, _ wigeonladder.Server) (wigeonladder.Load, error) {
			b.mu.Lock()
			load, err := b.load, b.loadErr
			b.mu.Unlock()
			if errors.Is(err, context.DeadlineExceeded) {
				<-ctx.Done()
			}
			return load, err
		},
	})
	for _, vm := range []string{"e1", "e2"} {
		b.entries[vm] = &recorder{}
		// The links need a member's name but no zone: it homes no server.
		n := links.Add(wigeonladder.VM{Name: vm, Zone: "elsewhere"})
		n.Serve(nil, b.entries[vm])
	}
	return b
}

// ask asks for a slot.
func (b *bench) ask(vm, workspace string) wigeonladder.SlotOffer {
	o, err := b.ledger.RequestSlot(context.Background(), wigeonladder.SlotRequest{
		Entry: vm, Demand: wigeonladder.Demand{Service: "desk", Workspace: workspace, Waiting: 1, Estimate: 10},
	})
	b.is.NoErr(err)
	return o
}

// demand reports one row and waits for the grants.
func (b *bench) demand(vm, workspace string, waiting int, u wigeonladder.Urgency, oldest int64) {
	b.is.NoErr(b.ledger.ReportDemand(context.Background(), wigeonladder.DemandReport{
		Entry: vm, Demands: []wigeonladder.Demand{{
			Service: "desk", Workspace: workspace, Waiting: waiting, Urgency: u, OldestWaitMs: oldest, Estimate: 10,
		}},
	}))
	synctest.Wait()
}

// release ends a contract.
func (b *bench) release(c wigeonladder.Contract, cost int64, unused bool) {
	b.is.NoErr(b.ledger.Release(context.Background(), []wigeonladder.Release{
		{ID: c.ID, Usage: wigeonladder.Usage{Cost: cost}, Unused: unused},
	}))
	synctest.Wait()
}

// renew renews a contract.
func (b *bench) renew(c wigeonladder.Contract, cost int64) {
	b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{
		Entry: c.Entry, Held: []wigeonladder.HeldContract{{Contract: c, Cost: cost}},
	}))
}

// inUse returns the slots in use of all servers.
func (b *bench) inUse() int {
	n := 0
	for _, s := range b.ledger.Dump().Servers {
		n += s.InUse
	}
	return n
}

// free returns the free slots of all servers.
func (b *bench) free() int {
	n := 0
	for _, s := range b.ledger.Dump().Servers {
		n += s.Free
	}
	return n
}

// Guards against a slot that is freed twice and against a count below zero.
func TestReleaseOnce(t *testing.T) {
	run(t, func(b *bench) {
		first, second := b.ask("e1", "w").Contract, b.ask("e1", "w").Contract
		b.is.True(!b.ask("e1", "w").OK) // both slots are lent
		b.release(first, 7, false)
		b.release(first, 7, false)
		b.renew(first, 9) // a renewal that was sent before the release
		b.is.Equal(b.inUse(), 1)
		b.release(second, 0, true)
		b.release(second, 5, false)
		b.is.Equal(b.inUse(), 0)
		b.is.Equal(b.shares.Total("desk", "w"), int64(7)) // true cost and a full refund
	}, 2)
}

// Guards against a running request that is charged too little until its end.
func TestRenewRaisesCharge(t *testing.T) {
	run(t, func(b *bench) {
		c := b.ask("e1", "w").Contract
		b.renew(c, 4)
		b.is.Equal(b.shares.Total("desk", "w"), int64(10)) // the estimate
		b.renew(c, 25)
		b.renew(c, 20) // a renewal that was overtaken
		b.is.Equal(b.shares.Total("desk", "w"), int64(25))
		b.release(c, 30, false)
		b.is.Equal(b.shares.Total("desk", "w"), int64(30))
	}, 1)
}

// Guards against slots that stay with a silent entry, and against a lapsed
// contract that runs on without being counted.
func TestLapseAndReturn(t *testing.T) {
	run(t, func(b *bench) {
		c := b.ask("e1", "w").Contract
		time.Sleep(wigeonladder.ContractExpiry - tick)
		b.is.Equal(b.inUse(), 1)
		time.Sleep(2 * tick)
		b.is.Equal(b.inUse(), 0)
		b.renew(c, 12)
		b.is.Equal(b.inUse(), 1)
		b.is.Equal(b.shares.Total("desk", "w"), int64(10)) // the charge was kept at the lapse
		b.release(c, 12, false)
		b.is.Equal(b.inUse(), 0)
	}, 1)
}

// Guards against less urgent or newer work of a workspace going first, and
// against more grants than an entry reported.
func TestEntryOrder(t *testing.T) {
	run(t, func(b *bench) {
		held := b.ask("e1", "w").Contract
		b.demand("e1", "w", 1, wigeonladder.UrgencyNormal, 500)
		b.demand("e2", "w", 1, wigeonladder.UrgencyHigh, 1)
		b.release(held, 1, false)
		b.is.Equal(len(b.entries["e2"].got), 1) // more urgent
		b.is.Equal(len(b.entries["e1"].got), 0)
		b.demand("e2", "w", 1, wigeonladder.UrgencyNormal, 100)
		b.release(b.entries["e2"].got[0], 1, false)
		b.is.Equal(len(b.entries["e1"].got), 1) // waits longer
		b.release(b.entries["e1"].got[0], 1, false)
		b.release(b.entries["e2"].got[1], 1, false)
		b.is.Equal(b.inUse(), 0) // nothing is granted beyond the reported number
	}, 1)
}

// Guards against one call for each contract.
func TestGrantsAreBatched(t *testing.T) {
	run(t, func(b *bench) {
		b.demand("e1", "w", 5, wigeonladder.UrgencyNormal, 0)
		b.is.Equal(len(b.entries["e1"].got), 3)
		b.is.Equal(b.entries["e1"].calls, 1)
	}, 2, 1)
}

// Guards against a slot that is lent again while an unreachable entry may
// still use it, and against demand of an entry that cannot be reached.
func TestFailedGrant(t *testing.T) {
	run(t, func(b *bench) {
		b.entries["e1"].err = fake.ErrCut
		b.demand("e1", "w", 3, wigeonladder.UrgencyNormal, 0)
		d := b.ledger.Dump()
		b.is.Equal(len(d.Demands), 0)
		b.is.Equal(b.inUse(), 1) // the grant may have arrived
		time.Sleep(wigeonladder.ContractExpiry + tick)
		b.is.Equal(b.inUse(), 0)
	}, 1)
}

// Guards against grants for work that is long gone.
func TestDemandEnds(t *testing.T) {
	run(t, func(b *bench) {
		c := b.ask("e2", "w").Contract
		b.demand("e1", "w", 1, wigeonladder.UrgencyNormal, 0)
		time.Sleep(demandLife + tick)
		b.release(c, 1, false)
		b.is.Equal(b.entries["e1"].calls, 0)
	}, 1)
}

// reports sets the load report of all servers and waits until it was read.
func (b *bench) reports(l wigeonladder.Load) {
	b.mu.Lock()
	b.load = l
	b.mu.Unlock()
	time.Sleep(loadPeriod + tick)
	synctest.Wait()
}

// Guards against grants on slots that another home's work occupies, and
// against a report that raises the free slots or counts own work twice.
func TestLoadOnlyLowers(t *testing.T) {
	run(t, func(b *bench) {
		b.ask("e1", "w")
		b.reports(wigeonladder.Load{Running: 1})
		b.is.Equal(b.free(), 3) // the own contract
		b.reports(wigeonladder.Load{Running: 3})
		b.is.Equal(b.free(), 1) // two unknown
		b.reports(wigeonladder.Load{})
		b.is.Equal(b.free(), 3)
	}, 4)
}

// Guards against an unused contract that is used after its server was listed
// as leaving, and against a grant from then on.
func TestLeavingRecalls(t *testing.T) {
	run(t, func(b *bench) {
		used, unused := b.ask("e1", "w").Contract, b.ask("e1", "w").Contract
		b.renew(used, 1)
		b.node.SetState("s0", wigeonladder.StateLeaving)
		time.Sleep(2 * tick)
		synctest.Wait()
		b.is.Equal(b.entries["e1"].recalled, []wigeonladder.ContractID{unused.ID})
		b.is.True(!b.ask("e1", "w").OK)
		b.is.Equal(b.inUse(), 2) // both run on until they are released
	}, 3)
}

// Guards against grants before the contracts of an earlier home are known, and
// against waiting longer than needed.
func TestTakeoverWait(t *testing.T) {
	answer := wigeonladder.HeldContract{Contract: wigeonladder.Contract{Server: "s0"}}
	earlier := wigeonladder.HeldContract{Contract: wigeonladder.Contract{
		ID: wigeonladder.ContractID{HomeIncarnation: "old/1", Number: 7}, Server: "s0", Service: "desk", Workspace: "w", Entry: "e1",
	}}
	synctest.Test(t, func(t *testing.T) {
		b := newBench(is.New(t), 2)
		defer b.stop()
		b.is.True(!b.ask("e1", "w").OK)
		time.Sleep(2 * tick) // the ledger learns of the members
		for _, vm := range []string{"home", "e1", "e2"} {
			b.is.True(!b.ask("e1", "w").OK)
			rows := []wigeonladder.HeldContract{answer}
			if vm == "e1" {
				rows = append(rows, earlier)
			}
			b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{Entry: vm, Held: rows}))
		}
		b.is.True(b.ask("e1", "w").OK)  // every member has answered
		b.is.True(!b.ask("e1", "w").OK) // the earlier contract counts
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench(is.New(t), 1)
		defer b.stop()
		time.Sleep(wigeonladder.ContractTakeoverDelay - tick)
		b.is.True(!b.ask("e1", "w").OK)
		time.Sleep(2 * tick)
		b.is.True(b.ask("e1", "w").OK)
	})
}

// Guards against demands that end although their entry gives a sign of life, and
// against a home without memory that takes the sign for a report.
func TestSignOfLife(t *testing.T) {
	run(t, func(b *bench) {
		alive := func(vm string) error {
			return b.ledger.ReportDemand(context.Background(), wigeonladder.DemandReport{Entry: vm})
		}
		b.demand("e1", "w", 5, wigeonladder.UrgencyNormal, 0)
		for range 4 {
			time.Sleep(demandLife / 2)
			b.is.NoErr(alive("e1"))
		}
		b.is.Equal(len(b.ledger.Dump().Demands), 1)
		var e *wigeonladder.Error
		b.is.True(errors.As(alive("e2"), &e))
		b.is.Equal(e.Code, wigeonladder.CodeNotFound)
	}, 1)
}
