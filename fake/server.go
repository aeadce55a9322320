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

// Header names between the fleet and backend servers.
const (
	attemptHeader = "X-Attempt-Id"
	resumeHeader  = "X-Resume-From"
	notRunHeader  = "X-Not-Run"
)

// server is the HTTP part that the stand-ins share. It can die and come back
// at the same address.
type server struct {
	handler fasthttp.RequestHandler
	address string

	mu       sync.Mutex
	listener *conn.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	dead     chan struct{}
	deadOnce sync.Once
}

// newServer serves the handler on the listener.
func newServer(l net.Listener, h fasthttp.RequestHandler) *server {
	s := &server{handler: h, address: l.Addr().String(), dead: make(chan struct{})}
	s.serve(l)
	return s
}

// serve starts serving on a listener.
func (s *server) serve(l net.Listener) {
	w := conn.NewListener(l, 0)
	s.mu.Lock()
	s.listener = w
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mu.Unlock()
	h := &fasthttp.Server{
		Handler:               s.handler,
		NoDefaultServerHeader: true,
		StreamRequestBody:     false,
		MaxRequestBodySize:    64 << 20,
		Logger:                quiet{},
	}
	go func() { _ = h.Serve(w) }()
}

// Address returns the IP address and port of the stand-in.
func (s *server) Address() string { return s.address }

// Crash closes the listener and all connections, as a crash does.
func (s *server) Crash() {
	s.mu.Lock()
	l, cancel := s.listener, s.cancel
	s.mu.Unlock()
	cancel()
	_ = l.Close()
	l.CloseConns()
	s.deadOnce.Do(func() { close(s.dead) })
}

// Crashed is closed when the stand-in has died for the first time.
func (s *server) Crashed() <-chan struct{} { return s.dead }

// Restart serves again at the old address.
func (s *server) Restart() error {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

// life returns the context that ends when the stand-in dies.
func (s *server) life() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

// watch returns a context that ends with the caller's connection or with the
// stand-in.
func (s *server) watch(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.life())
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

// control sets the faults that the body of a control request holds.
func control[T any](c *fasthttp.RequestCtx, set func(T)) {
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

// refuse answers that the work did not run.
func refuse(c *fasthttp.RequestCtx) {
	c.Response.Header.Set(notRunHeader, "true")
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	c.SetBodyString(`{"error":{"message":"refused before running"}}`)
}

// pause waits unless the context ends.
func pause(ctx context.Context, d time.Duration) error {
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

// quiet drops the server's log lines; broken connections are intended here.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// ListenLoopback returns a listener on a free port of the loopback interface. It
// panics if there is none: nothing can be tested or shown then.
func ListenLoopback() net.Listener {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// awaitPeriod is how often Await asks.
const awaitPeriod = time.Millisecond

// Await asks until the answer is true. It returns false when the limit has
// passed before.
func Await(limit time.Duration, ok func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !ok() {
		if pause(ctx, awaitPeriod) != nil {
			return ok()
		}
	}
	return true
}
