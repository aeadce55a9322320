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
	// maxBudgetRetries is the number of retries of one request that spend the
	// budget.
	maxBudgetRetries = 2
	// maxFreeRetries is the number of retries of one request after a server
	// refused it or could not be reached. They spend no budget, so they are few.
	maxFreeRetries = 3
	// defaultContractRetryTime bounds the retries after unusable contracts if
	// Options does not. The bound is a time because the daemons learn at
	// different times that a server is leaving: a bounded number of retries
	// could be used up within milliseconds.
	defaultContractRetryTime = 30 * time.Second
	// noServerRetryAfterSeconds is the Retry-After of a request that no server
	// accepted.
	noServerRetryAfterSeconds = 1
	// maxReturnedContracts is the number of contracts that one request releases
	// unused, because it must avoid their server or became suspect. With a
	// backoff from minBackoff to maxBackoff they take about 3 s.
	maxReturnedContracts = 10
	// maxReturnedNotRun is the number of contracts that one request releases
	// unused before it uses a server again that did not run the failed attempt.
	maxReturnedNotRun = 3
	// isolationTimeout bounds how long a suspect looks for a server on which no
	// other suspect runs.
	isolationTimeout = 30 * time.Second
	// suspicionSpreadDelay delays the error of a request that has just been
	// quarantined until the next heartbeat, which follows within 1.2 s, has told
	// the peers. Otherwise a caller that resends the request at once through
	// another daemon crashes a third server.
	suspicionSpreadDelay = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff before another attempt.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Options are what a Runner needs.
type Options struct {
	Placer  wigeonladder.Placer
	Backend wigeonladder.Backend
	// LookupServer returns a backend server of the register; false if it is not
	// there.
	LookupServer func(name string) (wigeonladder.Server, bool)
	// ServerState returns the last known state of a backend server; nil if all
	// are live.
	ServerState func(server string) wigeonladder.VMState
	// Budget and Suspects are shared by all requests; nil for new ones.
	Budget   *Budget
	Suspects *Suspects
	// Journal records retries and crashes; nil for none.
	Journal wigeonladder.Journal
	// OnNewSuspicion is called when a crash is recorded, so that the daemon can
	// tell its peers at once; nil for none. It must not block.
	OnNewSuspicion func()
	// MaxContractRetryTime bounds the time for which a request is retried after
	// unusable contracts; 0 for 30 s.
	MaxContractRetryTime time.Duration
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

// Runner runs requests with retries. It implements wigeonladder.Runner and is safe
// for concurrent use.
type Runner struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
}

// NewRunner returns a Runner. It starts no goroutines.
func NewRunner(o Options) *Runner {
	if o.Budget == nil {
		o.Budget = NewBudget()
	}
	if o.Suspects == nil {
		o.Suspects = NewSuspects()
	}
	if o.MaxContractRetryTime == 0 {
		o.MaxContractRetryTime = defaultContractRetryTime
	}
	if o.Journal != nil {
		o.Journal.Note("", "runner_start", "seed", o.Seed)
	}
	return &Runner{options: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Run implements wigeonladder.Runner. The error, if any, is an *Error whose
// code states the worst outcome of all attempts.
func (n *Runner) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	j := &job{
		runner:        n,
		request:       r,
		fingerprint:   Fingerprint(r),
		sink:          newJoinedSink(s),
		failedServers: map[string]bool{},
		backoff:       newBackoff(),
	}
	err := j.run(ctx)
	if err != nil {
		j.totalUsage.Failed = true
		if j.crashedServer && n.options.Suspects.CheckQuarantine(j.fingerprint, r.ID) != nil {
			sleep(ctx, suspicionSpreadDelay)
		}
		return j.totalUsage, err
	}
	n.options.Budget.Earn(r.Service, r.Workspace)
	n.options.Suspects.Clear(j.fingerprint)
	return j.totalUsage, nil
}

// newBackoff returns an exponential backoff without jitter. Runner.jitter adds
// jitter, because that of the library cannot be seeded.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.RandomizationFactor = 0
	b.Multiplier = 2
	b.MaxInterval = maxBackoff
	b.Reset()
	return b
}

// jitter returns a random time between a half and the whole of the delay.
func (n *Runner) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.random.Int64N(int64(d/2)+1))
}

// isLive reports whether a server accepts new requests.
func (n *Runner) isLive(server string) bool {
	return n.options.ServerState == nil || n.options.ServerState(server) == wigeonladder.StateLive
}

// note records an event if there is a journal.
func (n *Runner) note(request, event string, fields ...any) {
	if n.options.Journal != nil {
		n.options.Journal.Note(request, event, fields...)
	}
}
