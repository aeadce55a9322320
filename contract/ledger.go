package contract

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Intervals and timeouts of the ledger.
const (
	// refreshInterval is the interval at which homes, server states and
	// expiries are re-evaluated.
	refreshInterval = 250 * time.Millisecond
	// pauseThreshold is the time without a refresh after which the ledger
	// assumes that the process was paused. Another home may have served the
	// servers of this home meanwhile.
	pauseThreshold = time.Second
	// demandExpiry is the time without a report after which the demands of an
	// entry end.
	demandExpiry = 3 * time.Second
	// endedRetention is the least time for which the ID of an ended contract is
	// kept. A renewal that was sent before the release cannot arrive later than
	// this.
	endedRetention = 10 * time.Second
	// entryCallTimeout bounds one call to an entry.
	entryCallTimeout = time.Second
)

// Options are the dependencies and settings of a Ledger.
type Options struct {
	Fleet  wigeonladder.Fleet
	Shares wigeonladder.FairShares
	// Config returns the configuration in force.
	Config func() wigeonladder.Config
	// Limiter returns the limiter of a server, which learns its number of
	// slots. It is called once when this daemon becomes the home of the server.
	Limiter func(wigeonladder.Server) wigeonladder.Limiter
	// FetchLoad requests the load report of a server. It is called about once a
	// second for each own server, and at once when an entry did not reach the
	// server. It may be nil.
	FetchLoad func(context.Context, wigeonladder.Server) (wigeonladder.Load, error)
	// Incarnation identifies this run of the daemon. It is unique in the fleet.
	Incarnation string
	// Seed seeds the jitter of the circuit breakers.
	Seed uint64
	// Journal may be nil.
	Journal wigeonladder.Journal
}

// Ledger counts the slots of the own servers, which are those whose home is
// this daemon, and grants them. It implements wigeonladder.Home and is safe for
// concurrent use.
type Ledger struct {
	options Options
	ctx     context.Context
	self    string

	// update serialises refreshes.
	update sync.Mutex

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string]*pool
	leases  map[wigeonladder.ContractID]*lease
	entries map[string]*entryState
	members []string
	// ended holds the IDs of ended contracts, so that a late renewal does not
	// count them again and a late release frees nothing.
	ended  ExpiringSet[wigeonladder.ContractID]
	random *rand.Rand
	// lastNumber is the number of the contract that was granted last.
	lastNumber  uint64
	lastRefresh time.Time
}

// lease is one contract that occupies a slot.
type lease struct {
	contract wigeonladder.Contract
	server   *server
	// charged is what the workspace was charged so far and costSoFar the cost
	// so far, both in cost units.
	charged   int64
	costSoFar int64
	// lastRenewed is when the contract was granted or last renewed, or when
	// this process last resumed after a pause.
	lastRenewed time.Time
	// renewed is true once the entry has renewed the contract. A contract that
	// was not renewed yet may be recalled.
	renewed bool
}

// entryState holds what the ledger knows of one entry daemon.
type entryState struct {
	lastSeen time.Time
	demands  map[demandKey]*demand
}

// NewLedger returns a ledger that works until the context ends. The first
// refresh is complete when it returns.
func NewLedger(ctx context.Context, o Options) *Ledger {
	if o.Journal == nil {
		o.Journal = discardJournal{}
	}
	l := &Ledger{
		options:     o,
		ctx:         ctx,
		self:        o.Fleet.Self(),
		servers:     map[string]*server{},
		pools:       map[string]*pool{},
		leases:      map[wigeonladder.ContractID]*lease{},
		entries:     map[string]*entryState{},
		lastRefresh: time.Now(),
		ended:       ExpiringSet[wigeonladder.ContractID]{MinRetention: endedRetention},
		random:      rand.New(rand.NewPCG(o.Seed, 2)),
	}
	o.Journal.Note("", "ledger_start", "seed", o.Seed)
	l.refresh()
	go func() {
		t := time.NewTicker(refreshInterval)
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

// noteContract records an event of a contract in the journal.
func (l *Ledger) noteContract(event string, c wigeonladder.Contract, fields ...any) {
	fields = append([]any{
		"contract", c.ID.HomeIncarnation, "number", c.ID.Number, "server", c.Server,
		"workspace", c.Workspace, "entry", c.Entry,
	}, fields...)
	l.options.Journal.Note("", event, fields...)
}

// discardJournal is a journal that records nothing.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}
