package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// Limits of the HTTP server.
const (
	// readLimit bounds the reading of one request.
	readLimit = 30 * time.Second
	// idleLimit is how long a connection without a request is kept. It is
	// above the usual idle time of load balancers, so that they close first.
	idleLimit = 75 * time.Second
	// writeLimit bounds one write; a caller that reads nothing for so long
	// loses its connection and gives up its slot.
	writeLimit = 30 * time.Second
	// maxHeader bounds a request's header in bytes. It is the size of the read
	// buffer, which every open connection holds.
	maxHeader = 4 << 10
	// maxConnections is above what a process can open, so that fasthttp's own
	// refusal, which carries no result code, is never sent.
	maxConnections = 1 << 22
	// cutGrace is the time for the last words to requests that are cut off.
	cutGrace = time.Second
	// cutPoll is how often the end of these requests is looked for.
	cutPoll = 10 * time.Millisecond
	// defaultMaxBody bounds a request's body in bytes.
	defaultMaxBody = 4 << 20
)

// Options are the settings and the collaborators of a Server.
type Options struct {
	Listener net.Listener
	// Config returns the configuration in force.
	Config  func() wigeonladder.Config
	Runner  wigeonladder.Runner
	Tickets wigeonladder.Tickets
	// MaxBodyBytes bounds a request's body in bytes; 4 MiB by default.
	MaxBodyBytes int
	// Draining tells load balancers to send no more; requests are served.
	Draining func() bool
	// Refusing refuses new requests.
	Refusing func() bool
	// Journal may be nil.
	Journal wigeonladder.Journal
	// NewID returns a new request id; a random one by default.
	NewID func() string
	// ServerHeader is the value of the Server header; empty for none.
	ServerHeader string
}

// withDefaults returns a copy with the defaults filled in.
func (o Options) withDefaults() Options {
	never := func() bool { return false }
	if o.Draining == nil {
		o.Draining = never
	}
	if o.Refusing == nil {
		o.Refusing = never
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBody
	}
	if o.Journal == nil {
		o.Journal = silent{}
	}
	return o
}

// silent is a journal that keeps nothing.
type silent struct{}

// Note implements wigeonladder.Journal.
func (silent) Note(string, string, ...any) {}

// Server answers callers.
type Server struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelCauseFunc
	http     *fasthttp.Server
	listener *conn.Listener
	index    atomic.Pointer[index]
	open     atomic.Int64
	served   sync.WaitGroup
	// stopping refuses new requests; late is the time of the newest of them.
	stopping atomic.Bool
	late     atomic.Int64
}

// NewServer serves callers on the listener until the context ends or Shutdown
// is called. The end of the context cancels the open requests and closes the
// connections.
func NewServer(ctx context.Context, o Options) *Server {
	o = o.withDefaults()
	s := &Server{options: o, listener: conn.NewListener(o.Listener, writeLimit)}
	s.ctx, s.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		Name:                  o.ServerHeader,
		NoDefaultServerHeader: o.ServerHeader == "",
		ReadTimeout:           readLimit,
		IdleTimeout:           idleLimit,
		ReadBufferSize:        maxHeader,
		WriteBufferSize:       maxHeader,
		// Releases the read buffer while a handler runs, and sends each response
		// before the next request is read, which conn.SkipResponse needs.
		ReduceMemoryUsage:            true,
		MaxRequestBodySize:           o.MaxBodyBytes,
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		Logger:                       httpLog{o.Journal},
		ConnState:                    ended,
	}
	s.served.Go(func() {
		if err := s.http.Serve(s.listener); err != nil && s.ctx.Err() == nil {
			o.Journal.Note("", "caller.stopped", "error", err)
		}
	})
	context.AfterFunc(ctx, s.cut)
	return s
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

// httpLog takes the log lines of fasthttp.
type httpLog struct{ journal wigeonladder.Journal }

// Printf implements fasthttp.Logger. The lines repeat what handleError has
// answered and may quote a request, so only the event is kept.
func (l httpLog) Printf(string, ...any) {
	l.journal.Note("", "caller.connection-error")
}

// handle answers one request. While the daemon drains, every answer whose header
// is not yet sent ends its connection, so that no caller keeps it.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	w, ok := c.Conn().(*conn.Conn)
	if !ok {
		s.answer(c)
		return
	}
	w.KeepResponse()
	if !w.BeginRequest() {
		w.SkipResponse()
		c.SetConnectionClose()
		return
	}
	s.answer(c)
	if s.leaving() && !w.ResponseSkipped() {
		c.SetConnectionClose()
	}
	if c.Response.ConnectionClose() {
		w.Linger()
	}
}

// answer answers one request.
func (s *Server) answer(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if path == "/ready" {
		s.ready(c)
		return
	}
	id := s.options.NewID()
	c.Response.Header.Set(headerRequest, id)
	if s.refusing() {
		s.late.Store(time.Now().UnixNano())
		writeError(c, ofTicket(c, drainingError().WithRetryAfter(1)))
		return
	}
	r, err := s.parse(c, id, path)
	if err != nil {
		err = ofTicket(c, err)
		s.note(r, id, err)
		writeError(c, err)
		return
	}
	if path == ticketsPath {
		s.issue(c, r)
		return
	}
	s.run(c, r)
}

// ofTicket replaces the error of a request that carries a ticket and was refused
// before the ticket was looked at. Such a request may be a second sending, so
// "not run" would be true of the sending but not of the call.
func ofTicket(c *fasthttp.RequestCtx, err error) error {
	e := asError(err)
	if len(c.Request.Header.Peek(headerTicket)) == 0 {
		return err
	}
	switch e.Code {
	case wigeonladder.CodeDraining:
		return wigeonladder.Errorf(wigeonladder.CodeTicketAway, headerTicket, "the daemon is stopping").WithRetryAfter(e.RetryAfter)
	case wigeonladder.CodeNoWorkspace:
		return wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, headerTicket, "the workspace was removed; the call may have run before")
	}
	return err
}

// ready tells a load balancer whether to send requests.
func (s *Server) ready(c *fasthttp.RequestCtx) {
	c.SetContentType("text/plain; charset=utf-8")
	if s.leaving() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("draining\n")
		return
	}
	c.SetBodyString("ready\n")
}

// note records the end of a request.
func (s *Server) note(r wigeonladder.Request, id string, err error) {
	code := wigeonladder.CodeOK
	if err != nil {
		code = asError(err).Code
	}
	s.options.Journal.Note(id, "caller.ended",
		"workspace", r.Workspace, "service", r.Service, "code", int(code))
}
