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
	// defaultCapacity is the number of remembered outcomes and running tickets
	// when Options.Capacity is 0.
	defaultCapacity = 4096
	// maxBytes bounds the remembered answers together; a daemon has 32 MB for
	// control.
	maxBytes = 8 << 20
)

// Options configure an Issuer.
type Options struct {
	// Self is the VM name of this daemon.
	Self string
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	// Runner runs the request of an own ticket.
	Runner wigeonladder.Runner
	// Forward runs a request at the daemon that issued its ticket. An error
	// means that the outcome did not arrive: the request may have run.
	Forward func(ctx context.Context, vm, incarnation string, r wigeonladder.Request) (Outcome, error)
	// LookupIncarnation returns the incarnation known to be alive under a VM name.
	// An empty incarnation with true means that the VM is gone for good; false
	// means that nothing certain is known.
	LookupIncarnation func(vm string) (string, bool)
	// Capacity bounds the remembered outcomes, and separately the tickets that
	// run at once; 0 for 4096.
	Capacity int
	// Journal records decisions; nil for none.
	Journal wigeonladder.Journal
}

// Issuer issues tickets and runs their requests at most once. It implements
// wigeonladder.Tickets.
type Issuer struct {
	o   Options
	key []byte

	mu     sync.Mutex
	sealed bool
	issued uint64
	// watermark is the highest number whose outcome was forgotten. A number at
	// or below it without a run never runs.
	watermark uint64
	runs      map[uint64]*run
	// finished holds the numbers of ended runs, first ended first.
	finished []uint64
	bytes    int
}

// run is one ticket in use or with a known outcome.
type run struct {
	// body is the digest of the body that the first use bound to the ticket.
	body [sha256.Size]byte
	// done is closed when out is set.
	done chan struct{}
	out  Outcome
}

var _ wigeonladder.Tickets = (*Issuer)(nil)

// NewIssuer returns an empty book with a new random key.
func NewIssuer(o Options) *Issuer {
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	key := make([]byte, sha256.Size)
	// rand.Read never fails: it ends the process if the system has no entropy.
	_, _ = rand.Read(key)
	return &Issuer{o: o, key: key, runs: map[uint64]*run{}}
}

// Issue implements wigeonladder.Tickets. Issuing twice is harmless: an unused
// ticket costs no memory.
func (b *Issuer) Issue(workspace, service, method, path string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return "", wigeonladder.Errorf(wigeonladder.CodeDraining, b.o.Self, "no new tickets")
	}
	b.issued++
	mac := sign(b.key, call{workspace, service, method, path}, b.issued)
	return name{b.o.Self, b.o.Incarnation, b.issued, mac}.String(), nil
}

// Run implements wigeonladder.Tickets.
func (b *Issuer) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) error {
	if r.Ticket == "" {
		return wigeonladder.Errorf(wigeonladder.CodeNeedTicket, r.Path, "the call may not be repeated")
	}
	n, err := parse(r.Ticket)
	if err != nil {
		return wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "%v", err)
	}
	if n.vm == b.o.Self {
		return b.RunForwarded(ctx, n.incarnation, r).Deliver(s)
	}
	out := b.foreign(ctx, n, r)
	b.note(r.ID, "ticket_forward", "issuer", n.vm, "code", int(out.Code))
	return out.Deliver(s)
}

// RunForwarded runs a request that another daemon forwarded to the given
// incarnation of this one. The answer of another incarnation is final: its key
// and memory are lost.
func (b *Issuer) RunForwarded(ctx context.Context, incarnation string, r wigeonladder.Request) Outcome {
	n, err := parse(r.Ticket)
	if err != nil {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "%v", err))
	}
	if incarnation != b.o.Incarnation || n.vm != b.o.Self || n.incarnation != b.o.Incarnation {
		return gone(n)
	}
	return b.own(ctx, n, r)
}

// StartDraining refuses new tickets and first runs. Outcomes are still repeated, and
// running tickets end.
func (b *Issuer) StartDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
}

// Running returns the number of tickets that run now.
func (b *Issuer) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running()
}

// running returns the number of runs without an outcome.
func (b *Issuer) running() int {
	return len(b.runs) - len(b.finished)
}

// foreign has the issuer run the request. Every failure of the way there is
// "may have run", because an earlier sending may have reached the issuer.
func (b *Issuer) foreign(ctx context.Context, n name, r wigeonladder.Request) Outcome {
	if incarnation, ok := b.o.LookupIncarnation(n.vm); ok && incarnation == "" {
		return gone(n)
	}
	// A different incarnation may be an old view of this daemon. The VM itself
	// knows, so the request goes there in any case.
	out, err := b.o.Forward(ctx, n.vm, n.incarnation, r)
	if err != nil {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeTicketAway, n.vm, "%v", err).WithRetryAfter(1))
	}
	return out
}

// own runs the request of an own ticket, or waits for its one outcome.
func (b *Issuer) own(ctx context.Context, n name, r wigeonladder.Request) Outcome {
	if !signed(b.key, callOf(r), n) {
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Path, "the ticket is for another call"))
	}
	u, first, err := b.open(n.number, digest(r))
	if err != nil {
		return ErrorOutcome(err)
	}
	if first {
		b.note(r.ID, "ticket_run", "number", n.number)
		go func() { b.execute(context.WithoutCancel(ctx), n.number, u, r) }()
	}
	select {
	case <-u.done:
		return u.out
	case <-ctx.Done():
		return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.Path, "%v", context.Cause(ctx)))
	}
}

// open returns the run of a number; first is true if the caller must execute
// it.
func (b *Issuer) open(number uint64, body [sha256.Size]byte) (u *run, first bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u = b.runs[number]; u != nil {
		if u.body != body {
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeBadTicket, "", "the ticket was used with another body")
		}
		return u, false, nil
	}
	if number <= b.watermark {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeTicketForgotten, "", "number %d is too old", number)
	}
	if b.sealed {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeDraining, b.o.Self, "no new runs")
	}
	if b.running() >= b.o.Capacity {
		return nil, false, wigeonladder.Errorf(wigeonladder.CodeQueueFull, b.o.Self, "%d tickets run", b.o.Capacity).WithRetryAfter(1)
	}
	u = &run{body: body, done: make(chan struct{})}
	b.runs[number] = u
	return u, true, nil
}

// execute runs a request and records the outcome.
func (b *Issuer) execute(ctx context.Context, number uint64, u *run, r wigeonladder.Request) {
	var rec record
	_, err := b.o.Runner.Run(ctx, r, &rec)
	out := rec.end(err)
	b.close(number, u, out)
	b.note(r.ID, "ticket_end", "number", number, "code", int(out.Code))
}

// close sets the outcome of a run. Only an attempt that surely did not run
// makes the ticket usable again.
func (b *Issuer) close(number uint64, u *run, out Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.out = out
	close(u.done)
	if out.notRun() {
		delete(b.runs, number)
		return
	}
	b.finished = append(b.finished, number)
	b.bytes += out.size()
	for len(b.finished) > b.o.Capacity || b.bytes > maxBytes && len(b.finished) > 1 {
		b.forget()
	}
}

// forget drops the outcome that ended first and raises the watermark over its
// number, so that it cannot be taken for unused.
func (b *Issuer) forget() {
	number := b.finished[0]
	b.finished = b.finished[1:]
	b.bytes -= b.runs[number].out.size()
	delete(b.runs, number)
	b.watermark = max(b.watermark, number)
}

// note records an event if there is a journal.
func (b *Issuer) note(request, event string, fields ...any) {
	if b.o.Journal != nil {
		b.o.Journal.Note(request, event, fields...)
	}
}

// gone returns the outcome of a ticket whose issuer lost its memory.
func gone(n name) Outcome {
	err := wigeonladder.Errorf(wigeonladder.CodeTicketGone, n.vm, "incarnation %s is gone", n.incarnation)
	return ErrorOutcome(err)
}

// digest returns the digest of a request's body and content type.
func digest(r wigeonladder.Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.ContentType))
	h.Write([]byte{0})
	h.Write(r.Body)
	return [sha256.Size]byte(h.Sum(nil))
}
