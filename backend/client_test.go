package backend

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against sending a request again when a reused connection breaks: the
// server may have run the request before it closed the connection.
func TestStaleConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			s := newScript(t, func(n int) (string, bool) {
				if n == 2 {
					return "", true
				}
				return plainOK("fine"), false
			})
			c := newTestClient(t, Options{})
			is := is.New(t)
			_, _, err := runAttempt(t, c, attemptAt(s, method, "/x", ""))
			is.NoErr(err)
			_, u, err := runAttempt(t, c, attemptAt(s, method, "/x", ""))
			wantError(t, err, wigeonladder.CodeBroken)
			is.Equal(u.Cost, int64(3))
			wantCounts(t, s, 2, 1)
		})
	}
}

// Guards against a needless "may have run" that comes from writing a request to
// an idle connection that the server has closed: the next attempt must open a
// new one.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	s := newScript(t, func(n int) (string, bool) { return plainOK("fine"), n == 1 })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attemptAt(s, "POST", "/x", "")
	_, _, err := runAttempt(t, c, a)
	is.NoErr(err)
	conn := c.pool.idle[a.Server.Address][0]
	is.True(fake.Await(deadline, func() bool { return !conn.usable() }))
	_, _, err = runAttempt(t, c, a)
	is.NoErr(err)
	wantCounts(t, s, 2, 2)
}

// Guards against a byte that is written before the BeforeSend check, and
// against a check that is made before the connection is open.
func TestBeforeSendIsTheLastStep(t *testing.T) {
	s := newScript(t, func(int) (string, bool) { return plainOK("fine"), false })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attemptAt(s, "POST", "/x", "body")
	a.BeforeSend = func() error { return errors.New("the contract is too old") }
	_, u, err := runAttempt(t, c, a)
	wantError(t, err, wigeonladder.CodeContractLate)
	is.Equal(u.Cost, int64(0))
	a.BeforeSend = func() error { return wigeonladder.Errorf(wigeonladder.CodeNoServer, "", "leaving") }
	_, _, err = runAttempt(t, c, a)
	wantError(t, err, wigeonladder.CodeNoServer)
	a.BeforeSend = nil
	_, _, err = runAttempt(t, c, a)
	is.NoErr(err)
	wantCounts(t, s, 1, 1) // the connection opened for the stopped attempts was reused

	checked := false
	a.Server.Address = closedAddress(t)
	a.BeforeSend = func() error {
		checked = true
		return nil
	}
	_, _, err = runAttempt(t, c, a)
	wantError(t, err, wigeonladder.CodeConnect)
	is.True(!checked)
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	l := fake.ListenLoopback()
	defer l.Close()
	return l.Addr().String()
}

// Guards against a request that reaches the server changed, such as with a
// normalised path.
func TestRequestIsSentUnchanged(t *testing.T) {
	s := newScript(t, func(int) (string, bool) { return plainOK("fine"), false })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attemptAt(s, "PUT", "/a%2Fb//%25?q=%20", "body")
	a.Request.ContentType = "text/x"
	_, _, err := runAttempt(t, c, a)
	is.NoErr(err)
	requests, _ := s.Received()
	r := requests[0]
	is.Equal(r.RequestURI, "/a%2Fb//%25?q=%20")
	is.Equal(r.Method, "PUT")
	is.Equal(r.Content, "body")
	is.Equal(r.Header.Get("Content-Type"), "text/x")
	is.Equal(r.Header.Get(HeaderAttempt), "r.1")
	is.Equal(r.Header.Get(HeaderResume), "")
}

// Guards against passing on an answer that is incomplete or belongs to another
// attempt, and against a false "not run".
func TestAnswersAreChecked(t *testing.T) {
	plain := func(s *fake.ScriptedServer) wigeonladder.Attempt { return attemptAt(s, "GET", "/x", "") }
	chat := func(s *fake.ScriptedServer) wigeonladder.Attempt { return attemptAt(s, "POST", ChatPath, "{}") }
	resume := func(s *fake.ScriptedServer) wigeonladder.Attempt {
		a := streamAttemptAt(s)
		a.ResumeFrom = 2
		return a
	}
	cases := []struct {
		name    string
		attempt func(*fake.ScriptedServer) wigeonladder.Attempt
		answer  string
		code    wigeonladder.Code
		tokens  int64
	}{
		{"whole", plain, plainOK("fine"), 0, 0},
		{"not found is an answer", plain, "HTTP/1.1 404 N\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n", 0, 0},
		{"no content", plain, "HTTP/1.1 204 N\r\nX-Attempt-Id: r.1\r\n\r\n", 0, 0},
		{"early hints", plain, "HTTP/1.1 103 E\r\n\r\n" + plainOK("fine"), 0, 0},
		{"no echo", plain, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", wigeonladder.CodeCrossed, 0},
		{"refusal of another", plain, "HTTP/1.1 503 S\r\nX-Attempt-Id: q.1\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", wigeonladder.CodeCrossed, 0},
		{"refusal", plain, "HTTP/1.1 503 S\r\nX-Attempt-Id: r.1\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", wigeonladder.CodeRefused, 0},
		{"no refusal mark", plain, "HTTP/1.1 503 S\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n", wigeonladder.CodeBackend, 0},
		{"bare failure", plain, "HTTP/1.1 502 S\r\nContent-Length: 0\r\n\r\n", wigeonladder.CodeBackend, 0},
		{"no length", plain, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\n\r\nfine", wigeonladder.CodeBroken, 0},
		{"short", plain, strings.TrimSuffix(plainOK("fine"), "e"), wigeonladder.CodeBroken, 0},
		{"short chunk", plain, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nfi", wigeonladder.CodeBroken, 0},
		{"no last chunk", plain, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n", wigeonladder.CodeBroken, 0},
		{"no HTTP", plain, "fine\r\n\r\n", wigeonladder.CodeBroken, 0},
		{"nothing", plain, "", wigeonladder.CodeBroken, 0},
		{"too long", plain, plainOK(strings.Repeat("x", 2000)), wigeonladder.CodeBroken, 0},
		{"chat", chat, plainOK(`{"usage":{"completion_tokens":4}}`), 0, 4},
		{"chat without count", chat, plainOK(`{"choices":[]}`), wigeonladder.CodeBroken, 0},
		{"chat is no JSON", chat, plainOK(`{"usage":{"completion_tokens":4}`), wigeonladder.CodeBroken, 0},
		{"stream", streamAttemptAt, chunkedStream("", wordEvent+": ping\n\n"+wordEvent+streamEnd(2)), 0, 2},
		{"stream got JSON", streamAttemptAt, plainOK(`{"usage":{"completion_tokens":4}}`), wigeonladder.CodeBackend, 0},
		{"stream got refused", streamAttemptAt, "HTTP/1.1 400 B\r\nX-Attempt-Id: r.1\r\nContent-Length: 2\r\n\r\n{}", 0, 0},
		{"stream lost a token", streamAttemptAt, chunkedStream("", wordEvent+streamEnd(2)), wigeonladder.CodeBackend, 1},
		{"stream without count", streamAttemptAt, chunkedStream("", wordEvent+"data: [DONE]\n\n"), wigeonladder.CodeBackend, 1},
		{"stream without end", streamAttemptAt, chunkedStream("", wordEvent+wordEvent), wigeonladder.CodeBroken, 2},
		{"stream of two answers", streamAttemptAt, chunkedStream("", wordEvent+strings.ReplaceAll(wordEvent, `"a"`, `"b"`)+streamEnd(2)), wigeonladder.CodeCrossed, 1},
		{"event is no JSON", streamAttemptAt, chunkedStream("", wordEvent+"data: {\n\n"+wordEvent+streamEnd(2)), wigeonladder.CodeBackend, 1},
		{"error in stream", streamAttemptAt, chunkedStream("", wordEvent+"data: {\"error\":{\"message\":\"x\"}}\n\n"), wigeonladder.CodeBackend, 1},
		{"long event", streamAttemptAt, chunkedStream("", wordEvent+"data: "+strings.Repeat("x", 3000)+"\n\n"), wigeonladder.CodeBackend, 1},
		{"resumed", resume, chunkedStream("X-Resume-From: 2\r\n", wordEvent+streamEnd(3)), 0, 1},
		{"resume ignored", resume, chunkedStream("", wordEvent+wordEvent+wordEvent+streamEnd(3)), wigeonladder.CodeBackend, 0},
		{"resumed elsewhere", resume, chunkedStream("X-Resume-From: 1\r\n", wordEvent+wordEvent+streamEnd(3)), wigeonladder.CodeBackend, 0},
		{"resumed short", resume, chunkedStream("X-Resume-From: 2\r\n", wordEvent+streamEnd(4)), wigeonladder.CodeBackend, 1},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			s := newScript(t, func(int) (string, bool) { return k.answer, true })
			c := newTestClient(t, Options{MaxAnswerBytes: 1000, MaxEventBytes: 1000})
			r, u, err := runAttempt(t, c, k.attempt(s))
			is := is.New(t)
			is.Equal(r.tokens, k.tokens)
			is.Equal(u.Failed, k.code != 0)
			if k.code == 0 {
				is.NoErr(err)
				return
			}
			wantError(t, err, k.code)
			is.Equal(r.body, strings.Repeat(wordEvent, int(k.tokens)))
			if k.code == wigeonladder.CodeRefused {
				is.Equal(u.Cost, int64(0))
			}
		})
	}
}

// Guards against attempts that go on after their context ended or a timeout
// passed, and against codes that say "not run" of requests that may have run.
func TestTimeoutsAndContextEndAttempts(t *testing.T) {
	stopError := wigeonladder.Errorf(wigeonladder.CodeBroken, "", "the daemon stopped")
	cases := []struct {
		name  string
		stall int
		cause error
		code  wigeonladder.Code
	}{
		{"no first token", -1, nil, wigeonladder.CodeTimeout},
		{"no next token", 3, nil, wigeonladder.CodeTimeout},
		{"caller gone", 3, context.Canceled, wigeonladder.CodeCallerLost},
		{"caller's deadline", 3, context.DeadlineExceeded, wigeonladder.CodeTimeout},
		{"daemon stopped", 3, stopError, wigeonladder.CodeBroken},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			e := newEngine(t, fake.EngineOptions{})
			e.SetFaults(fake.EngineFaults{StallAfter: k.stall})
			o := Options{}
			if k.cause == nil {
				o = Options{FirstByteTimeout: 50 * time.Millisecond, EventTimeout: 50 * time.Millisecond}
			}
			c := newTestClient(t, o)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			a := chatAttemptAt(e, 9)
			u, err := c.Do(ctx, a, &recordingSink{afterWrite: func(tokens int64) {
				if k.cause != nil && tokens == int64(k.stall) {
					cancel(k.cause)
				}
			}})
			wantError(t, err, k.code)
			is := is.New(t)
			is.Equal(u.Cost, PromptCost(a.Request.Body)+int64(max(k.stall, 0)))
			is.True(fake.Await(deadline, func() bool { return e.Running() == 0 })) // the engine cancels the request
		})
	}
}

// Guards against sending a request after its context has ended, and against
// reporting in that case that the request may have run.
func TestEndedContextSendsNothing(t *testing.T) {
	e := newEngine(t, fake.EngineOptions{})
	c := newTestClient(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	a := chatAttemptAt(e, 9)
	a.BeforeSend = func() error {
		cancel()
		return ctx.Err()
	}
	_, err := c.Do(ctx, a, &recordingSink{})
	wantError(t, err, wigeonladder.CodeContractLate)
	a.BeforeSend = nil
	_, err = c.Do(ctx, a, &recordingSink{})
	wantError(t, err, wigeonladder.CodeCallerGone)
	is.New(t).Equal(e.Served(), 0)
}

// Guards against wrong measurements of cost and latency, on which charges and
// limits depend.
func TestUsageIsMeasured(t *testing.T) {
	is := is.New(t)
	e := newEngine(t, fake.EngineOptions{FirstToken: 40 * time.Millisecond, InterToken: 5 * time.Millisecond})
	c := newTestClient(t, Options{})
	a := chatAttemptAt(e, 9)
	r, u, err := runAttempt(t, c, a)
	is.NoErr(err)
	is.Equal(r.tokens, int64(9))
	is.Equal(u.Cost, PromptCost(a.Request.Body)+9)
	is.True(u.FirstToken >= 40*time.Millisecond)
	is.True(u.InterToken >= 4*time.Millisecond)
	load, err := c.Load(t.Context(), a.Server)
	is.NoErr(err)
	is.Equal(load, wigeonladder.Load{})
	a.Server.Address = closedAddress(t)
	_, err = c.Load(t.Context(), a.Server)
	wantError(t, err, wigeonladder.CodeConnect)
}

// Guards against an attempt that goes on although its answer can no longer be
// written to the caller.
func TestSinkErrorEndsAttempt(t *testing.T) {
	e := newEngine(t, fake.EngineOptions{})
	c := newTestClient(t, Options{})
	_, err := c.Do(t.Context(), chatAttemptAt(e, 9), &recordingSink{err: net.ErrClosed})
	wantError(t, err, wigeonladder.CodeCallerLost)
}

// chatAttemptAt returns an attempt at an engine that requests a stream.
func chatAttemptAt(e *fake.Engine, tokens int) wigeonladder.Attempt {
	body := fake.ChatBody("nib", "hello", tokens, true)
	return wigeonladder.Attempt{
		Request: wigeonladder.Request{ID: "r", Method: "POST", Path: ChatPath, Body: []byte(body), Stream: true},
		Number:  1,
		Server:  wigeonladder.Server{Name: "engine", Address: e.Address()},
	}
}
