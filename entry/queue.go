package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
)

// Times of the queue's own work.
const (
	// tick is the period of re-evaluation of homes.
	tick = 250 * time.Millisecond
	// pauseGap is the time without a tick after which the queue takes itself
	// for paused.
	pauseGap = time.Second
	// recalledLife is the least time for which a recall is remembered.
	recalledLife = 10 * time.Second
	// distrust is how long after a pause grants are given back: they may have
	// waited in a socket for longer than their use-by time. It is also the time
	// after which a refused demand is reported again.
	distrust = 100 * time.Millisecond
)

// Options are what a Queue needs.
type Options struct {
	Fleet wigeonladder.Fleet
	// Zone is the zone of this daemon.
	Zone string
	// Config returns the configuration in force.
	Config func() wigeonladder.Config
	// MaxWaiting bounds the waiting requests of each service; 0 for no bound.
	MaxWaiting int
	// MaxWait bounds the wait of one request; 0 for no bound.
	MaxWait time.Duration
	// Journal may be nil.
	Journal wigeonladder.Journal
}

// Queue holds waiting requests and contracts in use. It implements
// wigeonladder.Placer and wigeonladder.Entry.
type Queue struct {
	o    Options
	ctx  context.Context
	self string

	// update serialises refreshes.
	update sync.Mutex

	mu       sync.Mutex
	view     *view
	lines    map[string]*line
	held     map[wigeonladder.ContractID]*hold
	contacts map[string]*contact
	answers  map[string]*answer
	// recalled holds contracts that were recalled before they arrived.
	recalled contract.ExpiringSet[wigeonladder.ContractID]
	affinity map[string]*contract.Affinity
	// repeats counts the repeats of demand reports.
	repeats int
	// beat is the time of the last tick.
	beat time.Time
	// trusted is the time from which grants are taken.
	trusted time.Time
}

// hold is one contract in use.
type hold struct {
	contract wigeonladder.Contract
	request  string
	prefix   uint64
	cost     int64
	// used is true once an attempt passed the last check.
	used     bool
	recalled bool
}

// NewQueue returns a queue that works until the context ends.
func NewQueue(ctx context.Context, o Options) *Queue {
	if o.Journal == nil {
		o.Journal = silent{}
	}
	q := &Queue{
		o:        o,
		ctx:      ctx,
		self:     o.Fleet.Self(),
		view:     &view{},
		lines:    map[string]*line{},
		held:     map[wigeonladder.ContractID]*hold{},
		contacts: map[string]*contact{},
		answers:  map[string]*answer{},
		affinity: map[string]*contract.Affinity{},
		beat:     time.Now(),
		recalled: contract.ExpiringSet[wigeonladder.ContractID]{MinRetention: recalledLife},
	}
	q.refresh()
	go func() {
		t := time.NewTicker(tick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				q.refresh()
			}
		}
	}()
	go func() {
		t := time.NewTicker(wigeonladder.ContractRenewInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				q.renew(false)
				q.repeat()
			}
		}
	}()
	return q
}

// silent is a journal that records nothing.
type silent struct{}

// Note implements wigeonladder.Journal.
func (silent) Note(string, string, ...any) {}
