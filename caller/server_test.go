package caller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against refusing requests with the wrong result code, and against
// sending them to a backend server.
func TestRefusedRequests(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	const chat, good = "/v1/chat/completions", "key-alder"
	body := chatJSON("hello", 5, false)
	cases := []struct {
		name, method, path, key, body string
		code                          wigeonladder.Code
	}{
		{"no key", "POST", chat, "", body, wigeonladder.CodeNoCredential},
		{"wrong key", "POST", chat, "key-oak", body, wigeonladder.CodeBadCredential},
		{"no JSON", "POST", chat, good, "{", wigeonladder.CodeMalformed},
		{"no messages", "POST", chat, good, `{"model":"nib"}`, wigeonladder.CodeMalformed},
		{"bad count", "POST", chat, good, `{"model":"nib","messages":[],"max_tokens":0}`, wigeonladder.CodeMalformed},
		{"unknown model", "POST", chat, good, `{"model":"oak","messages":[]}`, wigeonladder.CodeNoModel},
		{"unknown path", "POST", "/v2", good, body, wigeonladder.CodeNoService},
		{"wrong method", "GET", chat, good, "", wigeonladder.CodeNoService},
		{"unknown service", "GET", "/s/oak/x", good, "", wigeonladder.CodeNoService},
		{"model service as plain", "GET", "/s/scribe/x", good, "", wigeonladder.CodeNoService},
		{"body too large", "POST", "/s/desk/x", good, strings.Repeat("x", 1<<20+1), wigeonladder.CodeTooLarge},
		{"header too large", "POST", "/s/desk/x", strings.Repeat("x", 5000), "", wigeonladder.CodeTooLarge},
		{"no ticket", "POST", "/s/desk/deposit", good, "x", wigeonladder.CodeNeedTicket},
		{"ticket for nothing", "POST", "/v1/tickets", good, `{"service":"oak","method":"POST","path":"/"}`, wigeonladder.CodeNoService},
		{"ticket without path", "POST", "/v1/tickets", good, `{"service":"desk","method":"POST"}`, wigeonladder.CodeMalformed},
		{"ticket without JSON", "POST", "/v1/tickets", good, `x`, wigeonladder.CodeMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wantCode(t, r.send(c.method, c.path, c.key, c.body), c.code)
		})
	}
	is.New(t).Equal(r.engine.Served()+len(r.desk.AllRuns()), 0)
}

// Guards against the HTTP library's own error responses, which have no result
// code.
func TestMalformedHTTP(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	for name, request := range map[string]string{
		"no HTTP":        "hello\r\n\r\n",
		"bad length":     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
		"two framings":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nzzz",
		"bad chunk":      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"bad header":     "GET / HTTP/1.1\r\nHost x\r\n\r\n",
		"two host lines": "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := sendRaw(t, r, request)
			defer c.Close()
			a := readReply(t, c, bufio.NewReader(c))
			// The library accepts some of these as requests without a key.
			code := wigeonladder.CodeMalformed
			if a.Status == 401 {
				code = wigeonladder.CodeNoCredential
			}
			wantCode(t, a, code)
		})
	}
}

// Guards against changing the Runner's errors on the way to the caller.
func TestRunnerErrorsAreAnswered(t *testing.T) {
	for _, stream := range []bool{false, true} {
		r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
			o.Runner = fake.RunnerFunc(func(context.Context, wigeonladder.Request, wigeonladder.Sink) (wigeonladder.Usage, error) {
				return wigeonladder.Usage{}, wigeonladder.Errorf(wigeonladder.CodeQueueFull, "scribe", "full").WithRetryAfter(7)
			})
		})
		a := r.chat(chatJSON("hello", 5, stream))
		wantCode(t, a, wigeonladder.CodeQueueFull)
		is.New(t).Equal(a.Header.Get("Retry-After"), "7")
	}
}

// Guards against callers that are not told when to return, or too early a time.
func TestRetryDelayIsStated(t *testing.T) {
	refusal := wigeonladder.Errorf(wigeonladder.CodeOverload, "model", "full")
	for want, e := range map[string]*wigeonladder.Error{
		"":  refusal,
		"1": refusal.WithRetryDelay(time.Millisecond),
		"2": refusal.WithRetryDelay(2 * time.Second).WithRetryAfter(9),
		"3": refusal.WithRetryDelay(2*time.Second + 1),
		"7": refusal.WithRetryAfter(7),
	} {
		r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
			o.Runner = fake.RunnerFunc(func(context.Context, wigeonladder.Request, wigeonladder.Sink) (wigeonladder.Usage, error) {
				return wigeonladder.Usage{}, e
			})
		})
		is.New(t).Equal(r.chat(chatJSON("hello", 5, false)).Header.Get("Retry-After"), want)
	}
}

// Guards against passing a request to the Runner that differs from what the
// caller sent.
func TestRequestIsComplete(t *testing.T) {
	got := make(chan wigeonladder.Request, 1)
	r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
		o.Runner = fake.RunnerFunc(func(_ context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			got <- q
			return wigeonladder.Usage{}, s.Start(201, "text/x")
		})
	})
	is := is.New(t)
	a := r.send("PATCH", "/s/desk/status/7?x=1", "key-birch", "body", "Content-Type", "text/y")
	is.Equal(a.Status, 201)
	is.Equal(a.Header.Get("Content-Type"), "text/x")
	q := within(t, got, "the request runs")
	is.Equal(q.ID, a.Header.Get("X-Request-Id"))
	is.True(!q.Arrived.IsZero())
	q.ID, q.Arrived = "", time.Time{}
	is.Equal(q, wigeonladder.Request{
		Workspace: "birch", Service: "desk", Urgency: wigeonladder.UrgencyHigh, Estimate: 3,
		Method: "PATCH", Path: "/status/7?x=1", ContentType: "text/y", Body: []byte("body"),
	})
	body := `{"messages":[{"content":"hello"}],"stream":false}`
	a = r.send("POST", "/v1/chat/completions", "key-alder", body, "X-Service", "scribe")
	q = within(t, got, "the request runs")
	is.Equal(q.Estimate, int64(len(body)/4+256))
	is.Equal(q.Service, "scribe")
	is.True(q.PrefixHash != 0 && !q.Stream && !q.AtMostOnce)
}

// Guards against running an at-most-once call with a ticket of another
// workspace or of another call.
func TestTickets(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	is := is.New(t)
	a := r.send("POST", "/v1/tickets", "key-alder", `{"service":"desk","method":"POST","path":"/deposit//7"}`)
	is.Equal(a.Body, `{"ticket":"alder desk POST /deposit/7"}`)
	ticket := "alder desk POST /deposit/7"
	wantCode(t, r.send("POST", "/s/desk/deposit/7", "key-birch", "x", "X-Ticket", ticket), wigeonladder.CodeBadTicket)
	wantCode(t, r.send("POST", "/s/desk/deposit/8", "key-alder", "x", "X-Ticket", ticket), wigeonladder.CodeBadTicket)
	is.Equal(len(r.desk.AllRuns()), 0)
	a = r.send("POST", "/s/desk/deposit/7", "key-alder", "x", "X-Ticket", ticket)
	wantDesk(t, a, "POST", "/deposit/7", "x")
	is.Equal(r.desk.Runs(fake.RunKey("/deposit/7", []byte("x"))), 1)
}

// Guards against answering "not run" to the repetition of a call that has run,
// because the daemon began to stop or the workspace was removed in between.
func TestResendIsNeverReportedNotRun(t *testing.T) {
	var refusing atomic.Bool
	r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) { o.Refusing = refusing.Load })
	resend := func() fake.Reply {
		return r.send("POST", "/s/desk/deposit/7", "key-alder", "x", "X-Ticket", "alder desk POST /deposit/7")
	}
	wantDesk(t, resend(), "POST", "/deposit/7", "x")
	refusing.Store(true)
	wantCode(t, resend(), wigeonladder.CodeTicketAway)
	wantCode(t, r.send("POST", "/s/desk/x", "key-alder", "x"), wigeonladder.CodeDraining)
	refusing.Store(false)
	next := *r.config.Load()
	next.Revision = 2
	next.Register.Workspaces = next.Register.Workspaces[1:]
	r.config.Store(&next)
	wantCode(t, resend(), wigeonladder.CodeTicketUnknown)
	wantCode(t, r.send("POST", "/s/desk/x", "key-alder", "x"), wigeonladder.CodeNoWorkspace)

	rotated := next
	rotated.Revision = 3
	rotated.Register.Workspaces = append([]wigeonladder.Workspace{{Name: "alder", KeyHashes: []string{fake.KeyHash("new")}}}, next.Register.Workspaces...)
	r.config.Store(&rotated)
	wantCode(t, resend(), wigeonladder.CodeTicketUnknown)
	wantCode(t, r.send("POST", "/s/desk/x", "key-alder", "x"), wigeonladder.CodeBadCredential)
	withoutService := rotated
	withoutService.Revision = 4
	withoutService.Register.Services = nil
	r.config.Store(&withoutService)
	gone := func(header ...string) fake.Reply {
		return r.send("POST", "/s/desk/deposit/7", "new", "x", header...)
	}
	wantCode(t, gone("X-Ticket", "alder desk POST /deposit/7"), wigeonladder.CodeTicketUnknown)
	wantCode(t, gone(), wigeonladder.CodeNoService)
}

// Guards against accepting the key of a removed workspace, and against running
// a request as that of another workspace, which would then be charged for it or
// get its answer.
func TestWorkspacesAreSeparate(t *testing.T) {
	seen := make(chan string, 8)
	r := newRig(t, fake.EngineOptions{}, func(r *rig, o *caller.Options) {
		o.Runner = fake.RunnerFunc(func(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			seen <- q.Workspace
			return r.run(ctx, q, s)
		})
	})
	is := is.New(t)
	for _, w := range []string{"alder", "birch"} {
		a := r.send("POST", "/s/desk/x", "key-"+w, w, "X-Workspace", "birch")
		is.Equal(within(t, seen, "the request runs"), w)
		wantDesk(t, a, "POST", "/x", w)
	}
	next := *r.config.Load()
	next.Revision = 2
	next.Register.Workspaces = append([]wigeonladder.Workspace{{Name: "alder", KeyHashes: []string{fake.KeyHash("new")}}}, next.Register.Workspaces[1])
	r.config.Store(&next)
	wantCode(t, r.send("POST", "/s/desk/x", "key-alder", "x"), wigeonladder.CodeBadCredential)
	is.Equal(r.send("POST", "/s/desk/x", "new", "x").Status, 200)
	withoutAlder := next
	for withoutAlder.Revision = 3; withoutAlder.Revision < 5; withoutAlder.Revision++ {
		withoutAlder.Register.Workspaces = next.Register.Workspaces[1:]
		now := withoutAlder
		r.config.Store(&now)
		wantCode(t, r.send("POST", "/s/desk/x", "new", "x"), wigeonladder.CodeNoWorkspace)
	}
	is.Equal(r.send("POST", "/s/desk/x", "key-birch", "x").Status, 200)
}

// Guards against load balancers that keep sending to a draining daemon, and
// against accepting requests while the daemon is to refuse them.
func TestDraining(t *testing.T) {
	var draining, refusing atomic.Bool
	r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
		o.Draining, o.Refusing = draining.Load, refusing.Load
	})
	is := is.New(t)
	is.Equal(r.send("GET", "/ready", "", "").Status, 200)
	draining.Store(true)
	is.Equal(r.send("GET", "/ready", "", "").Status, 503)
	is.Equal(r.send("GET", "/s/desk/x", "key-alder", "").Status, 200)
	refusing.Store(true)
	a := r.send("GET", "/s/desk/x", "key-alder", "")
	wantCode(t, a, wigeonladder.CodeDraining)
	is.True(a.Header.Get("Retry-After") != "")
	c := sendRaw(t, r, rawRequest("/s/desk/x", "x"))
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	b, err := io.ReadAll(c) // returns because the server closes the connection
	is.NoErr(err)
	is.True(strings.Contains(string(b), "Connection: close"))
}

// Guards against a shutdown that cancels a request before the time limit, and
// against a shutdown that waits forever.
func TestShutdown(t *testing.T) {
	t.Run("waits", func(t *testing.T) {
		r := newRig(t, fake.EngineOptions{FirstToken: 100 * time.Millisecond}, nil)
		body := chatJSON("hello", 9, true)
		got := make(chan fake.Reply, 1)
		go func() { got <- r.chat(body) }()
		waitFor(t, "the request runs", func() bool { return r.engine.Running() == 1 })
		is := is.New(t)
		is.Equal(r.server.OpenRequests(), 1)
		is.NoErr(r.server.Shutdown(t.Context()))
		is.Equal(r.server.OpenRequests(), 0)
		wantAnswer(t, within(t, got, "the answer"), body)
		_, err := net.Dial("tcp", r.caller.Address)
		is.True(err != nil)
	})
	for _, name := range []string{"limit", "context"} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			r := newRig(t, fake.EngineOptions{}, func(r *rig, o *caller.Options) {
				o.Runner = fake.RunnerFunc(func(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
					return r.run(ctx, q, &countingSink{Sink: s, total: &sent})
				})
			})
			r.engine.SetFaults(fake.EngineFaults{StallAfter: 3})
			body := chatJSON("hello", 9, true)
			got := make(chan fake.Reply, 1)
			go func() { got <- r.chat(body) }()
			waitFor(t, "three tokens are sent", func() bool { return sent.Load() == 3 })
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if name == "limit" {
				err := r.server.Shutdown(ctx)
				is.New(t).True(errors.Is(err, context.DeadlineExceeded))
			} else {
				r.stop()
			}
			wantBrokenStream(t, within(t, got, "the answer"), wigeonladder.CodeBroken, fake.EngineAnswer([]byte(body)))
		})
	}
}
