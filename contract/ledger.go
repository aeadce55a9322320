package contract

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of the ledger's own work.
const (
	// tick is the period of re-evaluation of homes, states and expiry.
	tick = 250 * time.Millisecond
	// pauseGap is the time without a tick after which the ledger takes itself
	// for paused. Another home may have served its servers meanwhile.
	pauseGap = time.Second
	// demandLife is the time after which the demands of a silent entry end.
	demandLife = 3 * time.Second
	// endedLife is the least time for which an ended contract is remembered. A
	// renewal that was sent before the release cannot arrive later than this.
	endedLife = 10 * time.Second
	// callLimit bounds one call of an entry.
	callLimit = time.Second
)

// Options are what a Ledger needs.
type Options struct {
	Fleet  wigeonladder.Fleet
	Shares wigeonladder.FairShares
	// Config returns the configuration in force.
	Config func() wigeonladder.Config
	// Limiter returns the learned limit of a server. It is called once when
	// the server is gained.
	Limiter func(wigeonladder.Server) wigeonladder.Limiter
	// FetchLoad asks a server for its load report, about once a second; may be nil.
	FetchLoad func(context.Context, wigeonladder.Server) (wigeonladder.Load, error)
	// Incarnation names this run of the daemon and is unique in the fleet.
	Incarnation string
	// Seed seeds the jitter of circuit breakers.
	Seed uint64
	// Journal may be nil.
	Journal wigeonladder.Journal
}

// Ledger counts the slots of the own servers. It implements wigeonladder.Home.
type Ledger struct {
	o    Options
	ctx  context.Context
	self string

	// update serialises refreshes.
	update sync.Mutex

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string]*pool
	leases  map[wigeonladder.ContractID]*lease
	entries map[string]*entry
	members []string
	// ended holds the ended contracts, so that a late renewal does not count
	// them again and a late release frees nothing.
	ended  ExpiringSet[wigeonladder.ContractID]
	random *rand.Rand
	number uint64
	// beat is the time of the last tick.
	beat time.Time
}

// lease is one contract that occupies a slot.
type lease struct {
	contract wigeonladder.Contract
	server   *server
	charged  int64
	cost     int64
	renewed  time.Time
	// inUse is true once the entry has renewed the contract.
	inUse bool
}

// entry is what the ledger knows of one entry daemon.
type entry struct {
	seen    time.Time
	demands map[demandKey]*demand
}

// NewLedger returns a ledger that works until the context ends. The first
// refresh is done before it returns.
func NewLedger(ctx context.Context, o Options) *Ledger {
	if o.Journal == nil {
		o.Journal = silent{}
	}
	l := &Ledger{
		o:       o,
		ctx:     ctx,
		self:    o.Fleet.Self(),
		servers: map[string]*server{},
		pools:   map[string]*pool{},
		leases:  map[wigeonladder.ContractID]*lease{},
		entries: map[string]*entry{},
		beat:    time.Now(),
		ended:   ExpiringSet[wigeonladder.ContractID]{MinRetention: endedLife},
		random:  rand.New(rand.NewPCG(o.Seed, 2)),
	}
	o.Journal.Note("", "ledger_start", "seed", o.Seed)
	l.refresh()
	go func() {
		t := time.NewTicker(tick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				l.refresh()
				l.expire()
			}
		}
	}()
	if o.FetchLoad != nil {
		go l.pollLoads()
	}
	return l
}

// note records an event of a contract.
func (l *Ledger) note(event string, c wigeonladder.Contract, fields ...any) {
	fields = append([]any{
		"contract", c.ID.HomeIncarnation, "number", c.ID.Number, "server", c.Server,
		"workspace", c.Workspace, "entry", c.Entry,
	}, fields...)
	l.o.Journal.Note("", event, fields...)
}

// silent is a journal that records nothing.
type silent struct{}

// Note implements wigeonladder.Journal.
func (silent) Note(string, string, ...any) {}
