package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// Limits bounds the size of calls, the time that callers may take, and the
// number of their connections.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a call.
	MaxHeaderBytes, MaxBodyBytes int
	// ReadTimeout bounds the reading of one call, IdleTimeout the time between
	// two calls on a connection, WriteTimeout a single write of an answer.
	ReadTimeout, IdleTimeout, WriteTimeout time.Duration
	// MaxConns is the number of connections above which idle ones are closed,
	// and half of the number above which new ones are closed at once; 0 for no
	// bound.
	MaxConns int
	// MaxUnreadConns is the number of new connections from which no request has
	// been read yet above which the requests on further ones are refused without
	// being parsed; 0 for no bound. Callers leave a request that is not read for
	// some time. Without a bound, a daemon that reads too slowly would read only
	// requests that have been left.
	MaxUnreadConns int
}

// maxConnsFactor is the ratio of the number of connections above which new ones
// are closed to the number above which idle ones are.
const maxConnsFactor = 2

// maxConcurrency is more than the number of connections that a process can
// open, so that fasthttp never sends its own refusal, which does not tell the
// caller that the call did not run.
const maxConcurrency = 1 << 22

// Codec translates between the HTTP headers that callers use and the types of
// calls and answers.
type Codec interface {
	// ReadCall fills a call from the headers of its request. Method, host, path
	// and body are already set.
	ReadCall(h *fasthttp.RequestHeader, c *wigeonladder.Call) *wigeonladder.Error
	// WriteAnswerHeaders writes the headers of a backend server's answer.
	WriteAnswerHeaders(h *fasthttp.ResponseHeader, a wigeonladder.Answer)
	// WriteRefusal writes the fleet's own answer for an error. The call is nil if
	// the request could not be read.
	WriteRefusal(r *fasthttp.Response, c *wigeonladder.Call, e *wigeonladder.Error)
}

// Handler runs one call. It must answer the call before it returns.
type Handler func(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply)

// Options are the settings and the dependencies of a Server.
type Options struct {
	Listener net.Listener
	Limits   Limits
	Codec    Codec
	Handler  Handler
	Journal  wigeonladder.Journal
}

// Server reads the calls of callers, runs each by a Handler and writes its
// answer.
type Server struct {
	o         Options
	ctx       context.Context
	cancel    context.CancelFunc
	http      *fasthttp.Server
	listener  *conn.Listener
	openCalls atomic.Int64
	// drainingConns is set when a shutdown begins: each connection is closed
	// after its answer. refusingCalls is set after the lead time of the shutdown:
	// new calls are refused as well.
	drainingConns atomic.Bool
	refusingCalls atomic.Bool
	background    sync.WaitGroup
}

// NewServer starts a server. It serves callers until Shutdown is called; the
// end of the context cancels its calls but does not close the listener.
func NewServer(ctx context.Context, o Options) *Server {
	s := &Server{o: o, listener: conn.NewListener(o.Listener, conn.Limits{
		WriteTimeout: o.Limits.WriteTimeout, MaxOpen: o.Limits.MaxConns * maxConnsFactor,
		MaxUnread: o.Limits.MaxUnreadConns, RefusalResponse: func() []byte { return overloadResponse(o.Codec) },
	})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		NoDefaultServerHeader: true,
		ReadTimeout:           o.Limits.ReadTimeout,
		IdleTimeout:           o.Limits.IdleTimeout,
		ReadBufferSize:        o.Limits.MaxHeaderBytes,
		// Releases the read buffer while a handler runs, and sends each response
		// before the next request is read, which conn.SkipResponse needs.
		ReduceMemoryUsage:            true,
		MaxRequestBodySize:           o.Limits.MaxBodyBytes,
		Concurrency:                  maxConcurrency,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		Logger:                       serverLog{o.Journal},
		ConnState:                    markIdle,
	}
	if o.Limits.MaxConns > 0 {
		s.background.Go(s.closeExcessConns)
	}
	s.background.Go(func() {
		if err := s.http.Serve(s.listener); err != nil && s.ctx.Err() == nil {
			o.Journal.Note("", "front_stopped", "error", err)
		}
	})
	return s
}

// overloadRetryDelay is the retry delay stated to callers whose request is
// refused without being parsed.
const overloadRetryDelay = time.Second

// overloadResponse returns the response to a request that is refused without
// being parsed.
func overloadResponse(codec Codec) []byte {
	var r fasthttp.Response
	codec.WriteRefusal(&r, nil, wigeonladder.Errorf(wigeonladder.CodeOverload, "", "too many requests wait to be read").WithRetryDelay(overloadRetryDelay))
	r.SetConnectionClose()
	return []byte(r.String())
}

// serverLog receives the log lines of fasthttp.
type serverLog struct{ journal wigeonladder.Journal }

// Printf implements fasthttp.Logger. It records only that an error occurred,
// because the lines may quote a request. The request itself is answered by
// handleError.
func (l serverLog) Printf(string, ...any) { l.journal.Note("", "front_connection_error") }

// markIdle marks a connection as idle once its response was sent.
func markIdle(n net.Conn, state fasthttp.ConnState) {
	if w, ok := n.(*conn.Conn); ok && state == fasthttp.StateIdle {
		w.EndRequest()
	}
}

// OpenCalls returns the number of calls that have not ended.
func (s *Server) OpenCalls() int { return int(s.openCalls.Load()) }

// OpenConns returns the number of open connections of callers.
func (s *Server) OpenConns() int { return s.listener.OpenConns() }

// ShedConns returns the number of connections that were not accepted because of
// a limit, since the start.
func (s *Server) ShedConns() int { return s.listener.ShedConns() }

// handle answers one request. Once a shutdown has begun, every answer whose
// header is not yet sent closes its connection, so that no caller keeps it.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	w, ok := c.Conn().(*conn.Conn)
	if !ok {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	w.KeepResponse()
	if !w.BeginRequest() {
		w.SkipResponse()
		c.SetConnectionClose()
		return
	}
	s.handleCall(c, w)
	if s.drainingConns.Load() && !w.ResponseSkipped() {
		c.SetConnectionClose()
	}
	if c.Response.ConnectionClose() {
		w.Linger()
	}
}

// handleCall reads a call and runs or refuses it.
func (s *Server) handleCall(c *fasthttp.RequestCtx, w *conn.Conn) {
	call := &wigeonladder.Call{
		Method:   string(c.Method()),
		Host:     string(c.Request.Header.Host()),
		Path:     string(c.Request.Header.RequestURI()),
		Body:     c.Request.SwapBody(nil),
		Received: time.Now(),
	}
	err := checkFraming(c.Request.Header.RawHeaders())
	if err == nil {
		err = s.o.Codec.ReadCall(&c.Request.Header, call)
	} else {
		c.SetConnectionClose()
	}
	if err != nil {
		s.o.Journal.Note(call.ID, "call_unreadable", "code", err.Code, "detail", err.Detail)
		s.o.Codec.WriteRefusal(&c.Response, call, err)
		return
	}
	if s.refusingCalls.Load() {
		s.o.Journal.Note(call.ID, "call_refused", "code", wigeonladder.CodeDraining)
		s.o.Codec.WriteRefusal(&c.Response, call, wigeonladder.Errorf(wigeonladder.CodeDraining, "", "the daemon is stopping").WithRetryDelay(drainingRetryDelay))
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	stop := w.Watch(cancel)
	s.openCalls.Add(1)
	defer func() {
		stop()
		cancel()
		s.openCalls.Add(-1)
	}()
	s.o.Handler(ctx, call, &reply{server: s, ctx: c, conn: w, call: call})
}

// handleError answers a request that fasthttp could not read.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	code := wigeonladder.CodeMalformed
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case asHeaderTooLarge(err, &headerTooLarge):
		code = wigeonladder.CodeHeaderTooLarge
	case isBodyTooLarge(err):
		code = wigeonladder.CodeTooLarge
	case isTimeout(err):
		code = wigeonladder.CodeSlowCaller
	}
	s.o.Journal.Note("", "call_unreadable", "code", code, "detail", err)
	s.o.Codec.WriteRefusal(&c.Response, nil, wigeonladder.Errorf(code, "", "the request cannot be read"))
	c.SetConnectionClose()
	if w, ok := c.Conn().(*conn.Conn); ok {
		w.Linger()
	}
}
