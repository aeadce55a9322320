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

// Guards against a request that is sent twice when a kept connection breaks:
// the server may have run it before it closed.
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
			_, _, err := do(t, c, attempt(s, method, "/x", ""))
			is.NoErr(err)
			_, u, err := do(t, c, attempt(s, method, "/x", ""))
			wantError(t, err, wigeonladder.CodeBroken)
			is.Equal(u.Cost, int64(3))
			wantCounts(t, s, 2, 1)
		})
	}
}

// Guards against a false "may have run" when the server closed an idle
// connection: the next attempt must take a new one.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	s := newScript(t, func(n int) (string, bool) { return plainOK("fine"), n == 1 })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attempt(s, "POST", "/x", "")
	_, _, err := do(t, c, a)
	is.NoErr(err)
	l := c.pool.idle[a.Server.Address][0]
	is.True(fake.Await(deadline, func() bool { return !l.usable() }))
	_, _, err = do(t, c, a)
	is.NoErr(err)
	wantCounts(t, s, 2, 2)
}

// Guards against a byte that is written before the last check, and against a
// check that is made before the connection is open.
func TestCheckIsTheLastStep(t *testing.T) {
	s := newScript(t, func(int) (string, bool) { return plainOK("fine"), false })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attempt(s, "POST", "/x", "body")
	a.BeforeSend = func() error { return errors.New("the contract is too old") }
	_, u, err := do(t, c, a)
	wantError(t, err, wigeonladder.CodeContractLate)
	is.Equal(u.Cost, int64(0))
	a.BeforeSend = func() error { return wigeonladder.Errorf(wigeonladder.CodeNoServer, "", "leaving") }
	_, _, err = do(t, c, a)
	wantError(t, err, wigeonladder.CodeNoServer)
	a.BeforeSend = nil
	_, _, err = do(t, c, a)
	is.NoErr(err)
	wantCounts(t, s, 1, 1) // the two refused attempts left the connection unused

	checked := false
	a.Server.Address = closedAddress(t)
	a.BeforeSend = func() error {
		checked = true
		return nil
	}
	_, _, err = do(t, c, a)
	wantError(t, err, wigeonladder.CodeConnect)
	is.True(!checked)
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	l := fake.ListenLoopback()
	defer l.Close()
	return l.Addr().String()
}

// Guards against a request that the server sees otherwise than the fleet.
func TestRequestIsSentAsItIs(t *testing.T) {
	s := newScript(t, func(int) (string, bool) { return plainOK("fine"), false })
	c := newTestClient(t, Options{})
	is := is.New(t)
	a := attempt(s, "PUT", "/a%2Fb//%25?q=%20", "body")
	a.Request.ContentType = "text/x"
	_, _, err := do(t, c, a)
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

// Guards against an answer that is handed on although it is not the complete
// answer of this attempt, and against "not run" that is not true.
func TestAnswersAreJudged(t *testing.T) {
	plain := func(s *fake.ScriptedServer) wigeonladder.Attempt { return attempt(s, "GET", "/x", "") }
	chat := func(s *fake.ScriptedServer) wigeonladder.Attempt { return attempt(s, "POST", ChatPath, "{}") }
	resume := func(s *fake.ScriptedServer) wigeonladder.Attempt {
		a := stream(s)
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
		{"stream", stream, chunked("", word+": ping\n\n"+word+total(2)), 0, 2},
		{"stream got JSON", stream, plainOK(`{"usage":{"completion_tokens":4}}`), wigeonladder.CodeBackend, 0},
		{"stream got refused", stream, "HTTP/1.1 400 B\r\nX-Attempt-Id: r.1\r\nContent-Length: 2\r\n\r\n{}", 0, 0},
		{"stream lost a token", stream, chunked("", word+total(2)), wigeonladder.CodeBackend, 1},
		{"stream without count", stream, chunked("", word+"data: [DONE]\n\n"), wigeonladder.CodeBackend, 1},
		{"stream without end", stream, chunked("", word+word), wigeonladder.CodeBroken, 2},
		{"stream of two answers", stream, chunked("", word+strings.ReplaceAll(word, `"a"`, `"b"`)+total(2)), wigeonladder.CodeCrossed, 1},
		{"event is no JSON", stream, chunked("", word+"data: {\n\n"+word+total(2)), wigeonladder.CodeBackend, 1},
		{"error in stream", stream, chunked("", word+"data: {\"error\":{\"message\":\"x\"}}\n\n"), wigeonladder.CodeBackend, 1},
		{"long event", stream, chunked("", word+"data: "+strings.Repeat("x", 3000)+"\n\n"), wigeonladder.CodeBackend, 1},
		{"resumed", resume, chunked("X-Resume-From: 2\r\n", word+total(3)), 0, 1},
		{"resume ignored", resume, chunked("", word+word+word+total(3)), wigeonladder.CodeBackend, 0},
		{"resumed elsewhere", resume, chunked("X-Resume-From: 1\r\n", word+word+total(3)), wigeonladder.CodeBackend, 0},
		{"resumed short", resume, chunked("X-Resume-From: 2\r\n", word+total(4)), wigeonladder.CodeBackend, 1},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			s := newScript(t, func(int) (string, bool) { return k.answer, true })
			c := newTestClient(t, Options{MaxAnswerBytes: 1000, MaxEventBytes: 1000})
			r, u, err := do(t, c, k.attempt(s))
			is := is.New(t)
			is.Equal(r.tokens, k.tokens)
			is.Equal(u.Failed, k.code != 0)
			if k.code == 0 {
				is.NoErr(err)
				return
			}
			wantError(t, err, k.code)
			is.Equal(r.body, strings.Repeat(word, int(k.tokens)))
			if k.code == wigeonladder.CodeRefused {
				is.Equal(u.Cost, int64(0))
			}
		})
	}
}

// Guards against attempts that outlive their context or their limits, and
// against codes that promise too much.
func TestLimitsEndAttempts(t *testing.T) {
	cut := wigeonladder.Errorf(wigeonladder.CodeBroken, "", "the daemon stopped")
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
		{"daemon stopped", 3, cut, wigeonladder.CodeBroken},
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
			a := chatAt(e, 9)
			u, err := c.Do(ctx, a, &record{after: func(tokens int64) {
				if k.cause != nil && tokens == int64(k.stall) {
					cancel(k.cause)
				}
			}})
			wantError(t, err, k.code)
			is := is.New(t)
			is.Equal(u.Cost, PromptCost(a.Request.Body)+int64(max(k.stall, 0)))
			is.True(fake.Await(deadline, func() bool { return e.Running() == 0 })) // the engine cancels
		})
	}
}

// Guards against a request that is sent, or said to have run, after its
// context ended.
func TestEndedContextSendsNothing(t *testing.T) {
	e := newEngine(t, fake.EngineOptions{})
	c := newTestClient(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	a := chatAt(e, 9)
	a.BeforeSend = func() error {
		cancel()
		return ctx.Err()
	}
	_, err := c.Do(ctx, a, &record{})
	wantError(t, err, wigeonladder.CodeContractLate)
	a.BeforeSend = nil
	_, err = c.Do(ctx, a, &record{})
	wantError(t, err, wigeonladder.CodeCallerGone)
	is.New(t).Equal(e.Served(), 0)
}

// Guards against wrong measurements, from which limits and charges follow.
func TestUsageIsMeasured(t *testing.T) {
	is := is.New(t)
	e := newEngine(t, fake.EngineOptions{FirstToken: 40 * time.Millisecond, InterToken: 5 * time.Millisecond})
	c := newTestClient(t, Options{})
	a := chatAt(e, 9)
	r, u, err := do(t, c, a)
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

// Guards against a caller's write error that goes unnoticed.
func TestSinkErrorEndsAttempt(t *testing.T) {
	e := newEngine(t, fake.EngineOptions{})
	c := newTestClient(t, Options{})
	_, err := c.Do(t.Context(), chatAt(e, 9), &record{err: net.ErrClosed})
	wantError(t, err, wigeonladder.CodeCallerLost)
}

// chatAt returns an attempt at an engine that asks for a stream.
func chatAt(e *fake.Engine, tokens int) wigeonladder.Attempt {
	body := fake.ChatBody("nib", "hello", tokens, true)
	return wigeonladder.Attempt{
		Request: wigeonladder.Request{ID: "r", Method: "POST", Path: ChatPath, Body: []byte(body), Stream: true},
		Number:  1,
		Server:  wigeonladder.Server{Name: "engine", Address: e.Address()},
	}
}
