package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/ticket"
)

// memoryNetwork is an in-memory network of pipes whose links can be cut.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cut       map[[2]string]bool
}

// pipeListener accepts the pipes that daemons dial at one address.
type pipeListener struct {
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// pipeConn is one end of a pipe.
type pipeConn struct {
	net.Conn
	// ends are the addresses of this daemon and of its peer.
	ends [2]string
	net  *memoryNetwork
}

// Write writes to the pipe. Over a cut link it blocks until the write times
// out, as on a network that drops packets once the buffers are full.
func (w *pipeConn) Write(b []byte) (int, error) {
	if w.net.isCut(w.ends[0], w.ends[1]) {
		time.Sleep(writeTimeout)
		return 0, errors.New("write timed out")
	}
	return w.Conn.Write(b)
}

func (w *memoryNetwork) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

func (w *memoryNetwork) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
}

func (w *memoryNetwork) listen(address string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &pipeListener{in: make(chan net.Conn), done: make(chan struct{})}
	w.listeners[address] = p
	return p
}

func (w *memoryNetwork) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		w.mu.Lock()
		p := w.listeners[to]
		w.mu.Unlock()
		if p == nil {
			return nil, errors.New("connection refused")
		}
		if w.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		select {
		case p.in <- &pipeConn{b, [2]string{to, from}, w}:
			return &pipeConn{a, [2]string{from, to}, w}, nil
		case <-p.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// node is one daemon under test. It is also the fake of its own roles and of
// the sources that its mesh exports.
type node struct {
	*Mesh
	vm     wigeonladder.VM
	cancel context.CancelFunc

	mu               sync.Mutex
	config           wigeonladder.Config
	live             wigeonladder.LiveList
	documentsApplied int
	imported         []wigeonladder.ChargeReport
	demands          []wigeonladder.DemandReport
	grants           int
	unblockForwarded chan struct{}
	charges          wigeonladder.ChargeReport
}

// testFleet is a set of daemons on one in-memory network.
type testFleet struct {
	t      *testing.T
	net    *memoryNetwork
	config wigeonladder.Config
	nodes  map[string]*node
}

// newFleet returns a fleet without running daemons. Its register has the given
// number of VMs in up to three zones.
func newFleet(t *testing.T, size int) *testFleet {
	f := &testFleet{t: t, nodes: map[string]*node{}, net: &memoryNetwork{
		listeners: map[string]*pipeListener{}, cut: map[[2]string]bool{},
	}}
	f.config.Revision = 1
	for i := range size {
		f.config.Register.VMs = append(f.config.Register.VMs, wigeonladder.VM{
			Name: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%3), PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i),
		})
	}
	return f
}

// start starts the daemon of the VM with index i.
func (f *testFleet) start(i int, incarnation string, c wigeonladder.Config, seeds ...string) *node {
	ctx, cancel := context.WithCancel(f.t.Context())
	n := &node{vm: f.config.Register.VMs[i], cancel: cancel, config: c, unblockForwarded: make(chan struct{})}
	n.charges.HomeIncarnation = incarnation
	n.Mesh = NewMesh(ctx, Options{
		Self: n.vm, Incarnation: incarnation, Seeds: seeds, Seed: uint64(i + 1),
		Listener: f.net.listen(n.vm.PeerAddress), Dial: f.net.dial(n.vm.PeerAddress),
		Config: n.getConfig, Live: n.getLive, Document: func() []byte { return []byte("doc") },
		ApplyPeerDocument: f.applyPeerDocument(n), Counters: n, Suspects: nil,
	})
	n.SetRoles(n, n, n)
	f.nodes[n.vm.Name] = n
	return n
}

// startAll starts all daemons with the configuration of the fleet.
func (f *testFleet) startAll() {
	for i := range f.config.Register.VMs {
		f.start(i, fmt.Sprintf("a%d", i), f.config)
	}
}

// stop stops all daemons and waits until their goroutines have ended.
func (f *testFleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// waitWithin waits at most d for a condition and returns how long it took. It
// fails the test if the condition does not hold by then.
func (f *testFleet) waitWithin(d time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > d {
			f.t.Fatalf("not within %v: %s", d, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// converged reports whether the members that each running daemon knows are as
// many as the running daemons.
func (f *testFleet) converged() bool {
	for _, n := range f.nodes {
		if n.ctx.Err() == nil && len(n.Members()) != f.running() {
			return false
		}
	}
	return true
}

func (f *testFleet) running() int {
	running := 0
	for _, n := range f.nodes {
		if n.ctx.Err() == nil {
			running++
		}
	}
	return running
}

func (f *testFleet) applyPeerDocument(n *node) func([]byte) error {
	return func([]byte) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.config = f.config
		n.documentsApplied++
		return nil
	}
}

func (n *node) getConfig() wigeonladder.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}

func (n *node) getLive() wigeonladder.LiveList {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

func (n *node) Export() wigeonladder.ChargeReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.charges
	n.charges.Rows = nil
	return c
}

func (n *node) Import(c wigeonladder.ChargeReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.imported = append(n.imported, c)
}

func (n *node) RequestSlot(context.Context, wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	return wigeonladder.SlotOffer{Free: 7}, nil
}

func (n *node) ReportDemand(_ context.Context, r wigeonladder.DemandReport) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demands = append(n.demands, r)
	return nil
}

func (n *node) Renew(context.Context, wigeonladder.Renewal) error {
	return wigeonladder.Errorf(wigeonladder.CodeContractLate, "here", "too late").WithRetryAfter(3)
}

func (n *node) Release(context.Context, []wigeonladder.Release) error {
	return errors.New("plain")
}

func (n *node) Grant(_ context.Context, cs []wigeonladder.Contract) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grants += len(cs)
	return nil
}

func (n *node) Recall(context.Context, []wigeonladder.ContractID) error { return nil }

func (n *node) RunForwarded(ctx context.Context, incarnation string, r wigeonladder.Request) ticket.Outcome {
	select {
	case <-n.unblockForwarded:
	case <-ctx.Done():
	}
	return ticket.Outcome{Status: 200, Body: []byte(incarnation + r.Path)}
}
