package fake

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// ErrLinkCut is returned by calls over a link that is cut.
var ErrLinkCut = errors.New("link is cut")

// Network is an in-memory stand-in for the links of a fleet. It delivers calls
// after a one-way delay, on the runtime's clock, and can cut links.
type Network struct {
	delay time.Duration

	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[[2]string]bool
	sent  map[string]int
	// loss is the probability that a message is lost.
	loss   float64
	random *rand.Rand
}

// NewNetwork returns links with a one-way delay between different daemons.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay: delay,
		nodes: map[string]*Node{},
		cut:   map[[2]string]bool{},
		sent:  map[string]int{},
	}
}

// Node is one daemon's view of the links. It implements wigeonladder.Fleet.
type Node struct {
	links *Network
	vm    wigeonladder.VM
	home  wigeonladder.Home
	entry wigeonladder.Entry

	states map[string]wigeonladder.VMState
	down   bool
}

// AddDaemon returns the node of a new daemon. Set its roles with Serve.
func (l *Network) AddDaemon(vm wigeonladder.VM) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := &Node{links: l, vm: vm, states: map[string]wigeonladder.VMState{}}
	l.nodes[vm.Name] = n
	return n
}

// SetLinkCut cuts or mends the link between two daemons in both directions.
func (l *Network) SetLinkCut(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{a, b}] = cut
	l.cut[[2]string{b, a}] = cut
}

// SetLossRate loses each message between different daemons with a probability, by a
// sequence of choices that the seed fixes.
func (l *Network) SetLossRate(loss float64, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = loss
	l.random = rand.New(rand.NewPCG(seed, seed))
}

// loses chooses whether one message is lost.
func (l *Network) loses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loss > 0 && l.random.Float64() < l.loss
}

// SetDown stops or starts a daemon as the others see it.
func (l *Network) SetDown(vm string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[vm].down = down
}

// SentMessages returns the number of calls that left a daemon over a link.
func (l *Network) SentMessages(vm string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[vm]
}

// reaches reports whether a call from one daemon to another gets through.
func (l *Network) reaches(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b := l.nodes[from], l.nodes[to]
	if a == nil || b == nil || a.down || b.down {
		return false
	}
	return !l.cut[[2]string{from, to}]
}

// carry waits for the delay of one crossing, unless the context ends or the
// link is cut.
func (l *Network) carry(ctx context.Context, from, to string) error {
	if from == to {
		return ctx.Err()
	}
	l.mu.Lock()
	l.sent[from]++
	l.mu.Unlock()
	t := time.NewTimer(l.delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	if !l.reaches(from, to) || l.loses() {
		return ErrLinkCut
	}
	return nil
}

// SetRoles sets the roles of the daemon.
func (n *Node) SetRoles(h wigeonladder.Home, e wigeonladder.Entry) {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	n.home, n.entry = h, e
}

// SetState sets what this daemon knows of a backend server.
func (n *Node) SetState(server string, s wigeonladder.VMState) {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	n.states[server] = s
}

// Self implements wigeonladder.Fleet.
func (n *Node) Self() string { return n.vm.Name }

// State implements wigeonladder.Fleet.
func (n *Node) State(server string) wigeonladder.VMState {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if s, ok := n.states[server]; ok {
		return s
	}
	return wigeonladder.StateLive
}

// Members implements wigeonladder.Fleet: the daemons that this one reaches.
func (n *Node) Members() []string {
	n.links.mu.Lock()
	names := make([]string, 0, len(n.links.nodes))
	for name := range n.links.nodes {
		names = append(names, name)
	}
	n.links.mu.Unlock()
	names = slices.DeleteFunc(names, func(name string) bool {
		return name != n.vm.Name && !n.links.reaches(n.vm.Name, name)
	})
	slices.Sort(names)
	return names
}

// HomeOf implements wigeonladder.Fleet by rendezvous hashing over the daemons
// of the server's zone, or over all if the zone has none.
func (n *Node) HomeOf(server wigeonladder.Server) (string, bool) {
	best := ""
	var top uint64
	for _, local := range []bool{true, false} {
		for _, name := range n.Members() {
			n.links.mu.Lock()
			zone := n.links.nodes[name].vm.Zone
			n.links.mu.Unlock()
			if local && zone != server.Zone {
				continue
			}
			h := xxhash.Sum64String(name + "/" + server.Name)
			if best == "" || h > top {
				best, top = name, h
			}
		}
		if best != "" {
			return best, true
		}
	}
	return "", false
}

// Home implements wigeonladder.Fleet.
func (n *Node) Home(vm string) wigeonladder.Home { return stub{n, vm} }

// Entry implements wigeonladder.Fleet.
func (n *Node) Entry(vm string) wigeonladder.Entry { return stub{n, vm} }

// stub calls the roles of another daemon over the links.
type stub struct {
	from *Node
	to   string
}

// call carries a request there and the answer back.
func call[T any](ctx context.Context, s stub, f func(*Node) (T, error)) (T, error) {
	var none T
	l := s.from.links
	if err := l.carry(ctx, s.from.vm.Name, s.to); err != nil {
		return none, err
	}
	l.mu.Lock()
	n := l.nodes[s.to]
	l.mu.Unlock()
	if n == nil {
		return none, ErrLinkCut
	}
	answer, err := f(n)
	if err != nil {
		return none, err
	}
	if err := l.carry(ctx, s.to, s.from.vm.Name); err != nil {
		return none, err
	}
	return answer, nil
}

// RequestSlot implements wigeonladder.Home.
func (s stub) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	return call(ctx, s, func(n *Node) (wigeonladder.SlotOffer, error) { return n.home.RequestSlot(ctx, a) })
}

// ReportDemand implements wigeonladder.Home.
func (s stub) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	_, err := call(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.ReportDemand(ctx, r) })
	return err
}

// Renew implements wigeonladder.Home.
func (s stub) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	_, err := call(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.Renew(ctx, r) })
	return err
}

// Release implements wigeonladder.Home.
func (s stub) Release(ctx context.Context, r []wigeonladder.Release) error {
	_, err := call(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.Release(ctx, r) })
	return err
}

// Grant implements wigeonladder.Entry.
func (s stub) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	_, err := call(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.entry.Grant(ctx, cs) })
	return err
}

// Recall implements wigeonladder.Entry.
func (s stub) Recall(ctx context.Context, ids []wigeonladder.ContractID) error {
	_, err := call(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.entry.Recall(ctx, ids) })
	return err
}
