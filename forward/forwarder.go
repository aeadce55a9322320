package forward

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// staleWait is the time after which a call is told to come back that was
	// refused because the configuration is too old or missing.
	staleWait = 500 * time.Millisecond
	// extraSends is the number of sendings beyond the attempts of a route that
	// a call gets after backend servers that did not run it.
	extraSends = 2
	// idleShare is the part of a backend server's connections that all daemons
	// together keep idle.
	idleShare = 0.5
	// defaultTimeout bounds a call without any time limit.
	defaultTimeout = 30 * time.Second
)

// Sender sends calls to backend servers.
type Sender interface {
	Send(ctx context.Context, s backend.CallAttempt) (*backend.Response, *wigeonladder.Error)
	// AcceptsConnections reports whether a backend server accepts connections.
	AcceptsConnections(i wigeonladder.Instance) bool
}

// Options are what a Forwarder needs.
type Options struct {
	Book     *route.TableStore
	Pool     *place.Pool
	Sender   Sender
	Budget   *retry.SharedBudget
	Suspects *retry.Suspects
	Journal  wigeonladder.Journal
	// Meter counts the outcomes of calls; nil for none.
	Meter Meter
	// Daemons returns the number of daemons that share the connections of a
	// backend server; nil for one.
	Daemons func() int
}

// Meter takes the figures of ended calls.
type Meter interface {
	// ObserveCall takes a call's service, result code, and times to the first byte
	// and to the end.
	ObserveCall(service string, code wigeonladder.Code, first, whole time.Duration)
}

// Forwarder runs calls.
type Forwarder struct{ o Options }

// New returns a Forwarder. It keeps no goroutines.
func New(o Options) *Forwarder { return &Forwarder{o: o} }

// Serve runs a call to its end. The context ends when the caller goes.
func (f *Forwarder) Serve(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
	r := &run{f: f, call: c, reply: w}
	err := r.admit()
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, r.deadline)
		defer cancel()
		err = r.attempts(ctx)
	}
	if err != nil {
		err = r.refuse(ctx, err)
	}
	r.ended(err)
}

// run is one call under way.
type run struct {
	f     *Forwarder
	call  *wigeonladder.Call
	reply wigeonladder.Reply
	match route.Match
	job   *place.Job
	print uint64

	deadline time.Time
	// runs is the number of sendings that may have run, sends of all.
	runs, sends int
	// begun is true once the head of the answer was handed on.
	begun bool
	// last is the id of the last event that was handed on.
	last string
	// first is the time of the first byte of the answer.
	first time.Time
	// spare is a failure of a backend server that is handed on if no other
	// sending succeeds.
	spare *answer
}

// answer is a complete answer.
type answer struct {
	head wigeonladder.Answer
	body []byte
}

// admit decides whether the call may go on to a backend server.
func (r *run) admit() *wigeonladder.Error {
	book := r.f.o.Book
	t := book.Table()
	if t == nil {
		return wigeonladder.Errorf(wigeonladder.CodeStale, "", "no configuration yet").WithRetryDelay(staleWait)
	}
	m, err := t.Match(r.call)
	r.match = m
	if err != nil {
		if !book.KeysTrusted() {
			return wigeonladder.Errorf(wigeonladder.CodeStale, "", "%s", err.Detail).WithRetryDelay(staleWait)
		}
		return err
	}
	if m.Workspace != "" && !book.KeysTrusted() {
		age, _ := book.ConfirmationAge()
		return wigeonladder.Errorf(wigeonladder.CodeStale, "", "version %d was last confirmed %v ago", m.Version, age.Round(time.Millisecond)).WithRetryDelay(staleWait)
	}
	r.print = retry.Fingerprint(wigeonladder.Request{
		Workspace: m.Workspace, Service: m.Service.Name, Path: r.call.Method + " " + r.call.Path, Body: r.call.Body,
	})
	if err := r.f.o.Suspects.CheckQuarantine(r.print, r.call.ID); err != nil {
		return asError(err)
	}
	r.deadline = r.call.Received.Add(r.timeout())
	r.job = &place.Job{
		ID: r.call.ID, Service: m.Service.Name, Workspace: m.Workspace, Prompt: r.call.Prompt,
		ArrivedAt: r.call.Received, TargetLatency: m.Route.TargetLatency, Deadline: r.deadline, ExcludedServers: map[string]bool{},
	}
	r.last = r.call.LastEventID
	r.f.o.Budget.RecordCall(m.Service.Name)
	return nil
}

// timeout is the time for the whole answer: what the caller waits, at most the
// timeout of the route.
func (r *run) timeout() time.Duration {
	limit := r.match.Route.Timeout
	if t := r.call.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// attempts sends the call until it has an answer or may not be sent again.
func (r *run) attempts(ctx context.Context) *wigeonladder.Error {
	for {
		err := r.attempt(ctx)
		if err == nil || !r.again(ctx, err) {
			return err
		}
		r.note("retry", "after", err.Code, "place", err.Place, "detail", err.Detail, "sends", r.sends)
	}
}

// attempt waits for room and sends the call once.
func (r *run) attempt(ctx context.Context) *wigeonladder.Error {
	lease, err := r.f.o.Pool.Acquire(ctx, r.job)
	if err != nil {
		return err
	}
	result := place.CallerGone
	defer func() { lease.End(result) }()
	r.note("placed", "server", lease.Instance.ID, "zone", lease.Instance.Zone, "version", r.match.Version,
		"waited", time.Since(r.call.Received), "expected", lease.ExpectedFirstToken, "read", lease.UncachedTokens, "held", lease.CachedTokens,
		"workspace", r.match.Workspace, "share", lease.Standing, "cost", r.call.Prompt.Cost())
	lease.MarkSent()
	r.sends++
	resp, err := r.f.o.Sender.Send(ctx, backend.CallAttempt{
		Call: r.call, Instance: lease.Instance, Workspace: r.match.Workspace,
		TimeLeft: time.Until(r.deadline), LastEventID: r.last, AtMostOnce: !r.match.Route.Repeatable(),
		MaxIdleConns: r.maxIdle(),
		BeforeSend:   func() error { return r.check(ctx, lease.Instance) },
	})
	if err != nil {
		result = resultOf(ctx, err)
		return r.failed(ctx, lease, err)
	}
	defer resp.Close()
	err = r.relay(ctx, lease, resp)
	result = resultOf(ctx, err)
	if err != nil {
		return r.failed(ctx, lease, err)
	}
	r.f.o.Suspects.Clear(r.print)
	return nil
}

// maxIdle is this daemon's part of the idle connections to one backend server; 0 if
// the service has no bound.
func (r *run) maxIdle() int {
	most := float64(r.match.Service.MaxConns) * idleShare
	if most == 0 {
		return 0
	}
	if r.f.o.Daemons != nil {
		most /= float64(max(r.f.o.Daemons(), 1))
	}
	return max(int(most), 1)
}

// check is the last step before a call is sent.
func (r *run) check(ctx context.Context, i wigeonladder.Instance) error {
	if ctx.Err() != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerGone, i.ID, "the caller went before the call was sent")
	}
	if !r.f.o.Pool.Allowed(i) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, i.ID, "the backend server is leaving")
	}
	if err := r.f.o.Suspects.CheckQuarantine(r.print, i.ID); err != nil {
		return err
	}
	return nil
}
