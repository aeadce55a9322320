package contract

import (
	"context"
	"fmt"
	"testing"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// singleDaemonFleet is a fleet of one daemon whose entry accepts every
// contract. It has no links, so that the benchmarks measure the ledger only.
type singleDaemonFleet struct{}

func (singleDaemonFleet) Self() string                              { return "home" }
func (singleDaemonFleet) HomeOf(wigeonladder.Server) (string, bool) { return "home", true }
func (singleDaemonFleet) Home(string) wigeonladder.Home             { return nil }
func (singleDaemonFleet) Entry(string) wigeonladder.Entry           { return &recordingEntry{} }
func (singleDaemonFleet) Members() []string                         { return []string{"home"} }
func (singleDaemonFleet) State(string) wigeonladder.VMState         { return wigeonladder.StateLive }

// newSizedLedger returns a ledger of 13 servers and 15 workspaces, each times
// the factor, with all slots granted and all workspaces backlogged.
func newSizedLedger(b *testing.B, factor int) (*Ledger, []wigeonladder.Contract) {
	service := wigeonladder.Service{Name: "desk"}
	for i := range 13 * factor {
		s := wigeonladder.Server{Name: fmt.Sprint("s", i), Slots: 8, Models: []string{"base"}}
		service.Servers = append(service.Servers, s)
	}
	config := wigeonladder.Config{Register: wigeonladder.Register{Services: []wigeonladder.Service{service}}}
	l := NewLedger(b.Context(), Options{
		Fleet: singleDaemonFleet{}, Shares: fake.NewFairShares(), Incarnation: "home/1",
		Config:  func() wigeonladder.Config { return config },
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
	})
	var rows []wigeonladder.HeldContract
	for _, s := range service.Servers {
		rows = append(rows, wigeonladder.HeldContract{Contract: wigeonladder.Contract{Server: s.Name}})
	}
	checkErr(b, l.Renew(b.Context(), wigeonladder.Renewal{Entry: "home", Held: rows}))
	var held []wigeonladder.Contract
	for range 13 * factor * 8 {
		o, err := l.RequestSlot(b.Context(), wigeonladder.SlotRequest{Entry: "home", Demand: demandOf(len(held)%(15*factor), 1)})
		checkErr(b, err)
		held = append(held, o.Contract)
	}
	var report wigeonladder.DemandReport
	report.Entry = "home"
	for i := range 15 * factor {
		report.Demands = append(report.Demands, demandOf(i, 1<<30))
	}
	checkErr(b, l.ReportDemand(b.Context(), report))
	return l, held
}

// demandOf returns the demand of one workspace.
func demandOf(workspace, waiting int) wigeonladder.Demand {
	return wigeonladder.Demand{
		Service: "desk", Workspace: fmt.Sprint("w", workspace), Waiting: waiting, Estimate: 10, Model: "base",
	}
}

// checkErr fails the benchmark on an error.
func checkErr(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkReleaseAndGrant measures one release and the grant that follows it,
// with all workspaces backlogged. It guards against a cost that grows faster
// than the logarithm of workspaces and servers.
func BenchmarkReleaseAndGrant(b *testing.B) {
	for _, factor := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("x", factor), func(b *testing.B) {
			l, held := newSizedLedger(b, factor)
			next := make(chan wigeonladder.Contract, len(held))
			for _, c := range held {
				next <- c
			}
			p := l.pools["desk"]
			b.ResetTimer()
			for range b.N {
				c := <-next
				l.mu.Lock()
				t := l.leases[c.ID]
				l.settleCharge(t, wigeonladder.Release{ID: c.ID, Usage: wigeonladder.Usage{Cost: 12}})
				l.freeSlot(t)
				var out outbox
				l.dispatch(p, &out)
				for _, g := range out.grants["home"] {
					l.settleGrant(g, true)
					next <- g.contract
				}
				l.mu.Unlock()
			}
		})
	}
}

// BenchmarkRequestSlot measures one slot request and its release without
// backlog.
func BenchmarkRequestSlot(b *testing.B) {
	for _, factor := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("x", factor), func(b *testing.B) {
			l, held := newSizedLedger(b, factor)
			checkErr(b, l.ReportDemand(b.Context(), wigeonladder.DemandReport{Entry: "home", Full: true}))
			for _, c := range held[:len(held)/2] {
				checkErr(b, l.Release(b.Context(), []wigeonladder.Release{{ID: c.ID}}))
			}
			b.ResetTimer()
			for i := range b.N {
				o, err := l.RequestSlot(context.Background(), wigeonladder.SlotRequest{Entry: "home", Demand: demandOf(i%(15*factor), 1)})
				checkErr(b, err)
				checkErr(b, l.Release(context.Background(), []wigeonladder.Release{{ID: o.Contract.ID}}))
			}
		})
	}
}
