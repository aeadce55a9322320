package capacity

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/member"
	"github.com/wigeonladder/wigeonladder/peer"
)

// tableFleet is the fleet as seen by a daemon that knows all members but calls none
// of them.
type tableFleet struct {
	*member.Table
	self string
}

// Self implements wigeonladder.Fleet.
func (f tableFleet) Self() string { return f.self }

// State implements wigeonladder.Fleet.
func (tableFleet) State(string) wigeonladder.VMState { return wigeonladder.StateLive }

// Home implements wigeonladder.Fleet.
func (tableFleet) Home(string) wigeonladder.Home { return noopRoles{} }

// Entry implements wigeonladder.Fleet.
func (tableFleet) Entry(string) wigeonladder.Entry { return noopRoles{} }

// noopRoles is a home and an entry that accept every call and do nothing. The home
// grants no slot.
type noopRoles struct{}

// RequestSlot implements wigeonladder.Home.
func (noopRoles) RequestSlot(context.Context, wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	return wigeonladder.SlotOffer{}, nil
}

// ReportDemand implements wigeonladder.Home.
func (noopRoles) ReportDemand(context.Context, wigeonladder.DemandReport) error { return nil }

// Renew implements wigeonladder.Home.
func (noopRoles) Renew(context.Context, wigeonladder.Renewal) error { return nil }

// Release implements wigeonladder.Home.
func (noopRoles) Release(context.Context, []wigeonladder.Release) error { return nil }

// Grant implements wigeonladder.Entry.
func (noopRoles) Grant(context.Context, []wigeonladder.Contract) error { return nil }

// Recall implements wigeonladder.Entry.
func (noopRoles) Recall(context.Context, []wigeonladder.ContractID) error { return nil }

// Logs the processor time and the memory of the home, the entry and the mesh of one
// daemon without requests and peers. The test asserts nothing, because the figures
// exceed the budget or depend on the machine.
func TestTickTime(t *testing.T) {
	const window = 40 // seconds
	for _, n := range sizes([]int{5}, []int{50, 390}) {
		s := SizeFor(n)
		start := usedMemory()
		c := s.Config()
		for _, role := range []string{"home", "entry", "mesh"} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				runRole(ctx, role, c)
				time.Sleep(10 * time.Second)
				began := processorTime()
				time.Sleep(window * time.Second)
				used := processorTime() - began
				t.Logf("register of %d VMs and %d servers: %s uses %.2f ms/s of processor and %.2f MB with the configuration",
					n, s.Servers, role, used.Seconds()*1000/window, (usedMemory()-start)/1e6)
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		}
	}
}

// runRole starts one role on the first VM of the register.
func runRole(ctx context.Context, role string, c wigeonladder.Config) {
	f := tableFleet{newFullTable(c), c.Register.VMs[0].Name}
	config := func() wigeonladder.Config { return c }
	switch role {
	case "mesh":
		n := &pipeNetwork{listeners: map[string]*pipeListener{}}
		vm := c.Register.VMs[0]
		peer.NewMesh(ctx, peer.Options{
			Self: vm, Incarnation: "a", Seed: 1, Listener: n.listen(vm.PeerAddress), Dial: n.dial,
			Config: config, Live: func() wigeonladder.LiveList { return wigeonladder.LiveList{} },
			Document: func() []byte { return nil }, ApplyPeerDocument: func([]byte) error { return nil },
		})
		return
	case "entry":
		entry.NewQueue(ctx, entry.Options{Fleet: f, Zone: c.Register.VMs[0].Zone, Config: config})
		return
	}
	contract.NewLedger(ctx, contract.Options{
		Fleet: f, Shares: fair.NewCounters(fair.Options{HomeIncarnation: "a"}), Config: config, Incarnation: "a",
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
	})
}
