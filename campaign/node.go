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

	mu     sync.Mutex
	core   *daemon.Core
	life   context.Context
	cancel context.CancelFunc
	starts int
	// open is the number of open requests of the running daemon.
	open int
	// frozen counts the pauses; thawed is closed when the last ends.
	frozen int
	thawed chan struct{}
	// touched is when a fault last ended or, while active is above 0, now.
	active  int
	touched time.Time
	// revision is the highest revision that the running daemon had in force.
	revision uint64
}

// startNode starts a daemon without memory.
func (n *node) startNode() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.open, n.revision = 0, 0
	n.life, n.cancel = context.WithCancel(n.fleet.ctx)
	n.core = daemon.NewCore(n.life, daemon.CoreOptions{
		Settings:    n.settings(),
		Incarnation: fmt.Sprintf("%s-%d", n.vm.Name, n.starts),
		Seed:        n.fleet.seed<<8 + uint64(n.starts)<<4 + uint64(n.vm.Name[1]),
		Platform:    &window{n.fleet, n},
		NewBackend: func(func(string) wigeonladder.ServiceKind) wigeonladder.Backend {
			return &client{n.fleet, n, n.life}
		},
		Listener: n.fleet.net.listen(n.vm.PeerAddress, n.vm.Zone),
		Dial:     n.fleet.net.dial(n.vm.PeerAddress),
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

// running returns the running daemon, or nil.
func (n *node) running() (*daemon.Core, context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil || n.life.Err() != nil {
		return nil, nil
	}
	return n.core, n.life
}

// kill ends the daemon at once. Without farewell, its peers do not see the end
// of its connections.
func (n *node) kill(farewell bool) bool {
	core, _ := n.running()
	if core == nil {
		return false
	}
	if !farewell {
		n.fleet.net.silence(n.vm.PeerAddress)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel()
	return true
}

// freeze pauses or, with -1, wakes the daemon.
func (n *node) freeze(by int) {
	n.mu.Lock()
	n.frozen += by
	if n.frozen == 0 {
		close(n.thawed)
		n.thawed = make(chan struct{})
	}
	n.mu.Unlock()
	for _, a := range n.fleet.addresses() {
		if a != n.vm.PeerAddress {
			n.fleet.net.block(n.vm.PeerAddress, a, by)
		}
	}
}

// awake waits while the daemon is paused; it reports false if the context
// ended.
func (n *node) awake(ctx context.Context) bool {
	for {
		n.mu.Lock()
		frozen, thawed := n.frozen > 0, n.thawed
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

// disturb notes that a fault concerns the daemon, or with -1 no longer.
func (n *node) disturb(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active += by
	n.touched = time.Now()
}

// calm reports whether no fault concerned the daemon since a time.
func (n *node) calm(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active == 0 && n.touched.Before(since) && n.life.Err() == nil
}

// enter counts an open request of one start of the daemon.
func (n *node) enter(life context.Context, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == life {
		n.open += by
	}
}

// OpenRequests implements daemon.CallerServer.
func (n *node) OpenRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
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
	core, life := n.running()
	if core == nil || core.Draining() {
		return false
	}
	core.GracefulShutdown(life, n)
	if open := n.OpenRequests(); life.Err() == nil && open > 0 {
		n.fleet.history.violate(checkStop, n.vm.Name, "a planned stop cut off %d requests", open)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// A daemon that was killed meanwhile may run again.
	if n.life != life || life.Err() != nil {
		return false
	}
	n.cancel()
	return true
}

// window is the view of one daemon on the platform.
type window struct {
	fleet *fleet
	node  *node
}

// Config implements wigeonladder.Platform.
func (w *window) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	if err := w.reach(ctx); err != nil {
		return nil, err
	}
	data, err := w.fleet.registry.Config(ctx, above, wait)
	return data, orElse(err, w.reach(ctx))
}

// Live implements wigeonladder.Platform.
func (w *window) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	if err := w.reach(ctx); err != nil {
		return wigeonladder.LiveList{}, err
	}
	l, err := w.fleet.registry.Live(ctx, above, wait)
	return l, orElse(err, w.reach(ctx))
}

// reach passes the way to the platform.
func (w *window) reach(ctx context.Context) error {
	pair := way(w.node.vm.PeerAddress, addressPlatform)
	if !w.fleet.net.pass(ctx, pair) || !sleep(ctx, w.fleet.net.delay(pair)) {
		return ctx.Err()
	}
	return nil
}

// orElse returns the first error.
func orElse(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
