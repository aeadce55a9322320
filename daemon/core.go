package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/configservice"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/limit"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/peer"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/setting"
	"github.com/wigeonladder/wigeonladder/ticket"
)

// CoreOptions are the settings and dependencies of a Core.
type CoreOptions struct {
	Settings setting.Settings
	// Incarnation identifies this start of the daemon. It is unique in the
	// fleet.
	Incarnation string
	// Seed seeds the jitter of all parts. It must differ between daemons, so
	// that they do not act at the same time.
	Seed     uint64
	Platform wigeonladder.Platform
	// NewBackend returns the client for the backend servers; kind returns the
	// kind of a service.
	NewBackend func(kind func(service string) wigeonladder.ServiceKind) wigeonladder.Backend
	// Listener accepts the links of peers. Dial connects to the peer address of
	// a daemon.
	Listener net.Listener
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	// Placer replaces the entry role's queue; nil for the queue.
	Placer wigeonladder.Placer
	// Log receives one line for each event; nil for none.
	Log log.Interface
}

// Core is a daemon without its HTTP servers. It reaches other processes only
// through its options, so that package campaign can run it on virtual time and
// inject faults.
type Core struct {
	settings    setting.Settings
	incarnation string
	journal     *operator.Journal

	watcher  *configservice.Watcher
	counters *fair.Counters
	mesh     *peer.Mesh
	ledger   *contract.Ledger
	queue    *entry.Queue
	backend  wigeonladder.Backend
	runner   *retry.Runner
	issuer   *ticket.Issuer

	// slots is the number of slots of the servers whose home is this daemon.
	slots  atomic.Int64
	stages stages
}

// slotCountInterval is the time between two counts of the slots of the servers
// whose home is this daemon.
const slotCountInterval = time.Second

// NewCore starts the parts of a daemon. They run until the context ends.
func NewCore(ctx context.Context, o CoreOptions) *Core {
	d := &Core{
		settings:    o.Settings,
		incarnation: o.Incarnation,
		journal:     operator.NewJournal(o.Log),
	}
	d.build(ctx, o)
	d.journal.Note("", "started", "vm", d.settings.Name, "zone", d.settings.Zone, "incarnation", d.incarnation)
	go func() {
		tick := time.NewTicker(slotCountInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				d.countSlots()
			}
		}
	}()
	return d
}

// build creates the parts in the order of their dependencies.
func (d *Core) build(ctx context.Context, o CoreOptions) {
	startPolling := make(chan struct{})
	d.watcher = configservice.NewWatcher(ctx, configservice.Options{
		Platform: o.Platform,
		Parse: func(data []byte) (wigeonladder.Config, error) {
			return setting.ParseConfig("config", data)
		},
		Journal:      d.journal,
		Seed:         o.Seed,
		StartPolling: startPolling,
	})
	go func() {
		defer close(startPolling)
		d.waitForPeerConfig(ctx)
	}()
	d.counters = fair.NewCounters(fair.Options{
		HomeIncarnation: d.incarnation,
		Rules:           func() wigeonladder.Rules { return d.watcher.Config().Rules },
		Slots:           func() int { return int(d.slots.Load()) },
	})
	suspects := retry.NewSuspects()
	d.mesh = peer.NewMesh(ctx, peer.Options{
		Self:              d.selfVM(),
		Incarnation:       d.incarnation,
		Listener:          o.Listener,
		Dial:              o.Dial,
		Config:            d.watcher.Config,
		Live:              d.watcher.Live,
		Document:          d.watcher.Document,
		ApplyPeerDocument: d.watcher.ApplyPeerDocument,
		Counters:          d.counters,
		Suspects:          suspects,
		Seeds:             d.settings.Seeds,
		Journal:           d.journal,
		Seed:              o.Seed,
	})
	d.backend = o.NewBackend(d.serviceKind)
	d.buildRoles(ctx, o.Seed)
	placer := o.Placer
	if placer == nil {
		placer = d.queue
	}
	d.runner = retry.NewRunner(retry.Options{
		Placer:               placer,
		Backend:              d.backend,
		LookupServer:         d.lookupServer,
		ServerState:          d.mesh.State,
		Budget:               retry.NewBudget(),
		Suspects:             suspects,
		Journal:              d.journal,
		OnNewSuspicion:       d.mesh.TriggerRound,
		MaxContractRetryTime: time.Duration(d.settings.MaxWait),
		Seed:                 o.Seed,
	})
	d.issuer = ticket.NewIssuer(ticket.Options{
		Self:              d.settings.Name,
		Incarnation:       d.incarnation,
		Runner:            d.runner,
		Forward:           d.mesh.Forward,
		LookupIncarnation: d.mesh.LookupIncarnation,
		Journal:           d.journal,
	})
	d.mesh.SetRoles(d.ledger, d.queue, d.issuer)
}

// peerConfigTimeout limits how long a started daemon waits for the
// configuration of its peers before it asks the platform, whose copy may be
// stale.
const peerConfigTimeout = 1500 * time.Millisecond

// waitForPeerConfig returns when a peer has sent a configuration or
// peerConfigTimeout is over. Without peer addresses in the settings it returns
// at once, because the daemon then learns its peers from the platform.
func (d *Core) waitForPeerConfig(ctx context.Context) {
	if len(d.settings.Seeds) == 0 {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	// An error means only that no peer answered in time.
	_ = d.watcher.WaitReady(timeoutCtx)
}

// buildRoles creates the home role and the entry role.
func (d *Core) buildRoles(ctx context.Context, seed uint64) {
	d.ledger = contract.NewLedger(ctx, contract.Options{
		Fleet:  d.mesh,
		Shares: d.counters,
		Config: d.watcher.Config,
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter {
			return limit.New(s.Slots, s.MaxSlots)
		},
		FetchLoad:   d.backend.Load,
		Seed:        seed,
		Incarnation: d.incarnation,
		Journal:     d.journal,
	})
	d.queue = entry.NewQueue(ctx, entry.Options{
		Fleet:      d.mesh,
		Zone:       d.settings.Zone,
		Config:     d.watcher.Config,
		MaxWaiting: d.settings.MaxWaiting,
		MaxWait:    time.Duration(d.settings.MaxWait),
		Journal:    d.journal,
	})
}

// selfVM returns the VM of this daemon as described by its settings.
func (d *Core) selfVM() wigeonladder.VM {
	return wigeonladder.VM{
		Name:          d.settings.Name,
		Zone:          d.settings.Zone,
		PeerAddress:   d.settings.PeerAddress,
		CallerAddress: d.settings.CallerAddress,
	}
}

// serviceKind returns the kind of a service in the configuration in force.
func (d *Core) serviceKind(service string) wigeonladder.ServiceKind {
	s, _ := d.watcher.Config().Register.Service(service)
	return s.Kind
}

// lookupServer returns the backend server with a name.
func (d *Core) lookupServer(name string) (wigeonladder.Server, bool) {
	for _, v := range d.watcher.Config().Register.Services {
		for _, s := range v.Servers {
			if s.Name == name {
				return s, true
			}
		}
	}
	return wigeonladder.Server{}, false
}

// countSlots counts the slots of the servers whose home is this daemon. The
// count is part of the charge reports; other homes use it to extrapolate the
// charges of this one.
func (d *Core) countSlots() {
	n := 0
	for _, v := range d.watcher.Config().Register.Services {
		for _, s := range v.Servers {
			if vm, ok := d.mesh.HomeOf(s); ok && vm == d.settings.Name {
				n += s.Slots
			}
		}
	}
	d.slots.Store(int64(n))
}

// Config returns the configuration in force.
func (d *Core) Config() wigeonladder.Config { return d.watcher.Config() }

// ServerState returns the state of a backend server according to the newest
// list of leaving servers, which this daemon derives from the platform's live
// list or receives from a peer.
func (d *Core) ServerState(server string) wigeonladder.VMState { return d.mesh.State(server) }

// HomeOf returns the VM name of the home of a backend server.
func (d *Core) HomeOf(s wigeonladder.Server) (string, bool) { return d.mesh.HomeOf(s) }

// Members returns the VM names of the daemons believed alive.
func (d *Core) Members() []string { return d.mesh.Members() }

// HomeDump returns the state of the home role.
func (d *Core) HomeDump() contract.Dump { return d.ledger.Dump() }

// EntryDump returns the state of the entry role.
func (d *Core) EntryDump() entry.Dump { return d.queue.Dump() }

// Explain returns the recorded events of a request, oldest first.
func (d *Core) Explain(request string) []operator.Event { return d.journal.Explain(request) }

// Runner returns the runner of requests that may be repeated.
func (d *Core) Runner() wigeonladder.Runner { return d.runner }

// Tickets returns the ticket issuer, which runs requests that may not be
// repeated.
func (d *Core) Tickets() wigeonladder.Tickets { return d.issuer }

// Traffic returns the traffic with the peers since the start.
func (d *Core) Traffic() peer.Traffic { return d.mesh.Traffic() }
