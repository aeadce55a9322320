package forward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/retry"
	"github.com/wigeonladder/wigeonladder/route"
)

// sender fails attempts with the codes in order, and all further ones with the
// last code.
type sender struct {
	errs               []wigeonladder.Code
	sent               []backend.CallAttempt
	acceptsConnections bool
	delay              time.Duration
}

// Send implements Sender.
func (s *sender) Send(ctx context.Context, x backend.CallAttempt) (*backend.Response, *wigeonladder.Error) {
	if err := x.BeforeSend(); err != nil {
		return nil, asError(err)
	}
	s.sent = append(s.sent, x)
	t := time.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		code := wigeonladder.CodeTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			code = wigeonladder.CodeCallerLost
		}
		return nil, wigeonladder.Errorf(code, x.Instance.ID, "%v", ctx.Err())
	}
	c := s.errs[min(len(s.sent), len(s.errs))-1]
	return nil, wigeonladder.Errorf(c, x.Instance.ID, "scripted")
}

// AcceptsConnections implements Sender.
func (s *sender) AcceptsConnections(wigeonladder.Instance) bool { return s.acceptsConnections }

// outcome is a reply that records a refusal. It fails on any other answer.
type outcome struct {
	err     *wigeonladder.Error
	aborted bool
	gone    bool
}

func (o *outcome) SendWhole(wigeonladder.Answer, []byte) error { return errors.New("not scripted") }
func (o *outcome) BeginStream(wigeonladder.Answer) error       { return errors.New("not scripted") }
func (o *outcome) SendEvent([]byte) error                      { return errors.New("not scripted") }
func (o *outcome) EndStream() error                            { return errors.New("not scripted") }
func (o *outcome) CallerGone() bool                            { return o.gone }
func (o *outcome) Abort()                                      { o.aborted = true }
func (o *outcome) Refuse(e *wigeonladder.Error)                { o.err = e }

// discardJournal is a journal that discards its events.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}

// rig is a forwarder with five servers of one service.
type rig struct {
	*Forwarder
	sender     *sender
	tableStore *route.TableStore
	suspects   *retry.Suspects
	now        time.Duration
}

// bubble runs a test with a rig on virtual time.
func bubble(t *testing.T, errs []wigeonladder.Code, test func(*testing.T, *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{sender: &sender{errs: errs, acceptsConnections: true}, suspects: retry.NewSuspects()}
		r.tableStore = route.NewTableStore(func() time.Duration { return r.now }, 3*time.Second)
		r.tableStore.Confirm(0)
		at := func(name string, k route.Kind, attempts int) route.Route {
			return route.Route{
				Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: k, MaxAttempts: attempts, Resumable: name == "resume",
				Timeout: 2 * time.Second, TargetLatency: time.Second, WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}},
			}
		}
		r.tableStore.Accept(route.Document{
			Version: 1, Services: []route.Service{{Name: "s"}},
			Routes: []route.Route{at("safe", route.Safe, 2), at("once", route.AtMostOnce, 1), at("stream", route.Stream, 2), at("resume", route.Stream, 2)},
		})
		pool := place.NewPool(t.Context(), place.Options{})
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			pool.Put(wigeonladder.Instance{ID: id, Service: "s", Slots: 4})
		}
		r.Forwarder = New(Options{
			TableStore: r.tableStore, Pool: pool, Sender: r.sender, Suspects: r.suspects, Journal: discardJournal{},
			Budget: retry.NewSharedBudget(retry.Allowance{Slack: 100, Period: 10 * time.Second}, func() int { return 1 }),
		})
		test(t, r)
	})
}

// serve runs a call and returns its refusal.
func (r *rig) serve(t *testing.T, path string) *wigeonladder.Error {
	t.Helper()
	o := &outcome{}
	r.Serve(t.Context(), &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: path, Body: []byte(path), Received: time.Now()}, o)
	if o.err == nil {
		t.Fatal("no refusal")
	}
	return o.err
}

// Short names of the result codes.
const (
	connect = wigeonladder.CodeConnect
	refused = wigeonladder.CodeRefused
	broken  = wigeonladder.CodeBroken
	crossed = wigeonladder.CodeCrossed
)

// Guards against a call that is retried although it may have run, against one
// that is not retried although it did not run, and against a refusal that says
// "not run" although the call may have run.
func TestRetryRules(t *testing.T) {
	for name, x := range map[string]struct {
		path   string
		errs   []wigeonladder.Code
		sent   int
		status int
	}{
		"once, broken":               {"/once/", []wigeonladder.Code{broken}, 1, 502},
		"once, crossed":              {"/once/", []wigeonladder.Code{crossed}, 1, 502},
		"once, not connected":        {"/once/", []wigeonladder.Code{connect}, 3, 503},
		"once, refused":              {"/once/", []wigeonladder.Code{refused}, 3, 503},
		"once, refused, then broken": {"/once/", []wigeonladder.Code{refused, broken}, 2, 502},
		"safe, broken":               {"/safe/", []wigeonladder.Code{broken}, 2, 502},
		"safe, broken, then refused": {"/safe/", []wigeonladder.Code{broken, refused}, 4, 502},
		"safe, not connected":        {"/safe/", []wigeonladder.Code{connect}, 4, 503},
		"safe, refused":              {"/safe/", []wigeonladder.Code{refused}, 4, 503},
		"stream, broken":             {"/stream/", []wigeonladder.Code{broken}, 1, 502},
		"safe, crossed":              {"/safe/", []wigeonladder.Code{crossed}, 2, 502},
		"resumable, broken":          {"/resume/", []wigeonladder.Code{broken}, 2, 502},
		"resumable, crossed":         {"/resume/", []wigeonladder.Code{crossed}, 1, 502},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, x.errs, func(t *testing.T, r *rig) {
				is := is.New(t)
				err := r.serve(t, x.path)
				is.Equal(len(r.sender.sent), x.sent)
				is.Equal(err.Code.Info().Status, x.status)
				is.Equal(x.status == 503, err.RetryDelay > 0)
				servers := map[string]bool{}
				for _, s := range r.sender.sent {
					servers[s.Instance.ID] = true
				}
				is.Equal(len(servers), x.sent)
			})
		})
	}
}

// Guards against a call that runs on two servers at once, because it is sent again
// while the server whose answer was not understood may still run it.
func TestCrossedCallsWaitForTheirServer(t *testing.T) {
	for code, wait := range map[wigeonladder.Code]time.Duration{broken: 0, crossed: backend.RunEndTimeout} {
		bubble(t, []wigeonladder.Code{code}, func(t *testing.T, r *rig) {
			is := is.New(t)
			began := time.Now()
			r.serve(t, "/safe/")
			is.Equal(len(r.sender.sent), 2)
			is.Equal(time.Since(began), wait)
		})
	}
	bubble(t, []wigeonladder.Code{crossed}, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.sender.delay = 1700 * time.Millisecond // the timeout of the route is 2 s
		is.Equal(r.serve(t, "/safe/").Code, crossed)
		is.Equal(len(r.sender.sent), 1)
	})
}

// Guards against a call that crashes one server after another, and against
// harmless calls that are refused because the network lost their answers.
func TestCrashingCalls(t *testing.T) {
	bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.sender.acceptsConnections = false
		is.Equal(r.serve(t, "/safe/").Code, broken)
		is.Equal(len(r.sender.sent), 2)
		is.Equal(r.serve(t, "/safe/").Code, wigeonladder.CodeSuspect)
		is.Equal(len(r.sender.sent), 2)
	})
	bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
		is := is.New(t)
		for range 5 {
			is.Equal(r.serve(t, "/safe/").Code, broken)
		}
		is.Equal(len(r.sender.sent), 10)
	})
}

// Guards against calls that are admitted without a recently confirmed
// configuration, and against "not found" from a daemon whose configuration is
// old.
func TestAdmissionNeedsAConfiguration(t *testing.T) {
	bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.tableStore.Accept(route.Document{
			Version: 2, Services: []route.Service{{Name: "s"}},
			Routes:     []route.Route{{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: route.Safe, MaxAttempts: 1, WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}}}},
			Workspaces: []route.Workspace{{Name: "w", Keys: []string{"k"}}},
		})
		is.Equal(r.serve(t, "/safe/").Code, wigeonladder.CodeNoCredential)
		is.Equal(r.serve(t, "/other/").Code, wigeonladder.CodeNoService)
		r.now = 3 * time.Second
		is.Equal(r.serve(t, "/safe/").Code, wigeonladder.CodeStale)
		is.Equal(r.serve(t, "/other/").Code, wigeonladder.CodeStale)
		is.Equal(len(r.sender.sent), 0)
	})
}

// Guards against a status that blames the caller when the daemon is stopping:
// it ends the running calls and must tell whether they may have run.
func TestCallsOfAStoppingDaemon(t *testing.T) {
	for name, x := range map[string]struct {
		delay  time.Duration
		status int
	}{"may have run": {time.Minute, 502}, "waiting": {0, 503}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []wigeonladder.Code{connect}, func(t *testing.T, r *rig) {
				r.sender.delay = x.delay
				ctx, cancel := context.WithCancel(t.Context())
				if x.delay == 0 {
					cancel()
				}
				time.AfterFunc(time.Second, cancel)
				o := &outcome{}
				r.Serve(ctx, &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: "/once/", Received: time.Now()}, o)
				is.New(t).Equal(o.err.Code.Info().Status, x.status)
			})
		})
	}
}

// Guards against a timeout sent to a backend server that is longer than the
// time left, and against a call that outlasts the timeout of its route.
func TestTimeLeft(t *testing.T) {
	bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.sender.delay = 700 * time.Millisecond
		r.serve(t, "/safe/")
		is.Equal(len(r.sender.sent), 2)
		is.Equal(r.sender.sent[0].TimeLeft, 2*time.Second)
		is.Equal(r.sender.sent[1].TimeLeft, 1300*time.Millisecond)
		r.sender.delay = time.Minute
		began := time.Now()
		is.Equal(r.serve(t, "/safe/").Code, wigeonladder.CodeTimeout)
		is.Equal(time.Since(began), 2*time.Second)
	})
}

// Guards against a call that is sent after its caller has left or its deadline
// has passed, because a daemon that is short of processor time learns of it
// late.
func TestLateCallsAreNotSent(t *testing.T) {
	for name, x := range map[string]struct {
		gone bool
		late time.Duration
		code wigeonladder.Code
	}{
		"caller gone":     {true, 0, wigeonladder.CodeCallerGone},
		"deadline passed": {false, 3 * time.Second, wigeonladder.CodeWaitTooLong},
		"outdated":        {false, time.Second, wigeonladder.CodeStale},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, nil, func(t *testing.T, r *rig) {
				is := is.New(t)
				r.options.Outdated = func() bool { return name == "outdated" }
				call := &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: "/safe/", Received: time.Now()}
				run := &callRun{forwarder: r.Forwarder, call: call, reply: &outcome{gone: x.gone}}
				is.True(run.admit() == nil)
				time.Sleep(x.late)
				lease, err := r.options.Pool.Acquire(t.Context(), run.job)
				is.True(err == nil)
				is.Equal(asError(run.checkBeforeSend(t.Context(), lease.Instance)).Code, x.code)
			})
		})
	}
}

// Guards against a call that a stopping daemon takes, or lets wait, and cuts off at the
// end of its grace period, although it could have been refused as not run.
func TestCallsThatWouldBeCutAreRefused(t *testing.T) {
	for name, x := range map[string]struct {
		path string
		left time.Duration
		sent int
	}{
		"once, too late":   {"/once/", 1900 * time.Millisecond, 0},
		"once, in time":    {"/once/", 2100 * time.Millisecond, 1},
		"stream, too late": {"/stream/", 1500 * time.Millisecond, 0},
		"stream, in time":  {"/stream/", 2100 * time.Millisecond, 1},
		"safe, too late":   {"/safe/", 500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
				is := is.New(t)
				r.options.StopsAt = func() time.Time { return time.Time{} }
				r.serve(t, x.path)
				is.True(len(r.sender.sent) > 0) // the daemon is not stopping
				r.sender.sent = nil
				stopsAt := time.Now().Add(x.left)
				r.options.StopsAt = func() time.Time { return stopsAt }
				err := r.serve(t, x.path)
				is.Equal(len(r.sender.sent), x.sent)
				if x.sent == 0 {
					is.Equal(err.Code, wigeonladder.CodeDraining)
					is.True(err.RetryDelay > 0)
				}
			})
		})
	}
	bubble(t, nil, func(t *testing.T, r *rig) { // waiting since before the stop
		is := is.New(t)
		stopsAt := time.Time{}
		r.options.StopsAt = func() time.Time { return stopsAt }
		call := &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: "/once/", Received: time.Now()}
		run := &callRun{forwarder: r.Forwarder, call: call, reply: &outcome{}}
		is.True(run.admit() == nil)
		lease, err := r.options.Pool.Acquire(t.Context(), run.job)
		is.True(err == nil)
		stopsAt = time.Now().Add(time.Second)
		is.Equal(asError(run.checkBeforeSend(t.Context(), lease.Instance)).Code, wigeonladder.CodeDraining)
	})
}
