package campaign

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/daemon"
	"github.com/wigeonladder/wigeonladder/setting"
)

// errKilled is the cause with which the work of a killed daemon is canceled.
var errKilled = errors.New("the daemon was killed")

// The addresses of the platform and the callers, which are not VMs of the
// fleet.
const (
	addressPlatform = "platform"
	addressCallers  = "callers"
)

// maxWait is the waiting limit in the settings of the daemons.
const maxWait = 20 * time.Second

// node is a VM of the fleet with at most one running daemon.
type node struct {
	fleet *fleet
	vm    wigeonladder.VM

	mu       sync.Mutex
	core     *daemon.Core
	lifetime context.Context
	cancel   context.CancelFunc
	starts   int
	// openRequests is the number of open requests of the running daemon.
	openRequests int
	// pauses counts the active pauses of the daemon; resumed is closed when the
	// last one ends.
	pauses  int
	resumed chan struct{}
	// activeFaults counts the active faults that concern the daemon; lastFault is
	// when one last began or ended.
	activeFaults int
	lastFault    time.Time
	// lastRevision is the revision that was in force at the running daemon at the
	// last sample.
	lastRevision uint64
}

// startDaemon starts a daemon without earlier state.
func (n *node) startDaemon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.openRequests, n.lastRevision = 0, 0
	n.lifetime, n.cancel = context.WithCancel(n.fleet.ctx)
	n.core = daemon.NewCore(n.lifetime, daemon.CoreOptions{
		Settings:    n.settings(),
		Incarnation: fmt.Sprintf("%s-%d", n.vm.Name, n.starts),
		Seed:        n.fleet.seed<<8 + uint64(n.starts)<<4 + uint64(n.vm.Name[1]),
		Platform:    &platformClient{n.fleet, n},
		NewBackend: func(func(string) wigeonladder.ServiceKind) wigeonladder.Backend {
			return &backendClient{n.fleet, n, n.lifetime}
		},
		Listener: n.fleet.network.listen(n.vm.PeerAddress, n.vm.Zone),
		Dial:     n.fleet.network.dial(n.vm.PeerAddress),
	})
}

// settings returns the settings of the daemon.
func (n *node) settings() setting.Settings {
	s := setting.Default()
	s.Name, s.Zone, s.PeerAddress, s.CallerAddress = n.vm.Name, n.vm.Zone, n.vm.PeerAddress, n.vm.CallerAddress
	s.MaxWait = setting.Duration(maxWait)
	s.MaxWaiting = 200
	for _, v := range n.fleet.config().Register.VMs {
		if v.Name != n.vm.Name {
			s.Seeds = append(s.Seeds, v.PeerAddress)
		}
	}
	return s
}

// runningDaemon returns the running daemon and the context that ends it, or
// nil.
func (n *node) runningDaemon() (*daemon.Core, context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifetime == nil || n.lifetime.Err() != nil {
		return nil, nil
	}
	return n.core, n.lifetime
}

// kill ends the daemon at once. If closeConns is false, its peers do not see
// its connections close, as when the VM is lost. It reports whether a daemon
// ran.
func (n *node) kill(closeConns bool) bool {
	core, _ := n.runningDaemon()
	if core == nil {
		return false
	}
	if !closeConns {
		n.fleet.network.suppressClose(n.vm.PeerAddress)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel()
	return true
}

// adjustPauses begins a pause of the daemon or, with -1, ends one.
func (n *node) adjustPauses(by int) {
	n.mu.Lock()
	n.pauses += by
	if n.pauses == 0 {
		close(n.resumed)
		n.resumed = make(chan struct{})
	}
	n.mu.Unlock()
	for _, a := range n.fleet.addresses() {
		if a != n.vm.PeerAddress {
			n.fleet.network.adjustBlocks(n.vm.PeerAddress, a, by)
		}
	}
}

// waitResumed waits while the daemon is paused. It returns false if the context
// ended.
func (n *node) waitResumed(ctx context.Context) bool {
	for {
		n.mu.Lock()
		paused, resumed := n.pauses > 0, n.resumed
		n.mu.Unlock()
		if !paused {
			return ctx.Err() == nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return false
		}
	}
}

// adjustFaults adds by, which is 1 or -1, to the number of active faults that
// concern the daemon.
func (n *node) adjustFaults(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeFaults += by
	n.lastFault = time.Now()
}

// noFaultSince reports whether the daemon runs and no fault concerned it after
// a time.
func (n *node) noFaultSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeFaults == 0 && n.lastFault.Before(since) && n.lifetime.Err() == nil
}

// adjustOpenRequests changes the number of open requests, unless another daemon
// has been started since the given lifetime began.
func (n *node) adjustOpenRequests(lifetime context.Context, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifetime == lifetime {
		n.openRequests += by
	}
}

// OpenRequests implements daemon.CallerServer.
func (n *node) OpenRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openRequests
}

// Shutdown implements daemon.CallerServer.
func (n *node) Shutdown(ctx context.Context) error {
	for n.OpenRequests() > 0 {
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

// drain shuts the daemon down gracefully. It returns false if no daemon ran, if
// it was draining already, or if it was killed meanwhile.
func (n *node) drain() bool {
	core, lifetime := n.runningDaemon()
	if core == nil || core.Draining() {
		return false
	}
	core.GracefulShutdown(lifetime, n)
	if open := n.OpenRequests(); lifetime.Err() == nil && open > 0 {
		n.fleet.history.violate(checkShutdown, n.vm.Name, "a planned stop cut off %d requests", open)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// If the daemon was killed meanwhile, another one may run by now.
	if n.lifetime != lifetime || lifetime.Err() != nil {
		return false
	}
	n.cancel()
	return true
}

// platformClient is the connection of one daemon to the platform.
type platformClient struct {
	fleet *fleet
	node  *node
}

// Config implements wigeonladder.Platform.
func (w *platformClient) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	if err := w.passToPlatform(ctx); err != nil {
		return nil, err
	}
	data, err := w.fleet.platform.Config(ctx, above, wait)
	return data, firstError(err, w.passToPlatform(ctx))
}

// Live implements wigeonladder.Platform.
func (w *platformClient) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	if err := w.passToPlatform(ctx); err != nil {
		return wigeonladder.LiveList{}, err
	}
	l, err := w.fleet.platform.Live(ctx, above, wait)
	return l, firstError(err, w.passToPlatform(ctx))
}

// passToPlatform waits until the network lets a message pass to the platform,
// and for its delay.
func (w *platformClient) passToPlatform(ctx context.Context) error {
	pair := addressPair(w.node.vm.PeerAddress, addressPlatform)
	if !w.fleet.network.waitOpen(ctx, pair) || !sleep(ctx, w.fleet.network.messageDelay(pair)) {
		return ctx.Err()
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
