package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/exchange"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/forward"
	"github.com/wigeonladder/wigeonladder/front"
	"github.com/wigeonladder/wigeonladder/inventory"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/route"
	"github.com/wigeonladder/wigeonladder/setting"
)

const (
	// storeWait is how long one watch of the store waits. Each answer confirms
	// that the keys are those in force.
	storeWait = 700 * time.Millisecond
	// pauseShare is the time between two watches, in which changes gather, as a part
	// of the time in which changes have to be in force: the entries of backend
	// servers change at every heartbeat, and each call of the store counts. A slow
	// answer and one lost call fit into the rest.
	pauseShare = 0.4
	// trustMargin is taken off the time for which keys are trusted. It covers a
	// watch that hears of a change only a second after it.
	trustMargin = 1300 * time.Millisecond
	// maxHeader and maxBody bound what a caller may send, in bytes.
	maxHeader = 20 << 10
	maxBody   = 5 << 20
	// readLimit bounds the reading of a call, idleLimit the time between two,
	// writeLimit one write to a caller.
	readLimit  = 20 * time.Second
	idleLimit  = 60 * time.Second
	writeLimit = 10 * time.Second
	// connsPart is the part of the descriptors, as a divisor, that connections
	// of callers may take before idle ones are closed. Each call that runs takes
	// another one.
	connsPart = 3
	// drainLead is how long a stopping daemon serves on at least, so that the
	// load balancer has taken it out: it asks once a second and takes two
	// misses.
	drainLead = 3 * time.Second
	// stopMargin is taken off the time that a stopping daemon has.
	stopMargin = 600 * time.Millisecond
	// memoryShare is the part of the memory from which the collector works
	// harder; collectAt is how much the heap may grow between two collections,
	// in percent.
	memoryShare = 0.5
	collectAt   = 300
)

const (
	// dialWithin bounds the opening of a connection to the store or to another
	// daemon, unackedWithin the wait for the acknowledgement of sent bytes.
	dialWithin    = time.Second
	unackedWithin = 1500 * time.Millisecond
)

// dial connects to the store or to another daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := conn.NewDialer(dialWithin, unackedWithin)
	return d.DialContext(ctx, "tcp", address)
}

// Platform is what an edge daemon needs of the platform.
type Platform struct {
	// Store reads the platform's store.
	Store inventory.Store
	// ConfigKey is the key of the configuration, ServersPrefix begins the keys
	// of the backend servers.
	ConfigKey, ServersPrefix string
	ParseConfig              func([]byte) (route.Document, error)
	ParseServer              func(inventory.Item) (wigeonladder.Instance, error)
	CallerCodec              front.Codec
	ServerCodec              backend.Codec
	// ReadyPath is where the platform asks for readiness.
	ReadyPath string
}

// Options are what a Daemon needs.
type Options struct {
	Settings setting.Edge
	// NewPlatform returns the platform, given a way to connect to its store.
	NewPlatform func(dial func(ctx context.Context, address string) (net.Conn, error)) Platform
	// Log gets one line for each event; nil for none.
	Log log.Interface
}

// Daemon is one running edge daemon.
type Daemon struct {
	settings setting.Edge
	platform Platform
	journal  *operator.Journal
	meter    *Meter
	book     *route.TableStore
	pool     *place.Pool
	roster   *inventory.ServerList
	// mesh is set after the pool has started, which asks for the daemons.
	mesh     atomic.Pointer[exchange.Mesh]
	relay    *backend.Relay
	counters *fair.Counters
	window   *fair.Window
	suspects *retry.Suspects
	front    *front.Server
	seeds    atomic.Pointer[[]string]
	leaving  atomic.Bool
	cancel   context.CancelFunc
}

// New starts a daemon. It runs until the context ends or Stop is called.
func New(ctx context.Context, o Options) (*Daemon, error) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(o.Settings.Memory<<20) * memoryShare))
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{
		settings: o.Settings, platform: o.NewPlatform(dial), journal: operator.NewJournal(o.Log),
		meter: NewMeter(), suspects: retry.NewSuspects(), cancel: cancel,
	}
	d.seeds.Store(&o.Settings.Seeds)
	if err := d.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

// start starts the parts in the order in which they need each other.
func (d *Daemon) start(ctx context.Context) error {
	s := d.settings
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	d.journal.Note("", "started", "name", s.Name, "zone", s.Zone, "incarnation", incarnation,
		"store", s.Store, "seeds", s.Seeds, "key_trust", s.KeyTrust)
	trust := time.Duration(0)
	if s.KeyTrust > 0 {
		trust = max(time.Duration(s.KeyTrust)-trustMargin, time.Millisecond)
	}
	d.book = route.NewTableStore(uptime, trust)
	d.counters = fair.NewCounters(fair.Options{HomeIncarnation: incarnation})
	d.window = fair.NewWindow(d.daemons)
	d.relay = backend.NewRelay(d.platform.ServerCodec)
	d.pool = place.NewPool(ctx, place.Options{Zone: s.Zone, Shares: d.counters, Window: d.window, LiveDaemons: d.daemons})
	d.roster = inventory.NewServerList(d.pool, d.platform.ParseServer, d.journal)
	peers, err := conn.Listen(ctx, s.Peer)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	d.mesh.Store(exchange.New(ctx, exchange.Options{
		Self:     exchange.Member{Name: s.Name, Zone: s.Zone, Address: s.Peer, Incarnation: incarnation},
		Listener: peers, Dial: dial, Seeds: func() []string { return *d.seeds.Load() },
		Export: d.export, Import: d.take, Journal: d.journal,
	}))
	d.follow(ctx)
	if err := d.serve(ctx); err != nil {
		return err
	}
	return d.serveOperators(ctx)
}

// daemons is the number of daemons that are alive, this one included.
func (d *Daemon) daemons() int {
	if m := d.mesh.Load(); m != nil {
		return m.AliveCount()
	}
	return 1
}

// sharers is the number of daemons that may use what all share: also those that
// are known and cannot be reached now, which may be at work behind a partition.
func (d *Daemon) sharers() int { return max(d.daemons(), len(d.mesh.Load().PeerAddresses())+1) }

// follow follows the store. One watch of all items takes fewer calls than one for
// each kind.
func (d *Daemon) follow(ctx context.Context) {
	p := d.platform
	split := func(items []inventory.Item) (servers []inventory.Item) {
		for _, i := range items {
			switch {
			case i.Key == p.ConfigKey && !i.Removed:
				d.configure(i)
			case strings.HasPrefix(i.Key, p.ServersPrefix):
				servers = append(servers, i)
			}
		}
		return servers
	}
	go inventory.Follow(ctx, inventory.Options{
		Store: p.Store, WatchTimeout: storeWait, WatchPause: storePause(d.settings),
		Reset:       func(items []inventory.Item) { d.roster.Reset(split(items)) },
		Apply:       func(items []inventory.Item) { d.roster.Apply(split(items)) },
		OnConfirmed: d.book.Confirm, OnStoreRegained: d.roster.StoreRegained, Now: uptime, Journal: d.journal,
	})
}

// storePause is the time between two watches of the store.
func storePause(s setting.Edge) time.Duration {
	return time.Duration(pauseShare * float64(min(s.Apply, s.Leave)))
}

// configure puts a configuration in force.
func (d *Daemon) configure(i inventory.Item) {
	doc, err := d.platform.ParseConfig(i.Value)
	if err != nil {
		d.journal.Note("", "config_unreadable", "revision", i.Revision, "error", err)
		return
	}
	if !d.book.Accept(doc) {
		return
	}
	d.pool.SetServices(doc.Services)
	d.window.SetCapacity(doc.Limits.TokensPerSecond)
	d.journal.Note("", "config_accepted", "version", doc.Version, "revision", i.Revision,
		"routes", len(doc.Routes), "workspaces", len(doc.Workspaces))
}

// serve starts to serve callers.
func (d *Daemon) serve(ctx context.Context) error {
	s := d.settings
	forwarder := forward.New(forward.Options{
		Book: d.book, Pool: d.pool, Sender: d.relay, Suspects: d.suspects, Journal: d.journal, Meter: d.meter,
		Budget: retry.NewSharedBudget(retry.Allowance{
			Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Period: time.Duration(s.Retry.Period),
		}, d.sharers),
		Daemons: d.sharers,
	})
	callers, err := conn.Listen(ctx, s.Front)
	if err != nil {
		return errors.Wrap(err, "front")
	}
	d.front = front.NewServer(ctx, front.Options{
		Listener: callers, Codec: d.platform.CallerCodec, Handler: forwarder.Serve, Journal: d.journal,
		Limits: front.Limits{MaxHeaderBytes: maxHeader, MaxBodyBytes: maxBody, ReadTimeout: readLimit, IdleTimeout: idleLimit, WriteTimeout: writeLimit, MaxConns: s.Files / connsPart},
	})
	ready, err := conn.Listen(ctx, s.Ready)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	front.ServeReady(ctx, ready, d.platform.ReadyPath, d.Ready, d.journal)
	return nil
}

// Ready reports whether callers may be sent here: the daemon knows a
// configuration that it may trust and is not stopping.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.book.Table() != nil && d.book.KeysTrusted()
}

// export returns the next report to the other daemons.
func (d *Daemon) export(charges bool) exchange.Report {
	r := exchange.Report{Place: d.pool.Export()}
	if charges {
		if c := d.counters.Export(); len(c.Rows) > 0 {
			r.Charges = &c
		}
		r.Totals = d.window.Export()
		r.Suspicions = d.suspects.Export()
	}
	return r
}

// take takes over the report of another daemon.
func (d *Daemon) take(r exchange.Report) {
	d.pool.Import(r.From, r.Place, r.Lifetime())
	if r.Charges != nil {
		d.counters.Import(*r.Charges)
	}
	d.window.Import(r.Incarnation, r.Totals)
	if len(r.Suspicions) > 0 {
		d.suspects.Import(r.Suspicions)
	}
}

// Reload takes over changed settings as far as a running daemon can.
func (d *Daemon) Reload(s setting.Edge) {
	d.seeds.Store(&s.Seeds)
	d.journal.Note("", "reloaded", "seeds", s.Seeds)
}

// Stop serves on until callers have gone elsewhere, and ends the daemon before
// its time to stop is over.
func (d *Daemon) Stop(ctx context.Context) {
	d.leaving.Store(true)
	d.journal.Note("", "stopping", "open", d.front.OpenCalls())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Grace)-stopMargin)
	defer cancel()
	err := d.front.Shutdown(ctx, drainLead)
	d.cancel()
	d.relay.Close()
	d.journal.Note("", "stopped", "open", d.front.OpenCalls(), "error", err)
}
