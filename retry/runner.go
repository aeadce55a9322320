package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// maxRetry is the number of retries of one request that spend the budget.
	maxRetry = 2
	// maxFree is the number of retries after a server refused or was not reached.
	// They spend no budget, so they are few.
	maxFree = 3
	// freeWait bounds the retries after contracts that could not be used, if
	// the options do not. A count is no bound that fits: it ends within milliseconds
	// while the daemons learn of a leaving server at different times.
	freeWait = 30 * time.Second
	// againSeconds is the retry time of a request that found no server.
	againSeconds = 1
	// maxMoves is the number of contracts that one request gives back unused
	// because they name a server that it must avoid. With delays from delayMin
	// to delayMax they take about 3 s.
	maxMoves = 10
	// softMoves is the same for a server on which nothing ran.
	softMoves = 3
	// apartWait bounds how long a suspect looks for a server on which no other
	// suspect runs.
	apartWait = 30 * time.Second
	// newsWait holds back the error of a request that is refused from now on,
	// until the next heartbeat, at most 1.2 s away, has told the peers. A caller
	// that sent it again at once through another daemon broke a third server.
	newsWait = 1500 * time.Millisecond
	// delayMin and delayMax bound the delay before another attempt.
	delayMin = 20 * time.Millisecond
	delayMax = 500 * time.Millisecond
)

// Options are what a Runner needs.
type Options struct {
	Placer  wigeonladder.Placer
	Backend wigeonladder.Backend
	// LookupServer returns a backend server of the register.
	LookupServer func(name string) (wigeonladder.Server, bool)
	// ServerState returns the state of a backend server by all that is known.
	ServerState func(server string) wigeonladder.VMState
	// Budget and Suspects are shared by all requests; nil for new ones.
	Budget   *Budget
	Suspects *Suspects
	// Journal takes notes of attempts; nil for none.
	Journal wigeonladder.Journal
	// OnNewSuspicion is called when a suspicion is new, so that peers hear of it at
	// once; nil for none. It must not block.
	OnNewSuspicion func()
	// MaxContractRetryTime bounds the time for which a request is tried again after
	// contracts that could not be used; 0 for 30 s.
	MaxContractRetryTime time.Duration
	// Seed seeds the jitter of delays.
	Seed uint64
}

// Runner runs requests to their end. It implements wigeonladder.Runner.
type Runner struct {
	o Options

	mu     sync.Mutex
	random *rand.Rand
}

// NewRunner returns a Runner. It keeps no goroutines.
func NewRunner(o Options) *Runner {
	if o.Budget == nil {
		o.Budget = NewBudget()
	}
	if o.Suspects == nil {
		o.Suspects = NewSuspects()
	}
	if o.MaxContractRetryTime == 0 {
		o.MaxContractRetryTime = freeWait
	}
	if o.Journal != nil {
		o.Journal.Note("", "runner_start", "seed", o.Seed)
	}
	return &Runner{o: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Run implements wigeonladder.Runner. The error, if any, is an *Error whose
// code tells the worst outcome of all attempts.
func (n *Runner) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	j := &job{
		n:      n,
		r:      r,
		print:  Fingerprint(r),
		out:    newRelay(s),
		avoid:  map[string]bool{},
		delays: newDelays(),
	}
	err := j.run(ctx)
	if err != nil {
		j.total.Failed = true
		if j.broke && n.o.Suspects.CheckQuarantine(j.print, r.ID) != nil {
			pause(ctx, newsWait)
		}
		return j.total, err
	}
	n.o.Budget.Earn(r.Service, r.Workspace)
	n.o.Suspects.Clear(j.print)
	return j.total, nil
}

// newDelays returns growing delays. The jitter is added by delay, because the
// library's own has no seed.
func newDelays() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = delayMin
	b.RandomizationFactor = 0
	b.Multiplier = 2
	b.MaxInterval = delayMax
	b.Reset()
	return b
}

// jitter returns a random time between a half and the whole of the delay.
func (n *Runner) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.random.Int64N(int64(d/2)+1))
}

// live reports whether a server takes new work.
func (n *Runner) live(server string) bool {
	return n.o.ServerState == nil || n.o.ServerState(server) == wigeonladder.StateLive
}

// note writes to the journal.
func (n *Runner) note(request, event string, fields ...any) {
	if n.o.Journal != nil {
		n.o.Journal.Note(request, event, fields...)
	}
}
