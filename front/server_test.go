package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// deadline bounds every wait. Only a test that hangs reaches it.
const deadline = 20 * time.Second

// plainCodec is a Codec that reads only the id of a call and copies the headers
// of answers.
type plainCodec struct{}

// ReadCall implements Codec.
func (plainCodec) ReadCall(h *fasthttp.RequestHeader, c *wigeonladder.Call) *wigeonladder.Error {
	c.ID = string(h.Peek("Id"))
	return nil
}

// WriteAnswerHeaders implements Codec.
func (plainCodec) WriteAnswerHeaders(h *fasthttp.ResponseHeader, a wigeonladder.Answer) {
	for _, f := range a.Headers {
		h.Add(f.Name, f.Value)
	}
}

// WriteRefusal implements Codec.
func (plainCodec) WriteRefusal(r *fasthttp.Response, _ *wigeonladder.Call, e *wigeonladder.Error) {
	r.SetStatusCode(e.Code.Info().Status)
}

// discardJournal is a journal that keeps nothing.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}

// serve starts a server with a handler and returns it with its address. The
// server ends with the test.
func serve(t *testing.T, l Limits, h Handler) (*Server, string) {
	t.Helper()
	return serveWith(t, Options{Limits: l, Handler: h})
}

// serveWith does the same with options that contain the limits and the handler.
func serveWith(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	o.Listener, o.Codec, o.Journal = n, plainCodec{}, discardJournal{}
	s := NewServer(ctx, o)
	t.Cleanup(func() {
		cancel()
		s.close()
	})
	return s, n.Addr().String()
}

// defaultLimits are limits that no test reaches.
var defaultLimits = Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, ReadTimeout: deadline, IdleTimeout: deadline, WriteTimeout: deadline}

// dial connects to a server.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(deadline)))
	return c, bufio.NewReader(c)
}

// Guards against limits that are not enforced, and against a status that names
// the wrong reason for rejecting a request.
func TestLimits(t *testing.T) {
	handler := func(_ context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, c.Body)
	}
	for name, x := range map[string]struct {
		limits Limits
		text   string
		status int
	}{
		"header too large": {defaultLimits, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		"body too large":   {defaultLimits, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", 413},
		"no request":       {defaultLimits, "nonsense\r\n\r\n", 400},
		"slow sender":      {Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, ReadTimeout: 50 * time.Millisecond, IdleTimeout: deadline, WriteTimeout: deadline}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", 408},
		"in chunks":        {defaultLimits, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t, x.limits, handler)
			c, r := dial(t, address)
			_, err := io.WriteString(c, x.text)
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, x.status)
		})
	}
}

// Guards against an aborted stream that looks complete, and against a complete
// stream that does not end.
func TestAbortedStreamIsIncomplete(t *testing.T) {
	_, address := serve(t, defaultLimits, func(_ context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
		_ = w.BeginStream(wigeonladder.Answer{Status: 200, Headers: []wigeonladder.Header{{Name: "Signature", Value: "s"}}})
		_ = w.SendEvent([]byte("id: 1\n\n"))
		if c.ID == "whole" {
			_ = w.EndStream()
			return
		}
		w.Abort()
	})
	for id, complete := range map[string]bool{"whole": true, "aborted": false} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			c, r := dial(t, address)
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.Header.Get("Signature"), "s")
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), "id: 1\n\n")
			is.Equal(err == nil, complete)
		})
	}
}

// Guards against a call that continues after its caller has disconnected.
func TestCallerGoes(t *testing.T) {
	gone := make(chan struct{})
	_, address := serve(t, defaultLimits, func(ctx context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
		<-ctx.Done()
		close(gone)
		w.Abort()
	})
	c, _ := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.New(t).NoErr(err)
	c.Close()
	select {
	case <-gone:
	case <-time.After(deadline):
		t.Fatal("the call was not canceled after its caller had disconnected")
	}
}

// Guards against idle connections that hold all file descriptors, and against
// closing idle connections while there is room.
func TestIdleConnectionsCloseAboveMaxConns(t *testing.T) {
	limits := defaultLimits
	limits.MaxConns = 4
	s, address := serve(t, limits, func(_ context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, nil)
	})
	is := is.New(t)
	for range 4 {
		dial(t, address)
	}
	for s.listener.OpenConns() < 4 {
		time.Sleep(time.Millisecond)
	}
	for range 6 {
		dial(t, address)
	}
	for end := time.Now().Add(deadline); s.listener.OpenConns() > limits.MaxConns; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// Guards against a shutdown that waits for idle connections or cuts off a
// running call.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	release, running := make(chan struct{}), make(chan struct{})
	s, address := serve(t, defaultLimits, func(_ context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
		close(running)
		<-release
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, []byte("whole"))
	})
	dial(t, address)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context(), 0) }()
	close(release)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.NoErr(<-done)
}

// Guards against calls that are cut off without an answer because the time for
// the shutdown is over.
func TestCutCallsAreAnswered(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	s, address := serve(t, defaultLimits, func(ctx context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
		close(running)
		<-ctx.Done()
		w.Refuse(wigeonladder.Errorf(wigeonladder.CodeDraining, "", "stopping"))
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	over, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(s.Shutdown(over, 0) != nil)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
}

// Guards against a stopping server that accepts calls so late that it has to
// cut them off.
func TestShutdownRefusesLateCalls(t *testing.T) {
	is := is.New(t)
	release, running := make(chan struct{}), make(chan struct{}, 2)
	s, address := serve(t, defaultLimits, func(_ context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
		running <- struct{}{}
		<-release
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, []byte("whole"))
	})
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first, _ := dial(t, address)
	_, err := io.WriteString(first, request)
	is.NoErr(err)
	<-running
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context(), 0) }()
	for !s.refusingCalls.Load() {
		time.Sleep(time.Millisecond)
	}
	late, r := dial(t, address)
	_, err = io.WriteString(late, request)
	is.NoErr(err)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close)
	close(release)
	is.NoErr(<-done)
}
