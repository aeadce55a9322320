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

// recordingEntry is an entry that records the grants and recalls that it gets.
type recordingEntry struct {
	mu       sync.Mutex
	granted  []wigeonladder.Contract
	calls    int
	recalled []wigeonladder.ContractID
	err      error
}

// Grant implements wigeonladder.Entry.
func (r *recordingEntry) Grant(_ context.Context, cs []wigeonladder.Contract) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.granted = append(r.granted, cs...)
	return r.err
}

// Recall implements wigeonladder.Entry.
func (r *recordingEntry) Recall(_ context.Context, ids []wigeonladder.ContractID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recalled = append(r.recalled, ids...)
	return r.err
}

// rig is one home with two recording entries.
type rig struct {
	is      *is.I
	ledger  *Ledger
	shares  *fake.FairShares
	node    *fake.Node
	entries map[string]*recordingEntry
	mu      sync.Mutex
	load    wigeonladder.Load
	loadErr error
	stop    context.CancelFunc
}

// run runs a test on virtual time with a home of servers with the given slots,
// after the takeover delay.
func run(t *testing.T, f func(*rig), slots ...int) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(is.New(t), slots...)
		time.Sleep(2 * time.Second)
		f(b)
		b.stop()
	})
}

// newRig returns a home of servers with the given slots.
func newRig(is *is.I, slots ...int) *rig {
	b := &rig{is: is, shares: fake.NewFairShares(), entries: map[string]*recordingEntry{}}
	links := fake.NewNetwork(0)
	config := wigeonladder.Config{Register: wigeonladder.Register{Services: []wigeonladder.Service{{Name: "desk"}}}}
	for i, n := range slots {
		s := wigeonladder.Server{Name: fmt.Sprint("s", i), Slots: n}
		config.Register.Services[0].Servers = append(config.Register.Services[0].Servers, s)
	}
	b.node = links.AddDaemon(wigeonladder.VM{Name: "home"})
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
		b.entries[vm] = &recordingEntry{}
		// The links need a member for each entry. In a zone without servers it is
		// the home of none.
		n := links.AddDaemon(wigeonladder.VM{Name: vm, Zone: "elsewhere"})
		n.SetRoles(nil, b.entries[vm])
	}
	return b
}

// requestSlot requests a slot.
func (b *rig) requestSlot(vm, workspace string) wigeonladder.SlotOffer {
	o, err := b.ledger.RequestSlot(context.Background(), wigeonladder.SlotRequest{
		Entry: vm, Demand: wigeonladder.Demand{Service: "desk", Workspace: workspace, Waiting: 1, Estimate: 10},
	})
	b.is.NoErr(err)
	return o
}

// reportDemand reports one row and waits for the grants.
func (b *rig) reportDemand(vm, workspace string, waiting int, u wigeonladder.Urgency, oldest int64) {
	b.is.NoErr(b.ledger.ReportDemand(context.Background(), wigeonladder.DemandReport{
		Entry: vm, Demands: []wigeonladder.Demand{{
			Service: "desk", Workspace: workspace, Waiting: waiting, Urgency: u, OldestWaitMs: oldest, Estimate: 10,
		}},
	}))
	synctest.Wait()
}

// release ends a contract.
func (b *rig) release(c wigeonladder.Contract, cost int64, unused bool) {
	b.is.NoErr(b.ledger.Release(context.Background(), []wigeonladder.Release{
		{ID: c.ID, Usage: wigeonladder.Usage{Cost: cost}, Unused: unused},
	}))
	synctest.Wait()
}

// renew renews a contract.
func (b *rig) renew(c wigeonladder.Contract, cost int64) {
	b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{
		Entry: c.Entry, Held: []wigeonladder.HeldContract{{Contract: c, Cost: cost}},
	}))
}

// inUse returns the slots in use of all servers.
func (b *rig) inUse() int {
	n := 0
	for _, s := range b.ledger.Dump().Servers {
		n += s.InUse
	}
	return n
}

// free returns the free slots of all servers.
func (b *rig) free() int {
	n := 0
	for _, s := range b.ledger.Dump().Servers {
		n += s.Free
	}
	return n
}

// Guards against a slot that is freed twice by a repeated release, against a
// late renewal that counts a released contract again, and against a count below
// zero.
func TestReleaseOnce(t *testing.T) {
	run(t, func(b *rig) {
		first, second := b.requestSlot("e1", "w").Contract, b.requestSlot("e1", "w").Contract
		b.is.True(!b.requestSlot("e1", "w").OK) // both slots are lent
		b.release(first, 7, false)
		b.release(first, 7, false)
		b.renew(first, 9) // a renewal that was sent before the release
		b.is.Equal(b.inUse(), 1)
		b.release(second, 0, true)
		b.release(second, 5, false)
		b.is.Equal(b.inUse(), 0)
		b.is.Equal(b.shares.WorkspaceTotal("desk", "w"), int64(7)) // the true cost of the first; the second is refunded
	}, 2)
}

// Guards against a running request that is charged only its estimate until it
// ends.
func TestRenewRaisesCharge(t *testing.T) {
	run(t, func(b *rig) {
		c := b.requestSlot("e1", "w").Contract
		b.renew(c, 4)
		b.is.Equal(b.shares.WorkspaceTotal("desk", "w"), int64(10)) // the estimate
		b.renew(c, 25)
		b.renew(c, 20) // a renewal that arrived out of order
		b.is.Equal(b.shares.WorkspaceTotal("desk", "w"), int64(25))
		b.release(c, 30, false)
		b.is.Equal(b.shares.WorkspaceTotal("desk", "w"), int64(30))
	}, 1)
}

// Guards against slots that stay occupied when their entry no longer renews,
// and against a contract that expired but still runs and is no longer counted.
func TestExpiredContractIsTakenOver(t *testing.T) {
	run(t, func(b *rig) {
		c := b.requestSlot("e1", "w").Contract
		time.Sleep(wigeonladder.ContractExpiry - refreshInterval)
		b.is.Equal(b.inUse(), 1)
		time.Sleep(2 * refreshInterval)
		b.is.Equal(b.inUse(), 0)
		b.renew(c, 12)
		b.is.Equal(b.inUse(), 1)
		b.is.Equal(b.shares.WorkspaceTotal("desk", "w"), int64(10)) // the charge was kept at the expiry
		b.release(c, 12, false)
		b.is.Equal(b.inUse(), 0)
	}, 1)
}

// Guards against less urgent or newer requests of a workspace being served
// first, and against more grants than an entry reported.
func TestDemandOrder(t *testing.T) {
	run(t, func(b *rig) {
		held := b.requestSlot("e1", "w").Contract
		b.reportDemand("e1", "w", 1, wigeonladder.UrgencyNormal, 500)
		b.reportDemand("e2", "w", 1, wigeonladder.UrgencyHigh, 1)
		b.release(held, 1, false)
		b.is.Equal(len(b.entries["e2"].granted), 1) // more urgent
		b.is.Equal(len(b.entries["e1"].granted), 0)
		b.reportDemand("e2", "w", 1, wigeonladder.UrgencyNormal, 100)
		b.release(b.entries["e2"].granted[0], 1, false)
		b.is.Equal(len(b.entries["e1"].granted), 1) // waits longer
		b.release(b.entries["e1"].granted[0], 1, false)
		b.release(b.entries["e2"].granted[1], 1, false)
		b.is.Equal(b.inUse(), 0) // nothing is granted beyond the reported number
	}, 1)
}

// Guards against a separate call to the entry for each contract.
func TestGrantsAreBatched(t *testing.T) {
	run(t, func(b *rig) {
		b.reportDemand("e1", "w", 5, wigeonladder.UrgencyNormal, 0)
		b.is.Equal(len(b.entries["e1"].granted), 3)
		b.is.Equal(b.entries["e1"].calls, 1)
	}, 2, 1)
}

// Guards against a slot that is granted again while an unreachable entry may
// still use it, and against further grants for the demand of an entry that
// cannot be reached.
func TestFailedGrant(t *testing.T) {
	run(t, func(b *rig) {
		b.entries["e1"].err = fake.ErrLinkCut
		b.reportDemand("e1", "w", 3, wigeonladder.UrgencyNormal, 0)
		d := b.ledger.Dump()
		b.is.Equal(len(d.Demands), 0)
		b.is.Equal(b.inUse(), 1) // the grant may have arrived
		time.Sleep(wigeonladder.ContractExpiry + refreshInterval)
		b.is.Equal(b.inUse(), 0)
	}, 1)
}

// Guards against grants for demand that its entry no longer repeats.
func TestDemandExpires(t *testing.T) {
	run(t, func(b *rig) {
		c := b.requestSlot("e2", "w").Contract
		b.reportDemand("e1", "w", 1, wigeonladder.UrgencyNormal, 0)
		time.Sleep(demandExpiry + refreshInterval)
		b.release(c, 1, false)
		b.is.Equal(b.entries["e1"].calls, 0)
	}, 1)
}

// setLoad sets the load report of all servers and waits until it was read.
func (b *rig) setLoad(l wigeonladder.Load) {
	b.mu.Lock()
	b.load = l
	b.mu.Unlock()
	time.Sleep(loadInterval + refreshInterval)
	synctest.Wait()
}

// Guards against grants on slots that another home's requests occupy, and
// against a load report that raises the free slots or counts own contracts
// twice.
func TestLoadReportOnlyLowersFreeSlots(t *testing.T) {
	run(t, func(b *rig) {
		b.requestSlot("e1", "w")
		b.setLoad(wigeonladder.Load{Running: 1})
		b.is.Equal(b.free(), 3) // the own contract
		b.setLoad(wigeonladder.Load{Running: 3})
		b.is.Equal(b.free(), 1) // two of the three have no contract here
		b.setLoad(wigeonladder.Load{})
		b.is.Equal(b.free(), 3)
	}, 4)
}

// Guards against a contract that is put to use after its server was listed as
// leaving, and against grants on the server from then on.
func TestLeavingRecalls(t *testing.T) {
	run(t, func(b *rig) {
		used, unused := b.requestSlot("e1", "w").Contract, b.requestSlot("e1", "w").Contract
		b.renew(used, 1)
		b.node.SetState("s0", wigeonladder.StateLeaving)
		time.Sleep(2 * refreshInterval)
		synctest.Wait()
		b.is.Equal(b.entries["e1"].recalled, []wigeonladder.ContractID{unused.ID})
		b.is.True(!b.requestSlot("e1", "w").OK)
		b.is.Equal(b.inUse(), 2) // both occupy their slots until they are released
	}, 3)
}

// Guards against grants before the contracts of an earlier home are known, and
// against a takeover that lasts longer than needed.
func TestTakeoverDelay(t *testing.T) {
	answer := wigeonladder.HeldContract{Contract: wigeonladder.Contract{Server: "s0"}}
	earlier := wigeonladder.HeldContract{Contract: wigeonladder.Contract{
		ID: wigeonladder.ContractID{HomeIncarnation: "old/1", Number: 7}, Server: "s0", Service: "desk", Workspace: "w", Entry: "e1",
	}}
	synctest.Test(t, func(t *testing.T) {
		b := newRig(is.New(t), 2)
		defer b.stop()
		b.is.True(!b.requestSlot("e1", "w").OK)
		time.Sleep(2 * refreshInterval) // the ledger learns of the members
		for _, vm := range []string{"home", "e1", "e2"} {
			b.is.True(!b.requestSlot("e1", "w").OK)
			rows := []wigeonladder.HeldContract{answer}
			if vm == "e1" {
				rows = append(rows, earlier)
			}
			b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{Entry: vm, Held: rows}))
		}
		b.is.True(b.requestSlot("e1", "w").OK)  // every member has answered
		b.is.True(!b.requestSlot("e1", "w").OK) // the earlier contract counts
	})
	synctest.Test(t, func(t *testing.T) {
		b := newRig(is.New(t), 1)
		defer b.stop()
		time.Sleep(wigeonladder.ContractTakeoverDelay - refreshInterval)
		b.is.True(!b.requestSlot("e1", "w").OK)
		time.Sleep(2 * refreshInterval)
		b.is.True(b.requestSlot("e1", "w").OK)
	})
}

// Guards against demands that expire although their entry sends keep-alives,
// and against a restarted home that accepts a keep-alive of an entry whose
// demands it does not know.
func TestKeepAliveKeepsDemands(t *testing.T) {
	run(t, func(b *rig) {
		keepAlive := func(vm string) error {
			return b.ledger.ReportDemand(context.Background(), wigeonladder.DemandReport{Entry: vm})
		}
		b.reportDemand("e1", "w", 5, wigeonladder.UrgencyNormal, 0)
		for range 4 {
			time.Sleep(demandExpiry / 2)
			b.is.NoErr(keepAlive("e1"))
		}
		b.is.Equal(len(b.ledger.Dump().Demands), 1)
		var e *wigeonladder.Error
		b.is.True(errors.As(keepAlive("e2"), &e))
		b.is.Equal(e.Code, wigeonladder.CodeNotFound)
	}, 1)
}
