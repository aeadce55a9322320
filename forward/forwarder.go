package forward

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// unavailableRetryDelay is the retry delay of a call that is refused
	// because this daemon has no usable configuration, no backend server or no
	// time left, or is stopping.
	unavailableRetryDelay = 500 * time.Millisecond
	// otherDaemonDelay is the retry delay of a call that is refused because this daemon is
	// stopping, or late; other daemons take it at once.
	otherDaemonDelay = 100 * time.Millisecond
	// extraSends is the number of times that a call may be sent in addition to
	// the attempts of its route, after backend servers that did not run it.
	extraSends = 2
	// idleConnFraction is the part of a backend server's connections that all
	// daemons together keep idle.
	idleConnFraction = 0.5
	// defaultTimeout bounds a call for which neither the caller nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Sender sends calls to backend servers.
type Sender interface {
	Send(ctx context.Context, s backend.CallAttempt) (*backend.Response, *wigeonladder.Error)
	// AcceptsConnections reports whether a backend server accepts connections.
	AcceptsConnections(i wigeonladder.Instance) bool
}

// Options are the dependencies of a Forwarder.
type Options struct {
	TableStore *route.TableStore
	Pool       *place.Pool
	Sender     Sender
	Budget     *retry.SharedBudget
	Suspects   *retry.Suspects
	Journal    wigeonladder.Journal
	// Meter records the results of calls; nil for none.
	Meter Meter
	// StopsAt returns the time at which the daemon ends the calls that still run; zero
	// while it is not stopping. Nil means that it never stops.
	StopsAt func() time.Time
	// Gate decides which calls this daemon can serve in time; nil admits all.
	Gate Gate
	// Streams tells at which software versions streams began; nil if all versions fit
	// together.
	Streams wigeonladder.StreamOrigins
	// Outdated reports whether servers may have left for longer than promised without
	// this daemon knowing it; nil for never.
	Outdated func() bool
	// Daemons returns the number of daemons that share the connections of a
	// backend server; nil for one.
	Daemons func() int
}

// Meter records the results of ended calls.
type Meter interface {
	// ObserveCall records an ended call: its service, its result code, and the
	// times from its arrival to the first byte of the answer and to the end.
	// The first is 0 if there was no answer.
	ObserveCall(service string, code wigeonladder.Code, first, whole time.Duration)
}

// Gate refuses the calls that this daemon cannot serve in time, whatever the servers can
// do. It must be safe for concurrent use.
type Gate interface {
	// Refusal returns the error for a call that is refused, or nil. It counts the call.
	Refusal(h admission.Head) *wigeonladder.Error
	// HopelessRefusal returns the error for a call that would certainly be refused, or
	// nil. It does not count the call.
	HopelessRefusal(h admission.Head) *wigeonladder.Error
}

// Forwarder runs calls on backend servers and relays their answers.
type Forwarder struct{ options Options }

// New returns a Forwarder. It starts no goroutines.
func New(o Options) *Forwarder { return &Forwarder{options: o} }

// Serve runs a call and writes its answer or refusal to the reply. The context
// must end when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
	r := &callRun{forwarder: f, call: c, reply: w}
	err := r.admit()
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, r.deadline)
		defer cancel()
		if err = r.takeUp(ctx); err == nil {
			err = r.sendWithRetries(ctx)
		}
	}
	if err != nil {
		err = r.refuse(ctx, err)
	}
	r.recordEnd(err)
}

// callRun is the state of one call.
type callRun struct {
	forwarder *Forwarder
	call      *wigeonladder.Call
	reply     wigeonladder.Reply
	match     route.Match
	job       *place.Job
	keys      retry.CallKeys

	deadline time.Time
	// mayHaveRunCount is the number of attempts that may have run. sends is the
	// number of all attempts.
	mayHaveRunCount, sends int
	// headSent is true once the head of the answer was sent to the caller.
	headSent bool
	// lastEventID is the id of the last event that the caller got. resumed is true
	// while the rest of a stream that has begun comes from another server,
	// positionLost once the caller got data without an id, after which the stream
	// cannot be resumed.
	lastEventID           string
	resumed, positionLost bool
	// began is true once the last attempt has received the first event of a stream
	// or a whole answer.
	began bool
	// sentAt is the time of the last check before the current attempt was sent.
	sentAt time.Time
	// firstByteAt is the time at which the first byte of the answer arrived.
	firstByteAt time.Time
	// fallback is an error answer of a backend server that the caller gets if
	// no other attempt succeeds.
	fallback *completeAnswer
}

// completeAnswer is an answer with its whole body.
type completeAnswer struct {
	head wigeonladder.Answer
	body []byte
}

// admit finds the route of the call and decides whether it is admitted. It sets
// the state that the attempts need.
func (r *callRun) admit() *wigeonladder.Error {
	tableStore := r.forwarder.options.TableStore
	t := tableStore.Table()
	if t == nil {
		return wigeonladder.Errorf(wigeonladder.CodeStale, "", "no configuration yet").WithRetryDelay(unavailableRetryDelay)
	}
	m, err := t.Match(r.call)
	r.match = m
	if err != nil {
		if !tableStore.KeysTrusted() {
			return wigeonladder.Errorf(wigeonladder.CodeStale, "", "%s", err.Detail).WithRetryDelay(unavailableRetryDelay)
		}
		return err
	}
	if m.Workspace != "" && !tableStore.KeysTrusted() {
		age, _ := tableStore.ConfirmationAge()
		return wigeonladder.Errorf(wigeonladder.CodeStale, "", "version %d was last confirmed %v ago", m.Version, age.Round(time.Millisecond)).WithRetryDelay(unavailableRetryDelay)
	}
	r.keys = retry.NewCallKeys(wigeonladder.Request{
		Workspace: m.Workspace, Service: m.Service.Name, Path: r.call.Method + " " + r.call.Path, Body: r.call.Body,
	}, r.call.Prompt)
	if err := r.forwarder.options.Suspects.CheckCall(r.keys, r.call.ID); err != nil {
		return asError(err)
	}
	r.deadline = r.call.Received.Add(r.timeout())
	if err := r.checkStop(); err != nil {
		return err
	}
	if g := r.forwarder.options.Gate; g != nil {
		if err := g.Refusal(HeadOf(r.call, m, len(r.call.Body))); err != nil {
			return err
		}
	}
	r.job = &place.Job{
		ID: r.call.ID, Service: m.Service.Name, Workspace: m.Workspace, Prompt: r.call.Prompt,
		ArrivedAt: r.call.Received, TargetLatency: m.Route.TargetLatency, Deadline: r.deadline, ExcludedServers: map[string]bool{},
	}
	r.lastEventID = r.call.LastEventID
	r.forwarder.options.Budget.RecordCall(m.Service.Name)
	return nil
}

// checkStop returns an error if the daemon is stopping and would probably cut off the
// call. A call that may not be repeated needs all of its time, because nobody could
// tell afterwards whether it ran. Other calls need the usual time of their service.
func (r *callRun) checkStop() *wigeonladder.Error {
	if r.forwarder.options.StopsAt == nil {
		return nil
	}
	stopsAt := r.forwarder.options.StopsAt()
	if stopsAt.IsZero() {
		return nil
	}
	end := r.deadline
	if r.match.Route.Kind != route.AtMostOnce {
		usual := time.Now().Add(r.match.Route.TargetLatency + r.forwarder.options.Pool.MeanRunTime(r.match.Service.Name))
		if usual.Before(end) {
			end = usual
		}
	}
	if !end.After(stopsAt) {
		return nil
	}
	return wigeonladder.Errorf(wigeonladder.CodeDraining, r.call.ID, "the daemon stops in %v, before the call would end", time.Until(stopsAt).Round(time.Millisecond)).
		WithRetryDelay(otherDaemonDelay)
}

// timeout returns the time limit of the whole answer: that of the caller, but
// at most that of the route.
func (r *callRun) timeout() time.Duration {
	limit := r.match.Route.Timeout
	if t := r.call.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// sendWithRetries sends the call until it has an answer or may not be retried.
func (r *callRun) sendWithRetries(ctx context.Context) *wigeonladder.Error {
	for {
		err := r.attempt(ctx)
		if err == nil || !r.mayRetry(ctx, err) {
			return err
		}
		r.note("retry", "after", err.Code, "place", err.Place, "detail", err.Detail, "sends", r.sends)
	}
}

// attempt waits for a slot on a backend server and sends the call once.
func (r *callRun) attempt(ctx context.Context) *wigeonladder.Error {
	r.job.IsolationKey = r.forwarder.options.Suspects.IsolationKey(r.keys)
	lease, err := r.forwarder.options.Pool.Acquire(ctx, r.job)
	if err != nil {
		return err
	}
	result := place.Inconclusive
	defer func() { lease.End(result) }()
	r.note("placed", "server", lease.Instance.ID, "zone", lease.Instance.Zone, "version", r.match.Version,
		"waited", time.Since(r.call.Received), "expected", lease.ExpectedFirstToken, "read", lease.UncachedTokens, "held", lease.CachedTokens,
		"workspace", r.match.Workspace, "share", lease.Standing, "cost", r.call.Prompt.Cost(), "unavailable", lease.Unavailable,
		"isolated", r.job.IsolationKey != 0, "software", lease.Instance.Version, "after", r.lastEventID)
	lease.MarkSent()
	r.sends++
	r.began = false
	resp, err := r.forwarder.options.Sender.Send(ctx, backend.CallAttempt{
		Call: r.call, Instance: lease.Instance, Workspace: r.match.Workspace,
		TimeLeft: time.Until(r.deadline), LastEventID: r.lastEventID, AtMostOnce: !r.match.Route.Repeatable(), Exclusive: r.match.Route.Resumable,
		MaxIdleConns:  r.maxIdleConns(),
		BeforeSend:    func() error { return r.checkBeforeSend(ctx, lease.Instance) },
		OnHead:        func(h backend.AnswerHead) { r.recordNotice(lease.Instance, h) },
		ReserveAnswer: r.reserveAnswer,
	})
	if err != nil {
		result = resultOf(ctx, err)
		return r.recordFailure(ctx, lease, err)
	}
	defer resp.Close()
	err = r.relay(ctx, lease, resp)
	result = resultOf(ctx, err)
	if err != nil {
		return r.recordFailure(ctx, lease, err)
	}
	r.forwarder.options.Suspects.Clear(r.keys.Request)
	return nil
}

// reserveAnswer reserves memory for an answer, if the reply bounds it.
func (r *callRun) reserveAnswer(n int) error {
	if a, ok := r.reply.(wigeonladder.AnswerReserver); ok {
		return a.ReserveAnswer(n)
	}
	return nil
}

// recordNotice records the limit, the departure and the pause that the head of an
// answer states. A pause counts only in a refusal.
func (r *callRun) recordNotice(i wigeonladder.Instance, h backend.AnswerHead) {
	pool := r.forwarder.options.Pool
	r.recordLimit(i, h)
	if h.HasLoad {
		pool.RecordLoad(i, h.Load, r.sentAt)
	}
	if h.Leaving && pool.RecordLeaving(i) {
		r.note("server_leaving", "server", i.ID, "status", h.Status)
	}
	if h.RetryAfter > 0 && isRefusalStatus(h.Status) && pool.RecordPause(i, h.RetryAfter) {
		r.note("server_paused", "server", i.ID, "status", h.Status, "pause", min(h.RetryAfter, place.MaxPause))
	}
}

// recordLimit records the limit that the head of an answer names. Only the answer of
// the server to this call, whose sending is known, shows that a limit has ended.
func (r *callRun) recordLimit(i wigeonladder.Instance, h backend.AnswerHead) {
	pool := r.forwarder.options.Pool
	switch {
	case h.HasLimit:
		if pool.RecordLimit(i, h.Limit) {
			r.note("server_limit", "server", i.ID, "status", h.Status, "limit", h.Limit)
		}
	case h.ID == r.call.ID && h.Signed && !h.NotRun:
		if pool.RecordNoLimit(i, r.sentAt) {
			r.note("server_limit_ended", "server", i.ID, "status", h.Status)
		}
	}
}

// isRefusalStatus reports whether a server with this status may ask for a pause.
func isRefusalStatus(status int) bool { return status == 429 || status == 503 }

// maxIdleConns returns this daemon's part of the idle connections to one backend
// server; 0 if the service sets no limit.
func (r *callRun) maxIdleConns() int {
	limit := float64(r.match.Service.MaxConns) * idleConnFraction
	if limit == 0 {
		return 0
	}
	if r.forwarder.options.Daemons != nil {
		limit /= float64(max(r.forwarder.options.Daemons(), 1))
	}
	return max(int(limit), 1)
}

// checkBeforeSend is the last check before the first byte is sent.
func (r *callRun) checkBeforeSend(ctx context.Context, i wigeonladder.Instance) error {
	// The context ends late when many goroutines wait for the processor.
	if ctx.Err() != nil || r.reply.CallerGone() {
		return wigeonladder.Errorf(wigeonladder.CodeCallerGone, i.ID, "the caller went before the call was sent")
	}
	if !time.Now().Before(r.deadline) {
		return wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, i.ID, "the deadline passed before the call was sent").WithRetryDelay(unavailableRetryDelay)
	}
	if err := r.checkStop(); err != nil {
		return err
	}
	if outdated := r.forwarder.options.Outdated; outdated != nil && outdated() {
		return wigeonladder.Errorf(wigeonladder.CodeStale, i.ID, "the server may have left").WithRetryDelay(otherDaemonDelay)
	}
	if !r.forwarder.options.Pool.Allowed(i) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, i.ID, "the backend server takes no calls any more")
	}
	if key := r.forwarder.options.Suspects.IsolationKey(r.keys); key != 0 && r.job.IsolationKey == 0 {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, i.ID, "a part of the prompt has become suspect")
	}
	if err := r.forwarder.options.Suspects.AdmitCall(r.keys, i.ID); err != nil {
		return err
	}
	r.sentAt = time.Now()
	return nil
}
