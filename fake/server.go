package fake

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder/conn"
)

// Headers of the protocol between the fleet and backend servers.
const (
	attemptHeader = "X-Attempt-Id"
	resumeHeader  = "X-Resume-From"
	notRunHeader  = "X-Not-Run"
)

// server is the HTTP server that Engine and PlainService share. It can crash and
// restart at the same address.
type server struct {
	handler fasthttp.RequestHandler
	address string

	mu          sync.Mutex
	listener    *conn.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	crashed     chan struct{}
	crashedOnce sync.Once
}

// newServer serves the handler on the listener.
func newServer(l net.Listener, h fasthttp.RequestHandler) *server {
	s := &server{handler: h, address: l.Addr().String(), crashed: make(chan struct{})}
	s.serve(l)
	return s
}

// serve starts to serve on a listener.
func (s *server) serve(l net.Listener) {
	w := conn.NewListener(l, conn.Limits{})
	s.mu.Lock()
	s.listener = w
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mu.Unlock()
	h := &fasthttp.Server{
		Handler:               s.handler,
		NoDefaultServerHeader: true,
		StreamRequestBody:     false,
		MaxRequestBodySize:    64 << 20,
		Logger:                discardLogger{},
	}
	go func() { _ = h.Serve(w) }()
}

// Address returns the IP address and port of the stand-in.
func (s *server) Address() string { return s.address }

// Crash closes the listener and all connections, like the crash of a process, and
// ends all requests.
func (s *server) Crash() {
	s.mu.Lock()
	l, cancel := s.listener, s.cancel
	s.mu.Unlock()
	cancel()
	_ = l.Close()
	l.CloseConns()
	s.crashedOnce.Do(func() { close(s.crashed) })
}

// Crashed returns a channel that is closed at the first crash.
func (s *server) Crashed() <-chan struct{} { return s.crashed }

// Restart serves again at the same address.
func (s *server) Restart() error {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

// runContext returns the context that ends at the next crash.
func (s *server) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

// watchCaller returns a context that ends when the caller's connection closes or
// the stand-in crashes.
func (s *server) watchCaller(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.runContext())
	w, ok := c.Conn().(*conn.Conn)
	if !ok {
		return ctx, cancel
	}
	stop := w.Watch(cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// applyFaults decodes the faults in the body of a control request and passes them
// to set.
func applyFaults[T any](c *fasthttp.RequestCtx, set func(T)) {
	var f T
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(f)
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// writeJSON answers with a JSON value.
func writeJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

// refuseNotRun refuses a request and says in a header that it did not run.
func refuseNotRun(c *fasthttp.RequestCtx) {
	c.Response.Header.Set(notRunHeader, "true")
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	c.SetBodyString(`{"error":{"message":"refused before running"}}`)
}

// sleep waits for a duration, or returns an error when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// discardLogger discards the log lines of fasthttp, because the stand-ins break
// connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// ListenLoopback returns a listener on a free port of the loopback interface. It
// panics on failure, because neither a test nor the demo can go on without it.
func ListenLoopback() net.Listener {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// awaitInterval is the time between two checks of Await.
const awaitInterval = time.Millisecond

// Await polls until ok returns true. It returns false if that takes longer than
// the limit.
func Await(limit time.Duration, ok func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !ok() {
		if sleep(ctx, awaitInterval) != nil {
			return ok()
		}
	}
	return true
}
