package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/admission"
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
	"github.com/wigeonladder/wigeonladder/stream"
)

const (
	// keyTrustMargin is subtracted from the time for which API keys are trusted.
	// It covers a watch that reports a change as much as a second late.
	keyTrustMargin = 1300 * time.Millisecond
	// maxHeaderBytes and maxBodyBytes bound the header and the body of a call.
	maxHeaderBytes = 20 << 10
	maxBodyBytes   = 5 << 20
	// callerHeaderTimeout bounds the reading of a call's header, callerReadTimeout that
	// of the whole call, callerIdleTimeout the time between two calls on a connection,
	// callerWriteTimeout one write to a caller.
	callerHeaderTimeout = 20 * time.Second
	callerReadTimeout   = 60 * time.Second
	callerIdleTimeout   = 60 * time.Second
	callerWriteTimeout  = 10 * time.Second
	// callerProgressTime is the time within which a body must grow by 16 kB, far less
	// than comes over the slowest links.
	callerProgressTime = 10 * time.Second
	// callerConnsDivisor divides the number of file descriptors; the result is
	// the number of caller connections above which idle ones are closed. Each
	// running call takes a further descriptor for its backend server.
	callerConnsDivisor = 3
	// maxUnreadConns bounds the new connections whose requests wait to be read.
	// Even a daemon that is short of processor time reads so many before their
	// callers leave.
	maxUnreadConns = 128
	// memoryLimitFraction is the soft memory limit of the Go runtime, as a
	// fraction of the memory that the process may use. Near this limit the
	// garbage collector runs more often. gcPercent is the growth of the heap
	// between two collections, in percent.
	memoryLimitFraction = 0.5
	gcPercent           = 300
	// callMemoryFraction is the part of the process's memory for heads, bodies and
	// answers, connMemoryFraction that for the connections themselves, each of which
	// takes connBytes: its goroutines' stacks and its state. The rest is for the
	// daemon's own state and for garbage.
	callMemoryFraction = 0.2
	connMemoryFraction = 0.125
	connBytes          = 12 << 10
	// minCallMemory is room for the largest call, whose body is copied as it grows.
	minCallMemory = 2*maxBodyBytes + maxHeaderBytes
)

const (
	// dialTimeout bounds the opening of a connection to the store or to another
	// daemon, unackedTimeout the wait for the acknowledgement of sent bytes.
	dialTimeout    = time.Second
	unackedTimeout = 1500 * time.Millisecond
	// storeRedialInterval is the time after which a daemon that cannot connect to the
	// store tries again, beside the attempts that still wait: what it knows of leaving
	// servers must be new within the contact time after a partition.
	storeRedialInterval = 250 * time.Millisecond
)

// dial connects to the store or to another daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := conn.NewDialer(dialTimeout, unackedTimeout)
	return d.DialContext(ctx, "tcp", address)
}

// Platform contains the parts of the platform that an edge daemon uses: its store, store keys
// and readiness path, and the formats of its documents and headers.
type Platform struct {
	// Store reads the platform's store.
	Store inventory.Store
	// ConfigKey is the store key of the configuration. ServersPrefix begins the
	// store keys of the backend servers, EvacuationPrefix those of the availability
	// zones to which nothing is to be sent.
	ConfigKey, ServersPrefix, EvacuationPrefix string
	ParseConfig                                func([]byte) (route.Document, error)
	// ConfigVersion reads only the version of a configuration.
	ConfigVersion func([]byte) (int64, error)
	ParseServer   func(inventory.Item) (inventory.Entry, error)
	CallerCodec   front.Codec
	ServerCodec   backend.Codec
	// ReadyPath is the path on which the platform checks readiness.
	ReadyPath string
}

// Options are the settings and the dependencies of a Daemon.
type Options struct {
	Settings setting.Edge
	// NewPlatform returns the platform, which connects to its store with dial.
	NewPlatform func(dial func(ctx context.Context, address string) (net.Conn, error)) Platform
	// Log receives one line for each event; nil for none.
	Log log.Interface
}

// Daemon is one running edge daemon.
type Daemon struct {
	settings   setting.Edge
	platform   Platform
	journal    *operator.Journal
	meter      *Meter
	tableStore *route.TableStore
	pool       *place.Pool
	serverList *inventory.ServerList
	zoneList   *inventory.ZoneList
	// mesh is nil until the exchange has started. The pool starts before it and
	// already asks for the number of daemons.
	mesh     atomic.Pointer[exchange.Mesh]
	relay    *backend.Relay
	counters *fair.Counters
	window   *fair.Window
	suspects *retry.Suspects
	// suspicionsSentAt is the time of the last report with all suspicions.
	suspicionsSentAt time.Time
	front            *front.Server
	gate             *gate
	processor        *processor
	streams          *streams
	seeds            atomic.Pointer[[]string]
	leaving          atomic.Bool
	// stopsAt is the time at which a stopping daemon ends the calls that still run; nil
	// before.
	stopsAt atomic.Pointer[time.Time]
	// learned is true once another daemon has answered, startedAt the time of the start.
	learned   atomic.Bool
	startedAt time.Time
	// storeRelayed is true while another daemon reads the store for this one.
	storeRelayed atomic.Bool
	cancel       context.CancelFunc
}

// New starts a daemon. It runs until the context ends or Stop is called.
func New(ctx context.Context, o Options) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(o.Settings.MemoryMB<<20) * memoryLimitFraction))
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{
		settings: o.Settings, platform: o.NewPlatform(conn.Redialing(dial, storeRedialInterval)), journal: operator.NewJournal(o.Log),
		meter: NewMeter(), processor: newProcessor(), suspects: retry.NewSuspects(), cancel: cancel, startedAt: time.Now(),
	}
	d.seeds.Store(&o.Settings.Seeds)
	if err := d.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

// start starts the parts in the order in which they depend on each other.
func (d *Daemon) start(ctx context.Context) error {
	s := d.settings
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	d.journal.Note("", "started", "name", s.Name, "zone", s.Zone, "incarnation", incarnation,
		"store", s.StoreAddress, "seeds", s.Seeds, "key_trust", s.KeyTrustTime)
	trust := time.Duration(0)
	if s.KeyTrustTime > 0 {
		trust = max(time.Duration(s.KeyTrustTime)-keyTrustMargin, time.Millisecond)
	}
	d.tableStore = route.NewTableStore(uptime, trust)
	d.counters = fair.NewCounters(fair.Options{HomeIncarnation: incarnation})
	d.window = fair.NewWindow(d.liveDaemons)
	d.relay = backend.NewRelay(d.platform.ServerCodec)
	d.pool = place.NewPool(ctx, place.Options{
		Name: s.Name, Zone: s.Zone, Shares: d.counters, Window: d.window, LiveDaemons: d.liveDaemons, Members: d.otherMembers, KnownMembers: d.knownMembers,
		Cold: place.ColdBound{Overage: float64(s.Cold.Overage), Slack: float64(s.Cold.Slack)},
	})
	d.streams = &streams{
		origins: stream.NewOrigins(), versions: stream.NewVersions(),
		ask:      func(ctx context.Context, k stream.Key) (stream.Origin, bool) { return d.mesh.Load().FindOrigin(ctx, k) },
		storeAge: func() time.Duration { age, _ := d.tableStore.ConfirmationAge(); return age },
	}
	d.serverList = inventory.NewServerList(versionedPool{d.pool, d.streams}, d.platform.ParseServer, d.journal)
	d.zoneList = inventory.NewZoneList(d.pool, d.platform.EvacuationPrefix, d.journal)
	peers, err := conn.Listen(ctx, s.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	feed, contact := inventory.NewFeed(uptime), inventory.NewContact(uptime)
	d.mesh.Store(exchange.New(ctx, exchange.Options{
		Self:     exchange.Member{Name: s.Name, Zone: s.Zone, Address: s.PeerAddress, Incarnation: incarnation, MemoryMB: int64(s.MemoryMB)},
		Listener: peers, Dial: dial, Seeds: func() []string { return *d.seeds.Load() },
		Export: d.exportReport, Import: d.importReport, Known: d.known, Learn: d.learn, Feed: feed, StoreContact: contact.Unbroken, Journal: d.journal,
		ExportOrigins: d.streams.export, ImportOrigins: d.streams.origins.Import, FindOrigin: d.streams.origins.Find,
	}))
	d.followStore(ctx, feed, contact)
	if err := d.serveCallers(ctx); err != nil {
		return err
	}
	go d.observe(ctx)
	return d.serveOperators(ctx)
}

// liveDaemons returns the number of daemons that are alive, including this one.
func (d *Daemon) liveDaemons() int {
	if m := d.mesh.Load(); m != nil {
		return m.AliveCount()
	}
	return 1
}

// otherMembers returns the other daemons that take calls.
func (d *Daemon) otherMembers() []place.Member {
	if m := d.mesh.Load(); m != nil {
		return m.Members()
	}
	return nil
}

// knownMembers returns the other daemons that may be at work.
func (d *Daemon) knownMembers() []place.Member {
	if m := d.mesh.Load(); m != nil {
		return m.KnownMembers()
	}
	return nil
}

// knownDaemons returns the number of daemons that may draw on the budgets that
// all daemons share. It includes known daemons that cannot be reached now,
// because they may still be at work behind a partition.
func (d *Daemon) knownDaemons() int {
	return max(d.liveDaemons(), len(d.mesh.Load().PeerAddresses())+1)
}

// serveCallers starts to serve callers and to answer readiness checks.
func (d *Daemon) serveCallers(ctx context.Context) error {
	s := d.settings
	intake := front.NewIntake(ctx, maxUnreadConns)
	d.gate = &gate{timerDelay: d.pool.TimerDelay, requestDelay: intake.Delay, link: admission.NewLink(float64(s.LinkMbps))}
	forwarder := forward.New(forward.Options{
		TableStore: d.tableStore, Pool: d.pool, Sender: d.relay, Suspects: d.suspects, Journal: d.journal, Meter: d.meter,
		Budget: retry.NewSharedBudget(retry.Allowance{
			Ratio: float64(s.RetryBudget.Ratio), Slack: float64(s.RetryBudget.Slack), Period: time.Duration(s.RetryBudget.Period),
		}, d.knownDaemons),
		Daemons: d.knownDaemons, StopsAt: d.stopTime, Gate: d.gate, Outdated: d.outdated, Streams: d.streams,
	})
	callers, err := conn.ListenWithoutKeepAlive(ctx, s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "front")
	}
	d.front = front.NewServer(ctx, front.Options{
		Listener: callers, Codec: d.platform.CallerCodec, Handler: forwarder.Serve, Judge: d.judgeHead, Journal: d.journal,
		Limits: callerLimits(s), Intake: intake,
	})
	ready, err := conn.Listen(ctx, s.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	front.ServeReady(ctx, ready, d.platform.ReadyPath, d.Ready, d.journal)
	return nil
}

// Ready reports whether callers may be sent to this daemon: it has a
// configuration whose API keys it may trust, it is not stopping, and it has had the
// time to learn from another daemon which calls crash servers.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.tableStore.Table() != nil && d.tableStore.KeysTrusted() && d.hasLearned()
}

// Reload applies changed settings to the running daemon. Only the seeds can be
// changed without a restart.
func (d *Daemon) Reload(s setting.Edge) {
	d.seeds.Store(&s.Seeds)
	d.journal.Note("", "reloaded", "seeds", s.Seeds)
}
