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

// ErrLinkCut is the error of a call that fails because the link is cut, the called
// daemon is down or a message is lost. An Engine also ends a stream with it to break
// the connection.
var ErrLinkCut = errors.New("link is cut")

// Network is an in-memory stand-in for the links between the daemons of a fleet. It
// delivers messages after a one-way delay, for which it uses timers of package time,
// and can cut links and lose messages.
type Network struct {
	delay time.Duration

	mu           sync.Mutex
	nodes        map[string]*Node
	cutLinks     map[[2]string]bool
	sentMessages map[string]int
	// lossRate is the probability that a message is lost.
	lossRate float64
	random   *rand.Rand
}

// NewNetwork returns a network without daemons. The one-way delay applies between
// different daemons.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay:        delay,
		nodes:        map[string]*Node{},
		cutLinks:     map[[2]string]bool{},
		sentMessages: map[string]int{},
	}
}

// Node is one daemon's view of the fleet. It implements wigeonladder.Fleet by
// calls over the network.
type Node struct {
	network *Network
	vm      wigeonladder.VM
	home    wigeonladder.Home
	entry   wigeonladder.Entry

	states map[string]wigeonladder.VMState
	down   bool
}

// AddDaemon adds a daemon and returns its node. SetRoles must be called before
// other daemons call it.
func (w *Network) AddDaemon(vm wigeonladder.VM) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &Node{network: w, vm: vm, states: map[string]wigeonladder.VMState{}}
	w.nodes[vm.Name] = n
	return n
}

// SetLinkCut cuts or restores the link between two daemons in both directions.
func (w *Network) SetLinkCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutLinks[[2]string{a, b}] = cut
	w.cutLinks[[2]string{b, a}] = cut
}

// SetLossRate sets the probability with which each message between different
// daemons is lost. The seed determines the sequence of losses.
func (w *Network) SetLossRate(rate float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossRate = rate
	w.random = rand.New(rand.NewPCG(seed, seed))
}

// loseMessage decides by the loss rate whether one message is lost.
func (w *Network) loseMessage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossRate > 0 && w.random.Float64() < w.lossRate
}

// SetDown makes a daemon unreachable for all others, or reachable again.
func (w *Network) SetDown(vm string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[vm].down = down
}

// SentMessages returns the number of messages that a daemon sent to others. A call
// is one message, and its answer is one message of the called daemon.
func (w *Network) SentMessages(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentMessages[vm]
}

// canReach reports whether both daemons are up and the link between them is not
// cut.
func (w *Network) canReach(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, b := w.nodes[from], w.nodes[to]
	if a == nil || b == nil || a.down || b.down {
		return false
	}
	return !w.cutLinks[[2]string{from, to}]
}

// deliver counts one message and waits for its delay. It returns an error if the
// context ends, the receiver cannot be reached or the message is lost.
func (w *Network) deliver(ctx context.Context, from, to string) error {
	if from == to {
		return ctx.Err()
	}
	w.mu.Lock()
	w.sentMessages[from]++
	w.mu.Unlock()
	t := time.NewTimer(w.delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	if !w.canReach(from, to) || w.loseMessage() {
		return ErrLinkCut
	}
	return nil
}

// SetRoles sets the home and the entry role of the daemon.
func (n *Node) SetRoles(h wigeonladder.Home, e wigeonladder.Entry) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.home, n.entry = h, e
}

// SetState sets the state of a backend server as this daemon sees it. Without it
// the server is live.
func (n *Node) SetState(server string, s wigeonladder.VMState) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.states[server] = s
}

// Self implements wigeonladder.Fleet.
func (n *Node) Self() string { return n.vm.Name }

// State implements wigeonladder.Fleet.
func (n *Node) State(server string) wigeonladder.VMState {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if s, ok := n.states[server]; ok {
		return s
	}
	return wigeonladder.StateLive
}

// Members implements wigeonladder.Fleet. It returns the daemons that this one can
// reach, and itself.
func (n *Node) Members() []string {
	n.network.mu.Lock()
	names := make([]string, 0, len(n.network.nodes))
	for name := range n.network.nodes {
		names = append(names, name)
	}
	n.network.mu.Unlock()
	names = slices.DeleteFunc(names, func(name string) bool {
		return name != n.vm.Name && !n.network.canReach(n.vm.Name, name)
	})
	slices.Sort(names)
	return names
}

// HomeOf implements wigeonladder.Fleet by rendezvous hashing over the reachable
// daemons of the server's zone, or over all reachable ones if the zone has none.
func (n *Node) HomeOf(server wigeonladder.Server) (string, bool) {
	best := ""
	var top uint64
	for _, local := range []bool{true, false} {
		for _, name := range n.Members() {
			n.network.mu.Lock()
			zone := n.network.nodes[name].vm.Zone
			n.network.mu.Unlock()
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
func (n *Node) Home(vm string) wigeonladder.Home { return remoteRoles{n, vm} }

// Entry implements wigeonladder.Fleet.
func (n *Node) Entry(vm string) wigeonladder.Entry { return remoteRoles{n, vm} }

// remoteRoles calls the home and the entry role of another daemon over the
// network.
type remoteRoles struct {
	from *Node
	to   string
}

// callRemote delivers a request to the other daemon, runs f on its node and
// delivers the answer back.
func callRemote[T any](ctx context.Context, s remoteRoles, f func(*Node) (T, error)) (T, error) {
	var none T
	network := s.from.network
	if err := network.deliver(ctx, s.from.vm.Name, s.to); err != nil {
		return none, err
	}
	network.mu.Lock()
	n := network.nodes[s.to]
	network.mu.Unlock()
	if n == nil {
		return none, ErrLinkCut
	}
	answer, err := f(n)
	if err != nil {
		return none, err
	}
	if err := network.deliver(ctx, s.to, s.from.vm.Name); err != nil {
		return none, err
	}
	return answer, nil
}

// RequestSlot implements wigeonladder.Home.
func (s remoteRoles) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	return callRemote(ctx, s, func(n *Node) (wigeonladder.SlotOffer, error) { return n.home.RequestSlot(ctx, a) })
}

// ReportDemand implements wigeonladder.Home.
func (s remoteRoles) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	_, err := callRemote(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.ReportDemand(ctx, r) })
	return err
}

// Renew implements wigeonladder.Home.
func (s remoteRoles) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	_, err := callRemote(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.Renew(ctx, r) })
	return err
}

// Release implements wigeonladder.Home.
func (s remoteRoles) Release(ctx context.Context, r []wigeonladder.Release) error {
	_, err := callRemote(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.home.Release(ctx, r) })
	return err
}

// Grant implements wigeonladder.Entry.
func (s remoteRoles) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	_, err := callRemote(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.entry.Grant(ctx, cs) })
	return err
}

// Recall implements wigeonladder.Entry.
func (s remoteRoles) Recall(ctx context.Context, ids []wigeonladder.ContractID) error {
	_, err := callRemote(ctx, s, func(n *Node) (struct{}, error) { return struct{}{}, n.entry.Recall(ctx, ids) })
	return err
}
