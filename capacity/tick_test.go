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

// tableFleet is the fleet of one daemon that knows all members and never calls
// another one.
type tableFleet struct {
	*member.Table
	self string
}

// Self implements wigeonladder.Fleet.
func (f tableFleet) Self() string { return f.self }

// State implements wigeonladder.Fleet.
func (tableFleet) State(string) wigeonladder.VMState { return wigeonladder.StateLive }

// Home implements wigeonladder.Fleet.
func (tableFleet) Home(string) wigeonladder.Home { return nobody{} }

// Entry implements wigeonladder.Fleet.
func (tableFleet) Entry(string) wigeonladder.Entry { return nobody{} }

// nobody takes every call and grants nothing.
type nobody struct{}

// RequestSlot implements wigeonladder.Home.
func (nobody) RequestSlot(context.Context, wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	return wigeonladder.SlotOffer{}, nil
}

// ReportDemand implements wigeonladder.Home.
func (nobody) ReportDemand(context.Context, wigeonladder.DemandReport) error { return nil }

// Renew implements wigeonladder.Home.
func (nobody) Renew(context.Context, wigeonladder.Renewal) error { return nil }

// Release implements wigeonladder.Home.
func (nobody) Release(context.Context, []wigeonladder.Release) error { return nil }

// Grant implements wigeonladder.Entry.
func (nobody) Grant(context.Context, []wigeonladder.Contract) error { return nil }

// Recall implements wigeonladder.Entry.
func (nobody) Recall(context.Context, []wigeonladder.ContractID) error { return nil }

// Reports the processor time and the memory of the home and the entry role and
// the mesh of one daemon without requests and without peers. It asserts nothing: both exceed the budget or depend on the machine.
func TestTickTime(t *testing.T) {
	const window = 40
	for _, n := range sizes([]int{5}, []int{50, 390}) {
		s := SizeFor(n)
		start := heap()
		c := s.Config()
		for _, role := range []string{"home", "entry", "mesh"} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				runRole(ctx, role, c)
				time.Sleep(10 * time.Second)
				began := processor()
				time.Sleep(window * time.Second)
				used := processor() - began
				t.Logf("register of %d VMs and %d servers: %s uses %.2f ms/s of processor and %.2f MB with the configuration",
					n, s.Servers, role, used.Seconds()*1000/window, (heap()-start)/1e6)
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		}
	}
}

// runRole starts one role at the first VM of the register.
func runRole(ctx context.Context, role string, c wigeonladder.Config) {
	f := tableFleet{table(c), c.Register.VMs[0].Name}
	config := func() wigeonladder.Config { return c }
	switch role {
	case "mesh":
		w := &wires{listeners: map[string]*pipes{}}
		vm := c.Register.VMs[0]
		peer.NewMesh(ctx, peer.Options{
			Self: vm, Incarnation: "a", Seed: 1, Listener: w.listen(vm.PeerAddress), Dial: w.dial,
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
