package daemon

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/limit"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/peer"
	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/setting"
	"github.com/wigeonladder/wigeonladder/ticket"
)

// Options configure a Daemon.
type Options struct {
	Settings setting.Settings
	// Log gets one line for each event; nil for none.
	Log log.Interface
	// Placer replaces the policy of the fleet, so that the demo can measure
	// other policies on the same path; nil for the fleet's own.
	Placer wigeonladder.Placer
}

// Daemon is one running daemon.
type Daemon struct {
	settings    setting.Settings
	incarnation string
	journal     *operator.Journal

	watcher  *platform.Watcher
	counters *fair.Counters
	mesh     *peer.Mesh
	ledger   *contract.Ledger
	queue    *entry.Queue
	backend  *backend.Client
	book     *ticket.Book
	caller   *caller.Server
	operator *operator.Server

	slots  atomic.Int64
	stages stages
	cancel context.CancelFunc
	done   chan struct{}
}

// slotsPeriod is how often the slots of the own servers are counted again.
const slotsPeriod = time.Second

// New starts a daemon. It runs until the context ends, which stops it at once,
// or until a graceful stop that Drain started is complete.
func New(ctx context.Context, o Options) (*Daemon, error) {
	lns, err := listen(ctx, o.Settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	id := uuid.New()
	d := &Daemon{
		settings:    o.Settings,
		incarnation: hex.EncodeToString(id[:6]),
		journal:     operator.NewJournal(o.Log),
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	d.stages.start = make(chan struct{})
	d.build(ctx, lns, o.Placer, binary.BigEndian.Uint64(id[8:]))
	d.journal.Note("", "started", "vm", d.settings.Name, "zone", d.settings.Zone, "incarnation", d.incarnation)
	go func() {
		tick := time.NewTicker(slotsPeriod)
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
	go func() {
		defer close(d.done)
		d.live(ctx)
	}()
	return d, nil
}

// build creates the parts in the order in which they need each other.
func (d *Daemon) build(ctx context.Context, lns listeners, placer wigeonladder.Placer, seed uint64) {
	d.watcher = platform.NewWatcher(ctx, platform.Options{
		Platform: platform.NewClient(d.settings.Platform),
		Parse: func(data []byte) (wigeonladder.Config, error) {
			return setting.ParseConfig("config", data)
		},
		Journal: d.journal,
		Seed:    seed,
	})
	d.counters = fair.NewCounters(fair.Options{
		Home:  d.incarnation,
		Rules: func() wigeonladder.Rules { return d.watcher.Config().Rules },
		Slots: func() int { return int(d.slots.Load()) },
	})
	suspects := retry.NewSuspects()
	d.mesh = peer.NewMesh(ctx, peer.Options{
		Self:        d.vm(),
		Incarnation: d.incarnation,
		Listener:    lns.peer,
		Dial:        dialFrom(d.settings.Peer),
		Config:      d.watcher.Config,
		Live:        d.watcher.Live,
		Document:    d.watcher.Document,
		Offer:       d.watcher.Offer,
		Counters:    d.counters,
		Suspects:    suspects,
		Seeds:       d.settings.Links,
		Journal:     d.journal,
	})
	d.backend = backend.NewClient(backend.Options{Kind: d.kind, Local: hostOf(d.settings.Peer)})
	d.buildRoles(ctx, seed)
	if placer == nil {
		placer = d.queue
	}
	runner := retry.NewRunner(retry.Options{
		Placer:   placer,
		Backend:  d.backend,
		Server:   d.server,
		State:    d.mesh.State,
		Budget:   retry.NewBudget(),
		Suspects: suspects,
		Journal:  d.journal,
		Spread:   d.mesh.Spread,
		MaxWait:  time.Duration(d.settings.MaxWait),
		Seed:     seed,
	})
	d.book = ticket.NewBook(ticket.Options{
		Self:         d.settings.Name,
		Incarnation:  d.incarnation,
		Runner:       runner,
		Forward:      d.mesh.Forward,
		Incarnations: d.mesh.Incarnations,
		Journal:      d.journal,
	})
	d.mesh.Serve(d.ledger, d.queue, d.book)
	d.buildServers(ctx, lns, runner)
}

// buildRoles creates the home and the entry role.
func (d *Daemon) buildRoles(ctx context.Context, seed uint64) {
	d.ledger = contract.NewLedger(ctx, contract.Options{
		Fleet:  d.mesh,
		Shares: d.counters,
		Config: d.watcher.Config,
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter {
			return limit.New(s.Slots, s.MaxSlots)
		},
		Load:        d.backend.Load,
		Incarnation: d.incarnation,
		Seed:        seed,
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

// buildServers creates the interfaces towards callers and operators.
func (d *Daemon) buildServers(ctx context.Context, lns listeners, runner wigeonladder.Runner) {
	d.caller = caller.NewServer(ctx, caller.Options{
		Listener: lns.caller,
		Config:   d.watcher.Config,
		Runner:   runner,
		Tickets:  d.book,
		MaxBody:  d.settings.MaxBody,
		Draining: func() bool { return d.stages.draining.Load() || d.watcher.Config().Revision == 0 },
		Refusing: d.stages.refusing.Load,
		Journal:  d.journal,
	})
	d.operator = operator.NewServer(ctx, operator.Options{
		Listener: lns.operator,
		Keys:     d.settings.Operators,
		Journal:  d.journal,
		Dump:     func() any { return d.Dump() },
		Metrics:  func() string { return d.Metrics().String() },
		Drain:    d.Drain,
		Status:   d.Status,
	})
}

// vm returns this daemon's VM as its settings describe it.
func (d *Daemon) vm() wigeonladder.VM {
	return wigeonladder.VM{
		Name:   d.settings.Name,
		Zone:   d.settings.Zone,
		Peer:   d.settings.Peer,
		Caller: d.settings.Caller,
	}
}

// kind returns the kind of a service in force.
func (d *Daemon) kind(service string) wigeonladder.Kind {
	s, _ := d.watcher.Config().Register.Service(service)
	return s.Kind
}

// server finds a backend server by its name.
func (d *Daemon) server(name string) (wigeonladder.Server, bool) {
	for _, v := range d.watcher.Config().Register.Services {
		for _, s := range v.Servers {
			if s.Name == name {
				return s, true
			}
		}
	}
	return wigeonladder.Server{}, false
}

// countSlots counts the slots of the servers whose home is this daemon. Other
// homes scale their extrapolation by it.
func (d *Daemon) countSlots() {
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

// Done is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// listeners are the three listening sockets of a daemon.
type listeners struct {
	peer, caller, operator net.Listener
}

// listen opens the sockets, all or none.
func listen(ctx context.Context, s setting.Settings) (listeners, error) {
	var lc net.ListenConfig
	var errs wigeonladder.Errors
	open := func(place, address string) net.Listener {
		ln, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			errs = append(errs, wigeonladder.Errorf(wigeonladder.CodeBadSettings, place, "%v", err))
		}
		return ln
	}
	l := listeners{
		peer:     open("settings.peer", s.Peer),
		caller:   open("settings.caller", s.Caller),
		operator: open("settings.operator", s.Operator),
	}
	if len(errs) == 0 {
		return l, nil
	}
	for _, ln := range []net.Listener{l.peer, l.caller, l.operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	return listeners{}, errs.ErrorOrNil()
}

// dialFrom returns a dialler that calls from the IP address of the daemon, so
// that peers recognize it by its address in the register.
func dialFrom(address string) func(context.Context, string) (net.Conn, error) {
	var d net.Dialer
	if ip := net.ParseIP(hostOf(address)); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, to string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to)
	}
}

// hostOf returns the IP address of an address with a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
