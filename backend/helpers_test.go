package backend

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// deadline bounds every wait of the tests. It is so long that a wait reaches it
// only if something hangs.
const deadline = 20 * time.Second

// newScript starts a scripted server, which is closed at the end of the test.
func newScript(t *testing.T, answer func(n int) (string, bool)) *fake.ScriptedServer {
	t.Helper()
	s := fake.NewScriptedServer(fake.ListenLoopback(), answer)
	t.Cleanup(s.Close)
	return s
}

// newEngine starts an engine, which is closed at the end of the test.
func newEngine(t testing.TB, o fake.EngineOptions) *fake.Engine {
	t.Helper()
	o.Listener = fake.ListenLoopback()
	e := fake.NewEngine(o)
	t.Cleanup(e.Crash)
	return e
}

// wantCounts asserts the numbers of requests and connections that a server got.
func wantCounts(t *testing.T, s *fake.ScriptedServer, requests, conns int) {
	t.Helper()
	r, c := s.Received()
	is.New(t).Equal([]int{len(r), c}, []int{requests, conns})
}

// attemptAt returns an attempt at a scripted server.
func attemptAt(s *fake.ScriptedServer, method, path, body string) wigeonladder.Attempt {
	return wigeonladder.Attempt{
		Request: wigeonladder.Request{ID: "r", Method: method, Path: path, Body: []byte(body), Estimate: 3},
		Number:  1,
		Server:  wigeonladder.Server{Name: "raw", Address: s.Address()},
	}
}

// streamAttemptAt returns an attempt that requests a stream from a scripted
// server.
func streamAttemptAt(s *fake.ScriptedServer) wigeonladder.Attempt {
	a := attemptAt(s, "POST", ChatPath, `{"stream":true}`)
	a.Request.Stream = true
	return a
}

// plainOK returns a complete plain answer to the attempt r.1.
func plainOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunkedStream returns a response that is a stream with the given body.
func chunkedStream(header, body string) string {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + header + "\r\n"
	return head + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// wordEvent is an event with one token.
const wordEvent = "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n"

// streamEnd returns the last two events of a stream of n tokens.
func streamEnd(n int) string {
	return fmt.Sprintf("data: {\"id\":\"a\",\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
}

// recordingSink is a sink that records what is written to it.
type recordingSink struct {
	status     int
	body       string
	tokens     int64
	err        error
	afterWrite func(tokens int64)
}

func (r *recordingSink) Start(status int, _ string) error {
	r.status = status
	return nil
}

func (r *recordingSink) Write(part []byte, tokens int64) error {
	r.body += string(part)
	r.tokens += tokens
	if r.afterWrite != nil {
		r.afterWrite(r.tokens)
	}
	return r.err
}

// newTestClient returns a client, which is closed at the end of the test.
func newTestClient(t testing.TB, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

// wantError asserts that an error has a code.
func wantError(t *testing.T, err error, c wigeonladder.Code) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		t.Fatalf("want %v, got %v", c, err)
	}
	is.Equal(e.Code, c)
}

// runAttempt runs an attempt to its end.
func runAttempt(t *testing.T, c *Client, a wigeonladder.Attempt) (*recordingSink, wigeonladder.Usage, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	r := &recordingSink{}
	u, err := c.Do(ctx, a, r)
	return r, u, err
}
