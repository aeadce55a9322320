package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// network connects meshes by pipes in virtual time.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	isolated map[string]bool
	// cut holds the pairs of nodes that do not reach each other.
	cut map[[2]string]bool
}

// node is one mesh and its listener.
type node struct {
	net          *network
	name         string
	accept       chan net.Conn
	mesh         *Mesh
	mu           sync.Mutex
	reportCounts map[string]int
	parts        map[string][]place.SentPart
	conns        []net.Conn
	closed       chan struct{}
	once         sync.Once
}

// discardJournal is a journal that discards all events.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}

// Accept implements net.Listener.
func (n *node) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *node) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

// Addr implements net.Listener.
func (n *node) Addr() net.Addr { return nil }

// reportsFrom returns how many reports of a daemon were imported, and the sent
// parts in them.
func (n *node) reportsFrom(name string) (count int, parts []place.SentPart) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reportCounts[name], slices.Clone(n.parts[name])
}

// dial connects one node to another.
func (x *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	x.mu.Lock()
	n := x.nodes[to]
	unreachable := x.isolated[from] || x.isolated[to] || x.cut[[2]string{from, to}] || x.cut[[2]string{to, from}]
	x.mu.Unlock()
	if n == nil || unreachable {
		return nil, errors.New("unreachable")
	}
	a, b := net.Pipe()
	select {
	case n.accept <- b:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for _, m := range []*node{n, x.nodes[from]} {
		m.mu.Lock()
		m.conns = append(m.conns, a, b)
		m.mu.Unlock()
	}
	return a, nil
}

// isolate closes the connections of a node and prevents new ones, or allows
// them again.
func (x *network) isolate(name string, isolated bool) {
	x.mu.Lock()
	x.isolated[name] = isolated
	n := x.nodes[name]
	x.mu.Unlock()
	if !isolated {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// add starts a mesh that sends empty reports.
func (x *network) add(ctx context.Context, name string, seeds ...string) *node {
	return x.addIn(ctx, "", name, func(bool) Report { return Report{} }, seeds...)
}

// addIn starts a mesh in a zone that sends the reports of export.
func (x *network) addIn(ctx context.Context, zone, name string, export func(bool) Report, seeds ...string) *node {
	return x.addWith(ctx, Options{
		Self: Member{Name: name, Zone: zone, Address: name, Incarnation: name}, Export: export, Seeds: func() []string { return seeds },
	})
}

// addWith starts a mesh in the network.
func (x *network) addWith(ctx context.Context, o Options) *node {
	name := o.Self.Name
	n := &node{
		net: x, name: name, accept: make(chan net.Conn), reportCounts: map[string]int{}, parts: map[string][]place.SentPart{},
		closed: make(chan struct{}),
	}
	x.mu.Lock()
	x.nodes[name] = n
	x.mu.Unlock()
	o.Listener, o.Journal = n, discardJournal{}
	o.Dial = func(ctx context.Context, a string) (net.Conn, error) { return x.dial(ctx, name, a) }
	o.Import = func(r Report) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.reportCounts[r.From]++
		n.parts[r.From] = append(n.parts[r.From], r.Place.Sent...)
	}
	n.mesh = New(ctx, o)
	return n
}

// bubble runs a test with an empty network in virtual time, and stops its
// daemons at the end.
func bubble(t *testing.T, test func(t *testing.T, ctx context.Context, x *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		test(t, ctx, &network{nodes: map[string]*node{}, isolated: map[string]bool{}, cut: map[[2]string]bool{}})
	})
}

// withFiveDaemons runs a test with five daemons, of which two are seeds.
func withFiveDaemons(t *testing.T, test func(*testing.T, context.Context, *network, []*node)) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		var nodes []*node
		for i := range 5 {
			nodes = append(nodes, x.add(ctx, fmt.Sprintf("n%d", i), "n0", "n1"))
		}
		time.Sleep(5 * time.Second)
		test(t, ctx, x, nodes)
	})
}

// Guards against daemons that do not receive each other's reports although they
// have a seed in common.
func TestSeedsConnectAllDaemons(t *testing.T) {
	withFiveDaemons(t, func(t *testing.T, ctx context.Context, x *network, nodes []*node) {
		is := is.New(t)
		for _, n := range nodes {
			is.Equal(n.mesh.AliveCount(), 5)
			is.Equal(len(n.mesh.PeerAddresses()), 4)
		}
		late := x.add(ctx, "late", "n1")
		time.Sleep(5 * time.Second)
		is.Equal(late.mesh.AliveCount(), 6)
		is.Equal(nodes[4].mesh.AliveCount(), 6)
	})
}

// Guards against an isolated daemon that still counts as alive, and against one
// that the others do not find again after the isolation, also if it is a seed.
func TestIsolatedDaemonIsFoundAgain(t *testing.T) {
	withFiveDaemons(t, func(t *testing.T, _ context.Context, x *network, nodes []*node) {
		is := is.New(t)
		for _, name := range []string{"n0", "n3"} {
			x.isolate(name, true)
			time.Sleep(30 * time.Second)
			for _, n := range nodes {
				want := 4
				if n.name == name {
					want = 1
				}
				is.Equal(n.mesh.AliveCount(), want)
			}
			x.isolate(name, false)
			time.Sleep(10 * time.Second)
			for _, n := range nodes {
				is.Equal(n.mesh.AliveCount(), 5)
			}
		}
	})
}

// withTwoZones runs a test with two daemons in each of two zones: a0 and b0,
// which are the relays, and a1 and b1, which send one part with each report.
func withTwoZones(t *testing.T, test func(*testing.T, *network, map[string]*node)) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		emptyReport := func(bool) Report { return Report{} }
		for _, zone := range []string{"a", "b"} {
			next := uint64(0)
			export := func(bool) Report {
				next++
				return Report{Place: place.Report{Sent: []place.SentPart{{Server: "s", Part: next, Tokens: 1}}}}
			}
			x.addIn(ctx, zone, zone+"1", export, "a0", "b0")
			x.addIn(ctx, zone, zone+"0", emptyReport, "a0", "b0")
		}
		time.Sleep(5 * time.Second)
		test(t, x, x.nodes)
	})
}

// Guards against traffic between zones that grows with the number of daemons
// and reports in a zone, and against parts that are lost or imported twice
// because reports are merged and relayed.
func TestReportsBetweenZones(t *testing.T) {
	withTwoZones(t, func(t *testing.T, _ *network, nodes map[string]*node) {
		is := is.New(t)
		reportCount, _ := nodes["a0"].reportsFrom("a1")
		is.True(reportCount >= int(4*time.Second/reportPeriod))
		before := map[string]int{}
		for _, name := range []string{"b0", "b1"} {
			before[name], _ = nodes[name].reportsFrom("a1")
			is.True(before[name] <= relaysIn(5*time.Second)+relaysIn(maxReportPeriod))
			is.True(before[name] >= relaysIn(3*time.Second))
		}
		time.Sleep(5 * time.Second)
		for _, name := range []string{"b0", "b1"} {
			n := nodes[name]
			is.Equal(n.mesh.AliveCount(), 4)
			reportCount, parts := n.reportsFrom("a1")
			is.True(reportCount-before[name] <= relaysIn(5*time.Second))
			is.True(reportCount-before[name] >= relaysIn(5*time.Second)-2)
			partsAfterConnect := parts[int(time.Second/reportPeriod):]
			for i, p := range partsAfterConnect {
				is.Equal(p.Part, partsAfterConnect[0].Part+uint64(i)) // each part once
			}
		}
	})
}

// relaysIn returns how many relays one zone sends at most in a time. At the
// start, until a daemon has heard the relay of its zone, it relays as well.
func relaysIn(d time.Duration) int { return int(d/relayPeriod) + 1 }

// Guards against a zone whose reports no longer arrive in the other zone,
// because its relay is unreachable, or because the daemon to which the relay
// sends them is.
func TestRelayIsReplaced(t *testing.T) {
	withTwoZones(t, func(t *testing.T, x *network, nodes map[string]*node) {
		is := is.New(t)
		x.isolate("a0", true)
		x.isolate("b1", true)
		time.Sleep(3 * time.Second)
		before, _ := nodes["b0"].reportsFrom("a1")
		time.Sleep(3 * time.Second)
		after, _ := nodes["b0"].reportsFrom("a1")
		is.True(after > before)
		is.Equal(nodes["b0"].mesh.AliveCount(), 2)
		x.isolate("a0", false)
		x.isolate("b1", false)
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			is.Equal(n.mesh.AliveCount(), 4)
		}
	})
}

// Guards against an older report that replaces a newer one, and against reports
// that are dropped after a restart because their sequence starts again.
func TestOldReportsAreDropped(t *testing.T) {
	is := is.New(t)
	imported := 0
	m := &Mesh{
		options: Options{Self: Member{Name: "self"}, Import: func(Report) { imported++ }, Journal: discardJournal{}},
		origins: map[string]origin{}, pendingRelay: map[string]Report{},
	}
	for i, want := range []bool{true, false, true, false, true} {
		sequence := []int64{2, 1, 3, 3, 1}[i]
		incarnation := []string{"a", "a", "a", "a", "b"}[i]
		is.Equal(m.importReport(Report{From: "x", Incarnation: incarnation, Sequence: sequence}, methodRelayed), want)
	}
	is.Equal(imported, 3)
	is.True(!m.importReport(Report{From: "self", Sequence: 9}, methodReport))
}

// Guards against a merge of two reports that loses rows or keeps outdated ones.
func TestReportWithNext(t *testing.T) {
	is := is.New(t)
	a := Report{
		Place:   place.Report{Loads: []place.ServerLoad{{Server: "x", Running: 1}}, Sent: []place.SentPart{{Server: "x", Part: 1}}},
		Totals:  []fair.WorkspaceTotals{{Workspace: "v", Demand: 1}, {Workspace: "w", Demand: 1}},
		Charges: &wigeonladder.ChargeReport{HomeIncarnation: "h", Rows: []wigeonladder.Charge{{Service: "s", Workspace: "v", Total: 1}}},
	}
	b := Report{
		Place:      place.Report{Loads: []place.ServerLoad{{Server: "y", Running: 2}}, Sent: []place.SentPart{{Server: "y", Part: 2}}},
		Totals:     []fair.WorkspaceTotals{{Workspace: "v", Demand: 5}},
		Suspicions: []wigeonladder.Suspicion{{Fingerprint: 7}},
	}
	got := a.WithNext(b)
	is.Equal(got.Place.Loads, b.Place.Loads)
	is.Equal(got.Place.Sent, []place.SentPart{{Server: "x", Part: 1}, {Server: "y", Part: 2}})
	is.Equal(got.Totals, []fair.WorkspaceTotals{{Workspace: "v", Demand: 5}, {Workspace: "w", Demand: 1}})
	is.Equal(got.Charges, a.Charges)
	is.Equal(got.Suspicions, b.Suspicions)
	next := got.WithNext(Report{Suspicions: []wigeonladder.Suspicion{{Fingerprint: 3}, {Fingerprint: 7, AgeMs: 1}}})
	is.Equal(next.Suspicions, []wigeonladder.Suspicion{{Fingerprint: 3}, {Fingerprint: 7, AgeMs: 1}})
	is.Equal(got.WithNext(Report{Suspicions: []wigeonladder.Suspicion{{Fingerprint: 3}}}).Suspicions, []wigeonladder.Suspicion{{Fingerprint: 3}, {Fingerprint: 7}})
	is.Equal(Report{}.WithNext(a), a)
	is.Equal(a.WithNext(Report{From: "f", Incarnation: "i", Sequence: 3, MaxIntervalMs: 4}).Sequence, int64(3))
}

// Guards against parts of limits that are given to daemons which are stopping or were
// not heard for a time.
func TestMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &Mesh{
			options: Options{Self: Member{Name: "self"}, Import: func(Report) {}, Journal: discardJournal{}},
			origins: map[string]origin{}, pendingRelay: map[string]Report{}, pendingUp: map[string]Report{}, pendingDown: map[string]Report{},
		}
		report := func(name string, sequence int64, draining bool) {
			m.importReport(Report{From: name, Zone: "z", Incarnation: "i", Sequence: sequence, MaxIntervalMs: 400, Draining: draining}, methodReport)
		}
		report("a", 1, false)
		report("b", 1, true)
		is.Equal(m.Members(), []place.Member{{Name: "a", Zone: "z"}})
		report("b", 2, false)
		is.Equal(len(m.Members()), 2)
		time.Sleep(lifetimeMin)
		is.Equal(len(m.Members()), 0)
	})
}

// Guards against a daemon that starts, or returns from a partition, and takes calls
// before it knows what the others know.
func TestNewConnectionsTellWhatIsKnown(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		is := is.New(t)
		learned := make(chan Report, 10)
		known := func() Report { return Report{Suspicions: []wigeonladder.Suspicion{{Fingerprint: 7}}} }
		options := func(name string, seeds ...string) Options {
			return Options{
				Self: Member{Name: name, Address: name, Incarnation: name}, Export: func(bool) Report { return Report{} },
				Seeds: func() []string { return seeds },
			}
		}
		first := options("a")
		first.Known = known
		x.addWith(ctx, first)
		second := options("b", "a")
		second.Learn = func(r Report) { learned <- r }
		x.addWith(ctx, second)
		start := time.Now()
		is.Equal((<-learned).Suspicions, known().Suspicions)
		is.True(time.Since(start) <= 2*reportPeriod)
		x.isolate("b", true)
		time.Sleep(time.Second)
		x.isolate("b", false)
		is.Equal((<-learned).Suspicions, known().Suspicions)
	})
}
