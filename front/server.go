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

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	// ReadTimeout bounds the reading of one call, IdleTimeout the time between two calls,
	// WriteTimeout one write of an answer.
	ReadTimeout, IdleTimeout, WriteTimeout time.Duration
	// MaxConns is the number of connections from which idle ones are closed; 0 for
	// no bound.
	MaxConns int
}

// maxConnections is above what a process can open, so that fasthttp's own
// refusal, which promises nothing, is never sent.
const maxConnections = 1 << 22

// Codec translates calls and answers to what callers speak.
type Codec interface {
	// ReadCall reads the headers of a request; method, host, path and body are
	// set.
	ReadCall(h *fasthttp.RequestHeader, c *wigeonladder.Call) *wigeonladder.Error
	// WriteAnswerHeaders writes the headers of a backend server's answer.
	WriteAnswerHeaders(h *fasthttp.ResponseHeader, a wigeonladder.Answer)
	// WriteRefusal writes the fleet's own answer. The call is nil if it was not read.
	WriteRefusal(r *fasthttp.Response, c *wigeonladder.Call, e *wigeonladder.Error)
}

// Handler runs one call. It must answer it before it returns.
type Handler func(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply)

// Options are the settings and the collaborators of a Server.
type Options struct {
	Listener net.Listener
	Limits   Limits
	Codec    Codec
	Handler  Handler
	Journal  wigeonladder.Journal
}

// Server answers callers.
type Server struct {
	o        Options
	ctx      context.Context
	cancel   context.CancelFunc
	http     *fasthttp.Server
	listener *conn.Listener
	open     atomic.Int64
	// leaving ends each connection after its answer, refusing also refuses new
	// calls.
	leaving  atomic.Bool
	refusing atomic.Bool
	served   sync.WaitGroup
}

// NewServer serves callers until the context ends or Shutdown is called.
func NewServer(ctx context.Context, o Options) *Server {
	s := &Server{o: o, listener: conn.NewListener(o.Listener, o.Limits.WriteTimeout)}
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
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		Logger:                       serverLog{o.Journal},
		ConnState:                    ended,
	}
	if o.Limits.MaxConns > 0 {
		s.served.Go(s.relieve)
	}
	s.served.Go(func() {
		if err := s.http.Serve(s.listener); err != nil && s.ctx.Err() == nil {
			o.Journal.Note("", "front_stopped", "error", err)
		}
	})
	return s
}

// serverLog takes the log lines of fasthttp.
type serverLog struct{ journal wigeonladder.Journal }

// Printf implements fasthttp.Logger. The lines may quote a request, so that only
// the event is kept; handleError has answered it.
func (l serverLog) Printf(string, ...any) { l.journal.Note("", "front_connection_error") }

// ended marks a connection whose response was sent as idle.
func ended(n net.Conn, state fasthttp.ConnState) {
	if w, ok := n.(*conn.Conn); ok && state == fasthttp.StateIdle {
		w.EndRequest()
	}
}

// OpenCalls returns the number of calls that have not ended.
func (s *Server) OpenCalls() int { return int(s.open.Load()) }

// handle answers one call. While the daemon leaves, every answer whose header is
// not yet sent ends its connection, so that no caller keeps it.
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
	s.answer(c, w)
	if s.leaving.Load() && !w.ResponseSkipped() {
		c.SetConnectionClose()
	}
	if c.Response.ConnectionClose() {
		w.Linger()
	}
}

// answer reads a call and runs it.
func (s *Server) answer(c *fasthttp.RequestCtx, w *conn.Conn) {
	call := &wigeonladder.Call{
		Method:   string(c.Method()),
		Host:     string(c.Request.Header.Host()),
		Path:     string(c.Request.Header.RequestURI()),
		Body:     c.Request.SwapBody(nil),
		Received: time.Now(),
	}
	err := ambiguous(c.Request.Header.RawHeaders())
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
	if s.refusing.Load() {
		s.o.Journal.Note(call.ID, "call_refused", "code", wigeonladder.CodeDraining)
		s.o.Codec.WriteRefusal(&c.Response, call, wigeonladder.Errorf(wigeonladder.CodeDraining, "", "the daemon is stopping").WithRetryDelay(refusedWait))
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	stop := w.Watch(cancel)
	s.open.Add(1)
	defer func() {
		stop()
		cancel()
		s.open.Add(-1)
	}()
	s.o.Handler(ctx, call, &reply{server: s, ctx: c, conn: w, call: call})
}

// handleError answers a request that cannot be read.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	code := wigeonladder.CodeMalformed
	var small *fasthttp.ErrSmallBuffer
	switch {
	case asSmall(err, &small):
		code = wigeonladder.CodeHeaderTooLarge
	case isTooLarge(err):
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
