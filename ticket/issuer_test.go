package ticket

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// runnerFunc is a Runner that a test defines by a function.
type runnerFunc func(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error)

func (f runnerFunc) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	return f(ctx, r, s)
}

// answeringRunner returns a runner that answers after a second and counts its
// runs.
func answeringRunner(runs *int) runnerFunc {
	return func(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
		*runs++
		time.Sleep(time.Second)
		if err := ctx.Err(); err != nil {
			return wigeonladder.Usage{}, err
		}
		_ = s.Start(201, "text/plain")
		return wigeonladder.Usage{}, s.Write(append([]byte("got "), r.Body...), 1)
	}
}

// newIssuer returns an issuer whose forwarded requests fail.
func newIssuer(r wigeonladder.Runner, capacity int) *Issuer {
	return NewIssuer(Options{
		Self: "vm:1", Incarnation: "a", Runner: r, Capacity: capacity,
		LookupIncarnation: func(string) (string, bool) { return "", false },
		Forward: func(context.Context, string, string, wigeonladder.Request) (Outcome, error) {
			return Outcome{}, errors.New("no answer")
		},
	})
}

// issue returns a request with a new ticket.
func issue(is *is.I, b *Issuer, body string) wigeonladder.Request {
	is.Helper()
	r := wigeonladder.Request{Workspace: "w", Service: "s", Method: "POST", Path: "/deposit", Body: []byte(body)}
	ticket, err := b.Issue("w", "s", "POST", "/deposit")
	is.NoErr(err)
	return r.WithTicket(ticket)
}

// runCode returns the code with which a request ends, CodeOK for an answer.
func runCode(ctx context.Context, b *Issuer, r wigeonladder.Request) wigeonladder.Code {
	if err := b.Run(ctx, r, &recordingSink{}); err != nil {
		return ErrorOutcome(err).Code
	}
	return wigeonladder.CodeOK
}

// runCodeWaiting returns the code of a request whose caller waits without
// limit.
func runCodeWaiting(b *Issuer, r wigeonladder.Request) wigeonladder.Code {
	return runCode(context.Background(), b, r)
}

// Guards against duplicates of a request that run again, and against a run that
// ends when its caller disconnects.
func TestDuplicatesShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		b := newIssuer(answeringRunner(&runs), 10)
		r := issue(is, b, "x")
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		is.Equal(runCode(ctx, b, r), wigeonladder.CodeCallerLost)
		for range 3 {
			var rec recordingSink
			is.NoErr(b.Run(t.Context(), r, &rec))
			is.Equal(rec.out, Outcome{Status: 201, ContentType: "text/plain", Body: []byte("got x"), Tokens: 1})
		}
		is.Equal(runs, 1)
	})
}

// Guards against a ticket that is used for another call, body or workspace.
func TestTicketIsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		b := newIssuer(answeringRunner(&runs), 10)
		r := issue(is, b, "x")
		for _, change := range []func(*wigeonladder.Request){
			func(r *wigeonladder.Request) { r.Workspace = "v" },
			func(r *wigeonladder.Request) { r.Service = "t" },
			func(r *wigeonladder.Request) { r.Method = "PUT" },
			func(r *wigeonladder.Request) { r.Path = "/refund" },
			func(r *wigeonladder.Request) { r.Ticket = strings.Replace(r.Ticket, ":1:", ":2:", 1) },
			func(r *wigeonladder.Request) { r.Ticket += "x" },
			func(r *wigeonladder.Request) { r.Ticket = "x" },
		} {
			changed := r
			change(&changed)
			is.Equal(runCodeWaiting(b, changed), wigeonladder.CodeBadTicket)
		}
		is.Equal(runCodeWaiting(b, r), wigeonladder.CodeOK)
		other := r
		other.Body = []byte("y")
		is.Equal(runCodeWaiting(b, other), wigeonladder.CodeBadTicket)
		is.Equal(runCodeWaiting(b, r.WithTicket("")), wigeonladder.CodeNeedTicket)
		is.Equal(runs, 1)
	})
}

// Guards against outcomes that claim more than is known, such as "not run"
// after output.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		end   error
		write int
		want  wigeonladder.Code
	}{
		"not run":              {wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, "", ""), 0, wigeonladder.CodeWaitTooLong},
		"not run after output": {wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, "", ""), 1, wigeonladder.CodeTicketUnknown},
		"broken":               {wigeonladder.Errorf(wigeonladder.CodeBroken, "", ""), 1, wigeonladder.CodeTicketUnknown},
		"no code":              {errors.New("odd"), 0, wigeonladder.CodeTicketUnknown},
		"too long":             {nil, MaxBodyBytes + 1, wigeonladder.CodeTicketUnknown},
		"whole":                {nil, MaxBodyBytes, wigeonladder.CodeOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runs := 0
			b := newIssuer(runnerFunc(func(_ context.Context, _ wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
				runs++
				if c.write > 0 {
					_ = s.Write(make([]byte, c.write), 0)
				}
				return wigeonladder.Usage{}, c.end
			}), 10)
			r := issue(is, b, "x")
			_ = b.Run(t.Context(), r, &recordingSink{})
			is.Equal(runCodeWaiting(b, r), c.want)
			is.Equal(runs > 1, c.want == wigeonladder.CodeWaitTooLong)
		})
	}
}

// Guards against unbounded memory, and against a ticket that runs again after
// its outcome was evicted.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	runs := 0
	b := newIssuer(runnerFunc(func(_ context.Context, _ wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
		runs++
		return wigeonladder.Usage{}, s.Write(make([]byte, MaxBodyBytes), 0)
	}), 1000)
	unused := issue(is, b, "x")
	first := issue(is, b, "x")
	is.Equal(runCodeWaiting(b, first), wigeonladder.CodeOK)
	for range 2000 {
		is.Equal(runCodeWaiting(b, issue(is, b, "x")), wigeonladder.CodeOK)
	}
	b.mu.Lock()
	is.True(b.outcomeBytes <= maxOutcomeBytes)
	is.True(len(b.runs) <= 1000)
	b.mu.Unlock()
	is.Equal(runCodeWaiting(b, first), wigeonladder.CodeTicketForgotten)
	is.Equal(runCodeWaiting(b, unused), wigeonladder.CodeTicketForgotten)
	is.Equal(runs, 2001)
}

// Guards against a stopping daemon that starts new runs or loses outcomes.
func TestStartDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		b := newIssuer(answeringRunner(&runs), 10)
		used, unused := issue(is, b, "x"), issue(is, b, "x")
		is.Equal(runCodeWaiting(b, used), wigeonladder.CodeOK)
		b.StartDraining()
		is.Equal(runCodeWaiting(b, used), wigeonladder.CodeOK)
		is.Equal(runCodeWaiting(b, unused), wigeonladder.CodeDraining)
		is.Equal(b.Running(), 0)
	})
}
