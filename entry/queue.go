package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
)

// Intervals and timeouts of the queue.
const (
	// refreshInterval is the interval at which the homes are re-evaluated.
	refreshInterval = 250 * time.Millisecond
	// pauseThreshold is the time without a refresh after which the queue
	// assumes that the process was paused.
	pauseThreshold = time.Second
	// recalledRetention is the least time for which the ID of a recalled
	// contract is kept, to refuse the contract if it arrives after its recall.
	recalledRetention = 10 * time.Second
	// grantRefusalDelay is how long after a pause grants are returned: they may
	// have waited in a socket for longer than ContractUseTimeout. It is also
	// the delay after which the demand is reported again when a grant was
	// returned.
	grantRefusalDelay = 100 * time.Millisecond
)

// Options are the dependencies and settings of a Queue.
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

// Queue holds the waiting requests and the contracts of running ones. It
// implements wigeonladder.Placer and wigeonladder.Entry and is safe for
// concurrent use.
type Queue struct {
	options Options
	ctx     context.Context
	self    string

	// update serialises refreshes.
	update sync.Mutex

	mu              sync.Mutex
	view            *fleetView
	services        map[string]*serviceQueue
	held            map[wigeonladder.ContractID]*heldContract
	homes           map[string]*homeState
	takeoverAnswers map[string]*takeoverAnswer
	// recalled holds the IDs of contracts that were recalled while they were
	// not held. They may still arrive.
	recalled contract.ExpiringSet[wigeonladder.ContractID]
	affinity map[string]*contract.Affinity
	// reportRepeats counts the calls of repeatReports.
	reportRepeats int
	lastRefresh   time.Time
	// grantsAcceptedFrom is the time before which grants are returned.
	grantsAcceptedFrom time.Time
}

// heldContract is a contract that a request holds.
type heldContract struct {
	contract  wigeonladder.Contract
	request   string
	prefix    uint64
	costSoFar int64
	// used is true once an attempt passed CheckBeforeSend.
	used     bool
	recalled bool
}

// NewQueue returns a queue that works until the context ends.
func NewQueue(ctx context.Context, o Options) *Queue {
	if o.Journal == nil {
		o.Journal = discardJournal{}
	}
	q := &Queue{
		options:         o,
		ctx:             ctx,
		self:            o.Fleet.Self(),
		view:            &fleetView{},
		services:        map[string]*serviceQueue{},
		held:            map[wigeonladder.ContractID]*heldContract{},
		homes:           map[string]*homeState{},
		takeoverAnswers: map[string]*takeoverAnswer{},
		affinity:        map[string]*contract.Affinity{},
		lastRefresh:     time.Now(),
		recalled:        contract.ExpiringSet[wigeonladder.ContractID]{MinRetention: recalledRetention},
	}
	q.refresh()
	go func() {
		t := time.NewTicker(refreshInterval)
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
				q.repeatReports()
			}
		}
	}()
	return q
}

// discardJournal is a journal that records nothing.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}
