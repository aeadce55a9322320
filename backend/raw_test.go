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

// deadline bounds every wait of the tests. It is generous: no test passes or
// fails by it unless something hangs.
const deadline = 20 * time.Second

// newScript starts a scripted server; it ends with the test.
func newScript(t *testing.T, answer func(n int) (string, bool)) *fake.ScriptedServer {
	t.Helper()
	s := fake.NewScriptedServer(fake.ListenLoopback(), answer)
	t.Cleanup(s.Close)
	return s
}

// newEngine starts an engine; it ends with the test.
func newEngine(t testing.TB, o fake.EngineOptions) *fake.Engine {
	t.Helper()
	o.Listener = fake.ListenLoopback()
	e := fake.NewEngine(o)
	t.Cleanup(e.Crash)
	return e
}

// wantCounts asserts the number of requests and connections of a server.
func wantCounts(t *testing.T, s *fake.ScriptedServer, requests, conns int) {
	t.Helper()
	r, c := s.Received()
	is.New(t).Equal([]int{len(r), c}, []int{requests, conns})
}

// attempt returns an attempt at a server.
func attempt(s *fake.ScriptedServer, method, path, body string) wigeonladder.Attempt {
	return wigeonladder.Attempt{
		Request: wigeonladder.Request{ID: "r", Method: method, Path: path, Body: []byte(body), Estimate: 3},
		Number:  1,
		Server:  wigeonladder.Server{Name: "raw", Address: s.Address()},
	}
}

// stream returns an attempt at a server that asks for a stream.
func stream(s *fake.ScriptedServer) wigeonladder.Attempt {
	a := attempt(s, "POST", ChatPath, `{"stream":true}`)
	a.Request.Stream = true
	return a
}

// plainOK is a complete plain answer to the attempt r.1.
func plainOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunked is a stream's response with the given body.
func chunked(header, body string) string {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + header + "\r\n"
	return head + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// word is an event with one token.
const word = "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n"

// total returns the end of a stream of n tokens.
func total(n int) string {
	return fmt.Sprintf("data: {\"id\":\"a\",\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
}

// record is a sink that keeps what it gets.
type record struct {
	status int
	body   string
	tokens int64
	err    error
	after  func(tokens int64)
}

func (r *record) Start(status int, _ string) error {
	r.status = status
	return nil
}

func (r *record) Write(part []byte, tokens int64) error {
	r.body += string(part)
	r.tokens += tokens
	if r.after != nil {
		r.after(r.tokens)
	}
	return r.err
}

// newTestClient returns a client that ends with the test.
func newTestClient(t testing.TB, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

// wantError asserts a code, and that nothing was handed on if body is empty.
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

// do runs an attempt to its end.
func do(t *testing.T, c *Client, a wigeonladder.Attempt) (*record, wigeonladder.Usage, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	r := &record{}
	u, err := c.Do(ctx, a, r)
	return r, u, err
}
