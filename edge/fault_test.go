package edge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Guards against a call that may run at most once and runs twice, or is
// reported as "not run" although it ran, under each fault of its backend
// server.
func TestOnceRunsOnce(t *testing.T) {
	for name, f := range map[string]stub.Fault{
		"reset": stub.ResetAnswer, "truncated": stub.TruncatedAnswer, "crossed": stub.WrongAnswer, "unsigned": stub.UnsignedAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setFault(f)
			c := r.call("/once/x")
			reply := r.do(c)
			is := is.New(t)
			is.Equal(reply.Status, 502)
			is.Equal(reply.Signature, "")
			is.Equal(len(r.runs(c.ID)), 1)
		})
	}
	t.Run("refused", func(t *testing.T) {
		r := newRig(t)
		r.setFault(stub.NotExecuted)
		c := r.call("/once/x")
		r.wantNotRun(c, r.do(c))
	})
	t.Run("refused by one", func(t *testing.T) {
		r := newRig(t)
		first := make(chan struct{}, 1)
		first <- struct{}{}
		for _, s := range r.apps {
			s.SetFault(func(int, *http.Request) stub.Fault {
				select {
				case <-first:
					return stub.NotExecuted
				default:
					return stub.NoFault
				}
			})
		}
		c := r.call("/once/x")
		wantWhole(t, c, r.do(c))
		is.New(t).Equal(len(r.runs(c.ID)), 1)
	})
}

// Guards against a caller that is told "not run", or a call that runs at a second
// server, because a faulty server wrote an earlier refusal once more.
func TestRepeatedRefusals(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			r := newRig(t)
			is := is.New(t)
			for _, s := range r.apps {
				s.SetFault(func(n int, _ *http.Request) stub.Fault {
					if n%3 == 0 {
						return stub.RepeatedRefusal
					}
					return stub.NoFault
				})
			}
			for range 30 {
				c := r.call(path)
				reply := r.do(c)
				runs := len(r.runs(c.ID))
				if path == "/once/x" {
					is.True(runs <= 1)
				}
				if reply.Status == 503 {
					is.Equal(runs, 0)
				}
				if reply.Status == 200 {
					wantWhole(t, c, reply)
				}
			}
		})
	}
}

// Guards against a safe call that is not retried, or is retried more often than
// its route allows.
func TestSafeCallsAreRetried(t *testing.T) {
	for name, f := range map[string]stub.Fault{"reset": stub.ResetAnswer, "truncated": stub.TruncatedAnswer, "failing": stub.InternalError, "unsigned": stub.UnsignedAnswer} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setFault(f)
			c := r.call("/safe/x")
			reply := r.do(c)
			is := is.New(t)
			is.True(reply.Status >= 500 && reply.Status != 503)
			is.Equal(len(r.runs(c.ID)), 2)
			if f == stub.InternalError {
				is.Equal(reply.Status, 500)
				is.Equal(reply.Body, "failed")
				is.Equal(reply.Signature, stub.Sign("failed"))
			}
			r.apps[0].SetFault(nil)
			r.apps[1].SetFault(nil)
			c = r.call("/safe/x")
			wantWhole(t, c, r.do(c))
		})
	}
}

// Guards against answers that reach the wrong call over a reused connection,
// because an earlier answer was followed by a second one, had no length, or
// came before its request was read whole.
func TestReusedConnectionsMatchAnswers(t *testing.T) {
	for name, f := range map[string]stub.Fault{"extra": stub.ExtraAnswer, "unframed": stub.CloseDelimitedAnswer, "early": stub.EarlyAnswer} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, s := range r.apps {
				s.SetFault(func(n int, _ *http.Request) stub.Fault {
					if n%2 == 1 {
						return f
					}
					return stub.NoFault
				})
			}
			for range 40 {
				c := r.call("/once/x")
				if f == stub.EarlyAnswer {
					c.Body = strings.Repeat("long body ", 20000)
				}
				wantWhole(t, c, r.do(c))
				is.New(t).Equal(len(r.runs(c.ID)), 1)
			}
		})
	}
}

// Guards against streams with missing or repeated events, and against a broken
// stream that looks complete.
func TestBrokenStreams(t *testing.T) {
	t.Run("resumed", func(t *testing.T) {
		r := newRig(t)
		for _, s := range r.engines {
			s.SetFault(func(_ int, q *http.Request) stub.Fault {
				if !stub.IsResume(q.Header) {
					return stub.TruncatedAnswer
				}
				return stub.NoFault
			})
		}
		c := r.call("/stream/resume/x")
		wantStream(t, c, r.do(c), 5)
		is.New(t).Equal(len(r.runs(c.ID)), 2)
	})
	t.Run("not resumable", func(t *testing.T) {
		r := newRig(t)
		r.setFault(stub.TruncatedAnswer)
		c := r.call("/stream/x")
		reply := r.do(c)
		is := is.New(t)
		is.True(!reply.Complete)
		is.True(strings.HasSuffix(reply.Body, "\n\n"))
		is.Equal(len(r.runs(c.ID)), 1)
	})
}

// Guards against work that continues at a backend server after the caller has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			for _, s := range append(r.apps, r.engines...) {
				s.Delay = time.Minute
			}
			ctx, cancel := context.WithCancel(t.Context())
			c := r.call(path)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = r.caller.Do(ctx, r.callerAddresses[0], c)
			}()
			r.eventually("the call runs", func() bool { return len(r.runs(c.ID)) == 1 })
			cancel()
			<-done
			r.eventually("the server notices that the caller is gone", func() bool { return r.runs(c.ID)[0].CallerGone })
		})
	}
}

// Guards against a call that lasts longer than the timeout of its route.
func TestRouteTimeout(t *testing.T) {
	r := newRig(t)
	r.setFault(stub.NoAnswer)
	c := r.call("/short/x")
	began := time.Now()
	is := is.New(t)
	is.Equal(r.do(c).Status, 504)
	is.True(time.Since(began) < c.Timeout)
}

// Guards against retries beyond the budget that all daemons share.
func TestRetryBudget(t *testing.T) {
	r := newRig(t, withRetry(0, 10))
	r.setFault(stub.InternalError)
	const calls = 40
	runs := 0
	for range calls {
		c := r.call("/safe/x")
		r.do(c)
		runs += len(r.runs(c.ID))
	}
	is := is.New(t)
	is.True(runs > calls)
	is.True(runs <= calls+10)
}

// Guards against refused callers that hold all file descriptors of a daemon. A
// call that did not run is retried on another connection, so the refusal must
// close its connection.
func TestRefusalsCloseConnections(t *testing.T) {
	r := newRig(t)
	r.setFault(stub.NotExecuted)
	is := is.New(t)
	reply := r.do(r.call("/once/x"))
	is.Equal(reply.Status, 503)
	is.True(reply.Close)
	r.setFault(stub.NoFault)
	reply = r.do(r.call("/once/x"))
	is.Equal(reply.Status, 200)
	is.True(!reply.Close)
}
