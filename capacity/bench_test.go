package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/member"
	"github.com/wigeonladder/wigeonladder/setting"
)

// BenchmarkParse measures the parsing and checking of one changed configuration.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{5, 50, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			document := SizeFor(n).Document()
			b.ReportMetric(float64(len(document)), "B/document")
			for b.Loop() {
				if _, err := setting.ParseConfig("config", document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "B/document")
		})
	}
}

// BenchmarkExchange measures the export of changed counters, their JSON encoding
// and decoding, and the import: what the fair-share counters add to one heartbeat.
func BenchmarkExchange(b *testing.B) {
	for _, rows := range []int{15, 150, 1540} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			from := fair.NewCounters(fair.Options{HomeIncarnation: "a"})
			to := fair.NewCounters(fair.Options{HomeIncarnation: "b"})
			size := 0
			for b.Loop() {
				for i := range rows {
					from.Charge(ServiceName(i%Models), WorkspaceName(i/Models), 400)
				}
				data, err := json.Marshal(from.Export())
				if err != nil {
					b.Fatal(err)
				}
				var c wigeonladder.ChargeReport
				if err := json.Unmarshal(data, &c); err != nil {
					b.Fatal(err)
				}
				to.Import(c)
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(rows), "B/row")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(rows), "ns/row")
		})
	}
}

// newNode returns a daemon without peers, which is the home of all servers.
func newNode(s Size) (*fake.Node, wigeonladder.Config) {
	c := s.Config()
	return fake.NewNetwork(0).AddDaemon(c.Register.VMs[0]), c
}

// newLedger returns the ledger of a home in a fleet of one daemon. It sends the
// ledger this daemon's takeover answer for each server, so that the home may grant
// the slots at once.
func newLedger(ctx context.Context, b testing.TB, s Size) (*contract.Ledger, *fake.Node, wigeonladder.Config) {
	n, c := newNode(s)
	l := contract.NewLedger(ctx, contract.Options{
		Fleet: n, Shares: fair.NewCounters(fair.Options{HomeIncarnation: "a"}), Incarnation: "000000000001",
		Config:  func() wigeonladder.Config { return c },
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
	})
	var r wigeonladder.Renewal
	r.Entry = n.Self()
	for _, v := range c.Register.Services {
		for _, s := range v.Servers {
			r.Held = append(r.Held, wigeonladder.HeldContract{Contract: wigeonladder.Contract{Server: s.Name}})
		}
	}
	if err := l.Renew(ctx, r); err != nil {
		b.Fatal(err)
	}
	return l, n, c
}

// requestAllSlots requests slots until there is no free one, and returns the
// contracts.
func requestAllSlots(b testing.TB, l *contract.Ledger, vm string) []wigeonladder.HeldContract {
	var held []wigeonladder.HeldContract
	for i := 0; ; i++ {
		o, err := l.RequestSlot(b.Context(), wigeonladder.SlotRequest{Entry: vm, Demand: wigeonladder.Demand{
			Service: ServiceName(0), Workspace: WorkspaceName(i % 15), Waiting: 1, Estimate: 400,
		}})
		if err != nil {
			b.Fatal(err)
		}
		if !o.OK {
			return held
		}
		held = append(held, wigeonladder.HeldContract{Contract: o.Contract, Cost: 200})
	}
}

// BenchmarkRenew measures one renewal: its JSON encoding and decoding, and the
// ledger.
func BenchmarkRenew(b *testing.B) {
	for _, servers := range []int{1, 16, 160} {
		b.Run(fmt.Sprint(servers*serverSlots), func(b *testing.B) {
			l, n, _ := newLedger(b.Context(), b, Size{Daemons: 1, Servers: servers, Services: 1, Zones: 1})
			held := requestAllSlots(b, l, n.Self())
			size := 0
			for b.Loop() {
				data, err := json.Marshal(wigeonladder.Renewal{Entry: n.Self(), Held: held})
				if err != nil {
					b.Fatal(err)
				}
				var r wigeonladder.Renewal
				if err := json.Unmarshal(data, &r); err != nil {
					b.Fatal(err)
				}
				if err := l.Renew(b.Context(), r); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(len(held)), "B/contract")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(held)), "ns/contract")
		})
	}
}

// BenchmarkEnqueue measures one request through the queue and the home of one
// daemon without backlog, at 1, 10 and 100 times 15 workspaces and 13 servers.
func BenchmarkEnqueue(b *testing.B) {
	for _, factor := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("x", factor), func(b *testing.B) {
			l, n, c := newLedger(b.Context(), b, Size{Daemons: 1, Servers: 13 * factor, Services: 1, Zones: 1})
			q := entry.NewQueue(b.Context(), entry.Options{Fleet: n, Zone: c.Register.VMs[0].Zone, Config: func() wigeonladder.Config { return c }})
			n.SetRoles(l, q)
			i := 0
			for b.Loop() {
				r := request(i)
				r.Workspace = WorkspaceName(i % (15 * factor))
				k, err := q.Place(b.Context(), r)
				if err != nil {
					b.Fatal(err)
				}
				q.Release(k, wigeonladder.Usage{Cost: 400})
				i++
			}
		})
	}
}

// BenchmarkLearn measures the work of a member table in each heartbeat round.
func BenchmarkLearn(b *testing.B) {
	for _, n := range []int{5, 50, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := SizeFor(n).Config()
			t := newFullTable(c)
			for b.Loop() {
				t.ApplyRegister(c.Register.VMs, wigeonladder.LiveList{})
				t.Tick()
				_, _ = t.StartRound()
				for range member.MaxHeartbeatTargets {
					_ = t.RelayRecords("vm-001")
					_ = t.Digest()
				}
			}
		})
	}
}

// newFullTable returns the member table of the first VM after it has heard of all
// others.
func newFullTable(c wigeonladder.Config) *member.Table {
	t := member.NewTable(member.Options{Self: c.Register.VMs[0], Incarnation: "000000000001"})
	for i, v := range c.Register.VMs[1:] {
		t.MergeHeartbeat(member.Record{
			VM: v.Name, Zone: v.Zone, PeerAddress: v.PeerAddress, Incarnation: fmt.Sprintf("%012x", i+2), Sequence: 1, HomeEligible: true,
		}, nil)
	}
	return t
}
