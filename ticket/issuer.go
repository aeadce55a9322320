package ticket

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

// Defaults and limits of an Issuer.
const (
	// defaultCapacity is the value of Options.Capacity if it is 0.
	defaultCapacity = 4096
	// maxOutcomeBytes bounds the kept outcomes together; a daemon has 32 MB for its
	// control state.
	maxOutcomeBytes = 8 << 20
)

// Options configure an Issuer.
type Options struct {
	// Self is the VM name of this daemon.
	Self string
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	// Runner runs the request of a ticket that this daemon issued.
	Runner wigeonladder.Runner
	// Forward runs a request at the daemon that issued its ticket. An error
	// means that the outcome did not arrive: the request may have run.
	Forward func(ctx context.Context, vm, incarnation string, r wigeonladder.Request) (Outcome, error)
	// LookupIncarnation returns the incarnation of the live daemon on a VM. An
	// empty incarnation with true means that the VM is permanently gone; false
	// means that the incarnation is not known for certain.
	LookupIncarnation func(vm string) (string, bool)
	// Capacity bounds the number of kept outcomes, and separately the number of
	// tickets that run at the same time; 0 for 4096.
	Capacity int
	// Journal records decisions; nil for none.
	Journal wigeonladder.Journal
}

// Issuer issues tickets and runs their requests at most once. It implements
// wigeonladder.Tickets.
type Issuer struct {
	options Options
	key     []byte

	mu         sync.Mutex
	draining   bool
	lastNumber uint64
	// watermark is the highest number whose outcome was evicted. A number at
	// or below it that has no run is refused.
	watermark uint64
	runs      map[uint64]*run
	// finishedNumbers holds the numbers of the ended runs in the order in which
	// they ended.
	finishedNumbers []uint64
	outcomeBytes    int
}

// run is one ticket in use or with a known outcome.
type run struct {
	// digest is that of the content type and body that the first use bound to
	// the ticket.
	digest [sha256.Size]byte
	// done is closed when outcome is set.
	done    chan struct{}
	outcome Outcome
}

var _ wigeonladder.Tickets = (*Issuer)(nil)

// NewIssuer returns an Issuer without runs and with a new random key.
func NewIssuer(o Options) *Issuer {
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	key := make([]byte, sha256.Size)
	// rand.Read never fails: it ends the process if the system has no entropy.
	_, _ = rand.Read(key)
	return &Issuer{options: o, key: key, runs: map[uint64]*run{}}
}

// Issue implements wigeonladder.Tickets. A repeated call is harmless, because an
// unused ticket costs no memory.
func (b *Issuer) Issue(workspace, service, method, path string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		return "", wigeonladder.Errorf(wigeonladder.CodeDraining, b.options.Self, "no new tickets")
	}
	b.lastNumber++
	signature := sign(b.key, boundCall{workspace, service, method, path}, b.lastNumber)
	return parsedTicket{b.options.Self, b.options.Incarnation, b.lastNumber, signature}.String(), nil
}

// Run implements wigeonladder.Tickets.
func (b *Issuer) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) error {
	if r.Ticket == "" {
		return wigeonladder.Errorf(wigeonladder.CodeNeedTicket, r.Path, "the call may not be repeated")
	}
	n, err := parseTicket(r.Ticket)
	if err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "%v", err)
	}
	if n.vm == b.options.Self {
		return b.RunForwarded(ctx, n.incarnation, r).Deliver(s)
	}
	out := b.forward(ctx, n, r)
	b.note(r.ID, "ticket_forward", "issuer", n.vm, "code", int(out.Code))
	return out.Deliver(s)
}

// RunForwarded runs a request that another daemon forwarded to the given
// incarnation of this daemon. A ticket of another incarnation is permanently gone,
// because the key and the outcomes of that incarnation are lost.
func (b *Issuer) RunForwarded(ctx context.Context, incarnation string, r wigeonladder.Request) Outcome {
	n, err := parseTicket(r.Ticket)
	if err != nil {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "%v", err))
	}
	if incarnation != b.options.Incarnation || n.vm != b.options.Self || n.incarnation != b.options.Incarnation {
		return goneOutcome(n)
	}
	return b.runOwn(ctx, n, r)
}

// StartDraining makes the issuer refuse new tickets and first runs. It still
// returns known outcomes, and lets the running requests complete.
func (b *Issuer) StartDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Running returns the number of tickets that are running.
func (b *Issuer) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running()
}

// running returns the number of runs without an outcome.
func (b *Issuer) running() int {
	return len(b.runs) - len(b.finishedNumbers)
}

// forward has the issuing daemon run the request. Every failure to reach it is
// "may have run", because an earlier attempt to send the request may have reached
// it.
func (b *Issuer) forward(ctx context.Context, n parsedTicket, r wigeonladder.Request) Outcome {
	if incarnation, ok := b.options.LookupIncarnation(n.vm); ok && incarnation == "" {
		return goneOutcome(n)
	}
	// An incarnation found here that differs from the ticket's may be outdated,
	// so the request is forwarded: only the daemon on the VM itself knows its
	// incarnation.
	out, err := b.options.Forward(ctx, n.vm, n.incarnation, r)
	if err != nil {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeTicketAway, n.vm, "%v", err).WithRetryAfter(1))
	}
	return out
}

// runOwn runs the request of a ticket that this daemon issued, or waits for the
// outcome if the run exists already.
func (b *Issuer) runOwn(ctx context.Context, n parsedTicket, r wigeonladder.Request) Outcome {
	if !validSignature(b.key, boundCallOf(r), n) {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "the ticket is for another call"))
	}
	u, first, err := b.openRun(n.number, bodyDigest(r))
	if err != nil {
		return ErrorOutcome(err)
	}
	if first {
		b.note(r.ID, "ticket_run", "number", n.number)
		go func() { b.execute(context.WithoutCancel(ctx), n.number, u, r) }()
	}
	select {
	case <-u.done:
		return u.outcome
	case <-ctx.Done():
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.Path, "%v", context.Cause(ctx)))
	}
}

// openRun returns the run of a number and creates it if needed; first is true if
// the caller must execute it.
func (b *Issuer) openRun(number uint64, digest [sha256.Size]byte) (u *run, first bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u = b.runs[number]; u != nil {
		if u.digest != digest {
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeBadTicket, "", "the ticket was used with another body")
		}
		return u, false, nil
	}
	if number <= b.watermark {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeTicketForgotten, "", "number %d is too old", number)
	}
	if b.draining {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeDraining, b.options.Self, "no new runs")
	}
	if b.running() >= b.options.Capacity {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeQueueFull, b.options.Self, "%d tickets run", b.options.Capacity).WithRetryAfter(1)
	}
	u = &run{digest: digest, done: make(chan struct{})}
	b.runs[number] = u
	return u, true, nil
}

// execute runs a request and records its outcome.
func (b *Issuer) execute(ctx context.Context, number uint64, u *run, r wigeonladder.Request) {
	var rec recordingSink
	_, err := b.options.Runner.Run(ctx, r, &rec)
	out := rec.outcome(err)
	b.finishRun(number, u, out)
	b.note(r.ID, "ticket_end", "number", number, "code", int(out.Code))
}

// finishRun sets the outcome of a run. The ticket can be used again only if the
// request certainly did not run.
func (b *Issuer) finishRun(number uint64, u *run, out Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.outcome = out
	close(u.done)
	if out.notRun() {
		delete(b.runs, number)
		return
	}
	b.finishedNumbers = append(b.finishedNumbers, number)
	b.outcomeBytes += out.sizeBytes()
	for len(b.finishedNumbers) > b.options.Capacity || b.outcomeBytes > maxOutcomeBytes && len(b.finishedNumbers) > 1 {
		b.forgetOldest()
	}
}

// forgetOldest evicts the outcome of the run that ended first. It raises the
// watermark to the number of that run, so that the number cannot be taken for
// unused.
func (b *Issuer) forgetOldest() {
	number := b.finishedNumbers[0]
	b.finishedNumbers = b.finishedNumbers[1:]
	b.outcomeBytes -= b.runs[number].outcome.sizeBytes()
	delete(b.runs, number)
	b.watermark = max(b.watermark, number)
}

// note records an event if there is a journal.
func (b *Issuer) note(request, event string, fields ...any) {
	if b.options.Journal != nil {
		b.options.Journal.Note(request, event, fields...)
	}
}

// goneOutcome returns the outcome of a ticket whose incarnation no longer exists.
func goneOutcome(n parsedTicket) Outcome {
	err := wigeonladder.Errorf(wigeonladder.CodeTicketGone, n.vm, "incarnation %s is gone", n.incarnation)
	return ErrorOutcome(err)
}

// bodyDigest returns the digest of a request's content type and body.
func bodyDigest(r wigeonladder.Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.ContentType))
	h.Write([]byte{0})
	h.Write(r.Body)
	return [sha256.Size]byte(h.Sum(nil))
}
