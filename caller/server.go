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
	"github.com/wigeonladder/wigeonladder/memory"
)

// Limits of the HTTP server.
const (
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a connection without a request is kept. It is
	// longer than the usual idle timeout of load balancers, so that they close
	// the connection first.
	idleTimeout = 75 * time.Second
	// writeTimeout bounds a single write. A caller that reads nothing for this
	// time loses its connection, which frees its slot.
	writeTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a request. It is the size of the read
	// buffer, which every connection that was used holds.
	maxHeaderBytes = 4 << 10
	// maxConcurrency is more than the number of connections that a process can
	// open, so that fasthttp never sends its own refusal, which has no result
	// code.
	maxConcurrency = 1 << 22
	// cancelTimeout bounds the wait for the answers to the requests that a
	// shutdown or the end of the context cancels.
	cancelTimeout = time.Second
	// cancelPollInterval is how often the wait checks for open connections.
	cancelPollInterval = 10 * time.Millisecond
	// defaultMaxBodyBytes is the default of Options.MaxBodyBytes.
	defaultMaxBodyBytes = 4 << 20
	// defaultMemoryBytes is the default of Options.MemoryBytes.
	defaultMemoryBytes = 256 << 20
)

// Options are the settings and the dependencies of a Server.
type Options struct {
	Listener net.Listener
	// Config returns the current configuration.
	Config  func() wigeonladder.Config
	Runner  wigeonladder.Runner
	Tickets wigeonladder.Tickets
	// MaxBodyBytes bounds the body of a request; 4 MiB by default.
	MaxBodyBytes int
	// MemoryBytes bounds the bodies and answers that callers make the server hold;
	// 256 MiB by default.
	MemoryBytes int64
	// MaxConns bounds the open connections; 0 for no bound.
	MaxConns int
	// Draining reports whether load balancers are told to send no more
	// requests. Requests that arrive are still served.
	Draining func() bool
	// Refusing reports whether new requests are refused.
	Refusing func() bool
	// Journal may be nil.
	Journal wigeonladder.Journal
	// NewID returns a new request id; a random UUID by default.
	NewID func() string
	// ServerHeader is the value of the Server header; empty for none.
	ServerHeader string
}

// withDefaults returns a copy in which zero values are replaced by the
// defaults.
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
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MemoryBytes == 0 {
		o.MemoryBytes = defaultMemoryBytes
	}
	if o.Journal == nil {
		o.Journal = discardJournal{}
	}
	return o
}

// discardJournal is a journal that discards all events.
type discardJournal struct{}

// Note implements wigeonladder.Journal.
func (discardJournal) Note(string, string, ...any) {}

// Server is the HTTP server for callers.
type Server struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelCauseFunc
	http     *fasthttp.Server
	listener *conn.Listener
	budget   *memory.Budget
	// accounts maps the connections whose request is served to their accounts.
	accounts sync.Map
	// oversize is the set of headers of requests that announce a body beyond the
	// limit.
	oversize     sync.Map
	index        atomic.Pointer[index]
	openRequests atomic.Int64
	background   sync.WaitGroup
	// stopping is set when a shutdown begins, and makes the server refuse new
	// requests. lastRefusal is the time of the last refusal, or of the start of
	// the shutdown, in nanoseconds since the Unix epoch.
	stopping    atomic.Bool
	lastRefusal atomic.Int64
}

// NewServer starts a server. It serves callers on the listener until the
// context ends or Shutdown is called. The end of the context cancels the open
// requests and closes the connections.
func NewServer(ctx context.Context, o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options: o, listener: conn.NewListener(o.Listener, conn.Limits{WriteTimeout: writeTimeout, MaxOpen: o.MaxConns}),
		budget: memory.NewBudget(o.MemoryBytes),
	}
	s.ctx, s.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		Name:                  o.ServerHeader,
		NoDefaultServerHeader: o.ServerHeader == "",
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		WriteBufferSize:       maxHeaderBytes,
		// Sends each response before the next request is read, which
		// conn.SkipResponse needs.
		ReduceMemoryUsage:            true,
		StreamRequestBody:            true,
		HeaderReceived:               s.refuseOversize,
		MaxRequestBodySize:           prefetchedBodyBytes,
		Concurrency:                  maxConcurrency,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		Logger:                       serverLog{o.Journal},
		ConnState:                    s.trackState,
	}
	s.background.Go(func() {
		if err := s.http.Serve(s.listener); err != nil && s.ctx.Err() == nil {
			o.Journal.Note("", "caller.stopped", "error", err)
		}
	})
	context.AfterFunc(ctx, s.cancelRequests)
	return s
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load()) }

// serverLog is the logger of fasthttp.
type serverLog struct{ journal wigeonladder.Journal }

// Printf implements fasthttp.Logger. It drops the text, which repeats what
// handleError has answered and may quote a request, and records only the event.
func (l serverLog) Printf(string, ...any) {
	l.journal.Note("", "caller.connection-error")
}

// handle handles one HTTP request on a connection of this server. While the
// daemon drains, the connection is closed after each answer whose header has
// not yet been sent, so that no caller keeps it.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	connection, ok := c.Conn().(*conn.Conn)
	if !ok {
		s.handleRequest(c)
		return
	}
	connection.KeepResponse()
	isOversize := s.isOversize(c)
	if !connection.BeginRequest() {
		connection.SkipResponse()
		c.SetConnectionClose()
		return
	}
	if isOversize {
		s.handleError(c, fasthttp.ErrBodyTooLarge)
		return
	}
	account := s.openAccount(connection)
	s.handleRequest(c)
	account.Unpin()
	if s.isDraining() && !connection.ResponseSkipped() {
		c.SetConnectionClose()
	}
	if c.Response.ConnectionClose() {
		connection.Linger()
	}
}

// handleRequest answers one request.
func (s *Server) handleRequest(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if path == "/ready" {
		s.answerReady(c)
		return
	}
	id := s.options.NewID()
	c.Response.Header.Set(headerRequestID, id)
	if s.isRefusing() {
		s.lastRefusal.Store(time.Now().UnixNano())
		closeIfUnread(c)
		writeError(c, ticketError(c, drainingError().WithRetryAfter(1)))
		return
	}
	r, err := s.parseRequest(c, id, path)
	if err == nil && !s.account(c).Pin() {
		err = noMemoryError()
	}
	if err != nil {
		closeIfUnread(c)
		err = ticketError(c, err)
		s.noteEnd(r, id, err)
		writeError(c, err)
		return
	}
	if path == ticketsPath {
		s.issueTicket(c, r)
		return
	}
	s.serveRequest(c, r)
}

// ticketError returns the error for a request that was refused before its
// ticket, if any, was looked up. A request with a ticket may repeat one that has
// run, and in between the daemon may have begun to stop, or the workspace, its key
// or the service may have been removed. The errors of these cases mean "not run",
// which could be false for the call, so they are replaced by errors that mean "may
// have run". All other errors are returned unchanged.
func ticketError(c *fasthttp.RequestCtx, err error) error {
	e := asError(err)
	if len(c.Request.Header.Peek(headerTicket)) == 0 {
		return err
	}
	switch e.Code {
	case wigeonladder.CodeDraining:
		return wigeonladder.Errorf(wigeonladder.CodeTicketAway, headerTicket, "the daemon is stopping").WithRetryAfter(e.RetryAfter)
	case wigeonladder.CodeOverload:
		return wigeonladder.Errorf(wigeonladder.CodeTicketAway, headerTicket, "no memory for the request").WithRetryAfter(e.RetryAfter)
	case wigeonladder.CodeNoWorkspace:
		return wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, headerTicket, "the workspace was removed; the call may have run before")
	case wigeonladder.CodeBadCredential:
		return wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, headerTicket, "the key belongs to no workspace; the call may have run before")
	case wigeonladder.CodeNoService:
		return wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, headerTicket, "there is no such service; the call may have run before")
	}
	return err
}

// answerReady tells a load balancer whether to send requests.
func (s *Server) answerReady(c *fasthttp.RequestCtx) {
	c.SetContentType("text/plain; charset=utf-8")
	if s.isDraining() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("draining\n")
		return
	}
	c.SetBodyString("ready\n")
}

// noteEnd records the end of a request in the journal.
func (s *Server) noteEnd(r wigeonladder.Request, id string, err error) {
	code := wigeonladder.CodeOK
	if err != nil {
		code = asError(err).Code
	}
	s.options.Journal.Note(id, "caller.ended",
		"workspace", r.Workspace, "service", r.Service, "code", int(code))
}
