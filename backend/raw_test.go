package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// deadline bounds every wait of the tests. It is generous: no test passes or
// fails by it unless something hangs.
const deadline = 20 * time.Second

// rawServer answers each request with scripted bytes and keeps what it got.
type rawServer struct {
	listener net.Listener
	// answer returns the bytes to send, and whether to close afterwards.
	answer func(n int, r *http.Request) (bytes string, closeAfter bool)

	mu       sync.Mutex
	requests []*http.Request
	conns    int
}

// newRaw starts a server; it ends with the test.
func newRaw(t *testing.T, answer func(n int, r *http.Request) (string, bool)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, answer: answer}
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		g.Wait()
	})
	return s
}

func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(deadline))
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Header.Set("Test-Body", string(body))
		s.mu.Lock()
		s.requests = append(s.requests, r)
		n := len(s.requests)
		s.mu.Unlock()
		bytes, end := s.answer(n, r)
		if _, err := io.WriteString(c, bytes); err != nil || end {
			return
		}
	}
}

// got returns the number of requests and of connections.
func (s *rawServer) got() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

// attempt returns an attempt at a server.
func attempt(s *rawServer, method, path, body string) wigeonladder.Attempt {
	return wigeonladder.Attempt{
		Request: wigeonladder.Request{ID: "r", Method: method, Path: path, Body: []byte(body), Estimate: 3},
		Number:  1,
		Server:  wigeonladder.Server{Name: "raw", Address: s.listener.Addr().String()},
	}
}

// stream returns an attempt at a server that asks for a stream.
func stream(s *rawServer) wigeonladder.Attempt {
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
}

func (r *record) Start(status int, _ string) error {
	r.status = status
	return nil
}

func (r *record) Write(part []byte, tokens int64) error {
	r.body += string(part)
	r.tokens += tokens
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
