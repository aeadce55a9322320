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

// errKilled ends the work of a daemon that was killed.
var errKilled = errors.New("the daemon was killed")

// Addresses that stand for what is not a VM of the fleet.
const (
	addressPlatform = "platform"
	addressCallers  = "callers"
)

// maxWait is the waiting limit of the daemons.
const maxWait = 20 * time.Second

// node is one VM of the fleet with at most one running daemon.
type node struct {
	fleet *fleet
	vm    wigeonladder.VM

	mu       sync.Mutex
	core     *daemon.Core
	lifetime context.Context
	cancel   context.CancelFunc
	starts   int
	// openRequests is the number of openRequests requests of the running daemon.
	openRequests int
	// pauses counts the pauses; thawed is closed when the last ends.
	pauses  int
	resumed chan struct{}
	// touched is when a fault last ended or, while activeFaults is above 0, now.
	activeFaults int
	lastFault    time.Time
	// highestRevision is the highest highestRevision that the running daemon had in force.
	highestRevision uint64
}

// startDaemon starts a daemon without memory.
func (n *node) startDaemon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.openRequests, n.highestRevision = 0, 0
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

// runningDaemon returns the runningDaemon daemon, or nil.
func (n *node) runningDaemon() (*daemon.Core, context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifetime == nil || n.lifetime.Err() != nil {
		return nil, nil
	}
	return n.core, n.lifetime
}

// kill ends the daemon at once. Without farewell, its peers do not see the end
// of its connections.
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

// adjustPauses pauses or, with -1, wakes the daemon.
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

// waitResumed waits while the daemon is paused; it reports false if the context
// ended.
func (n *node) waitResumed(ctx context.Context) bool {
	for {
		n.mu.Lock()
		frozen, thawed := n.pauses > 0, n.resumed
		n.mu.Unlock()
		if !frozen {
			return ctx.Err() == nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
}

// adjustFaults notes that a fault concerns the daemon, or with -1 no longer.
func (n *node) adjustFaults(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeFaults += by
	n.lastFault = time.Now()
}

// noFaultSince reports whether no fault concerned the daemon since a time.
func (n *node) noFaultSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeFaults == 0 && n.lastFault.Before(since) && n.lifetime.Err() == nil
}

// adjustOpenRequests counts an open request of one start of the daemon.
func (n *node) adjustOpenRequests(life context.Context, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifetime == life {
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

// drain stops the daemon gracefully. It reports false if none runs.
func (n *node) drain() bool {
	core, life := n.runningDaemon()
	if core == nil || core.Draining() {
		return false
	}
	core.GracefulShutdown(life, n)
	if open := n.OpenRequests(); life.Err() == nil && open > 0 {
		n.fleet.history.violate(checkShutdown, n.vm.Name, "a planned stop cut off %d requests", open)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// A daemon that was killed meanwhile may run again.
	if n.lifetime != life || life.Err() != nil {
		return false
	}
	n.cancel()
	return true
}

// platformClient is the view of one daemon on the platform.
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

// passToPlatform passes the way to the platform.
func (w *platformClient) passToPlatform(ctx context.Context) error {
	pair := addressPair(w.node.vm.PeerAddress, addressPlatform)
	if !w.fleet.network.waitOpen(ctx, pair) || !sleep(ctx, w.fleet.network.messageDelay(pair)) {
		return ctx.Err()
	}
	return nil
}

// firstError returns the first error.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
