package front

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/memory"
)

// Limits bounds the size of calls, the time that callers may take, and the
// number of their connections.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a call.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the reading of the header of a call, ReadTimeout that of
	// the whole call, IdleTimeout the time between two calls on a connection,
	// WriteTimeout a single write of an answer. A HeaderTimeout of 0 means that
	// ReadTimeout holds.
	HeaderTimeout, ReadTimeout, IdleTimeout, WriteTimeout time.Duration
	// In each ProgressTime at least progressBytes of a body must arrive; 0 for no
	// bound.
	ProgressTime time.Duration
	// MemoryBytes bounds the heads, bodies and answers that callers make the server
	// hold; 0 for no bound.
	MemoryBytes int64
	// MaxConns is the number of connections above which idle ones are closed,
	// and half of the number above which the requests on new ones are refused; 0
	// for no bound.
	MaxConns int
	// MaxUnreadConns is the number of new connections from which no request has
	// been read yet above which the requests on further ones are refused without
	// being parsed; 0 for no bound. Callers leave a request that is not read for
	// some time. Without a bound, a daemon that reads too slowly would read only
	// requests that have been left.
	MaxUnreadConns int
}

// headerTimeout returns the bound of the time in which the header of a call is read.
func (l Limits) headerTimeout() time.Duration {
	if l.HeaderTimeout > 0 {
		return l.HeaderTimeout
	}
	return l.ReadTimeout
}

// MaxConnsFactor is the ratio of the number of connections above which new ones
// are closed to the number above which idle ones are.
const MaxConnsFactor = 2

// refusingDivisor is the ratio of MaxConns to the number of connections on which the
// end of a refused request is awaited.
const refusingDivisor = 3

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
	// Judge decides by its head whether a call with a body that has not arrived yet
	// is refused without reading the body, and returns the workspace of the call if
	// it is known. BodyBytes is -1 if the caller states no length. Nil reads every
	// body.
	Judge func(c *wigeonladder.Call, bodyBytes int) (workspace string, err *wigeonladder.Error)
	// Intake orders the requests that wait to be read; nil for one without a bound.
	Intake  *Intake
	Journal wigeonladder.Journal
}

// Server reads the calls of callers, runs each by a Handler and writes its
// answer.
type Server struct {
	o        Options
	ctx      context.Context
	cancel   context.CancelFunc
	listener *conn.Listener
	budget   *memory.Budget
	intake   *Intake
	// overloadResponse refuses a request that is not parsed.
	overloadResponse []byte
	readers          sync.Pool
	writers          sync.Pool
	openCalls        atomic.Int64
	// unreadRefused is the number of requests that the intake refused.
	unreadRefused atomic.Int64
	// slowCalls is the number of calls that were sent, or whose answers were read, too
	// slowly.
	slowCalls atomic.Int64
	// drainingConns is set when a shutdown begins: each connection is closed
	// after its answer. refusingCalls is set after the lead time of the shutdown:
	// new calls are refused as well.
	drainingConns atomic.Bool
	refusingCalls atomic.Bool
	background    sync.WaitGroup
}

// writeBufferBytes is the size of the buffer in which the head of an answer is
// written, together with a short body.
const writeBufferBytes = 4 << 10

// NewServer starts a server. It serves callers until Shutdown is called; the
// end of the context cancels its calls but does not close the listener.
func NewServer(ctx context.Context, o Options) *Server {
	s := &Server{o: o, overloadResponse: overloadResponse(o.Codec)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.intake = o.Intake
	if s.intake == nil {
		s.intake = NewIntake(s.ctx, 0)
	}
	s.listener = conn.NewListener(o.Listener, conn.Limits{
		WriteTimeout: o.Limits.WriteTimeout, MaxOpen: o.Limits.MaxConns * MaxConnsFactor,
		MaxUnread: o.Limits.MaxUnreadConns, MaxRefusing: o.Limits.MaxConns / refusingDivisor, RefusalResponse: func() []byte { return s.overloadResponse }, Busy: s.intake.Busy,
	})
	limit := o.Limits.MemoryBytes
	if limit <= 0 {
		limit = math.MaxInt64
	}
	s.budget = memory.NewBudget(limit)
	s.readers.New = func() any { return bufio.NewReaderSize(nil, o.Limits.MaxHeaderBytes) }
	s.writers.New = func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }
	if o.Limits.MaxConns > 0 {
		s.background.Go(s.closeExcessConns)
	}
	s.background.Go(s.acceptConns)
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

// acceptConns serves connections until the listener is closed.
func (s *Server) acceptConns() {
	for {
		n, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.o.Journal.Note("", "front_stopped", "error", err)
			}
			return
		}
		if c, ok := n.(*conn.Conn); ok {
			go s.serveConn(c)
		}
	}
}

// OpenCalls returns the number of calls that have not ended.
func (s *Server) OpenCalls() int { return int(s.openCalls.Load()) }

// OpenConns returns the number of open connections of callers.
func (s *Server) OpenConns() int { return s.listener.OpenConns() }

// ShedConns returns the number of connections that were not accepted, or whose request
// was refused without being parsed, because of a limit, since the start.
func (s *Server) ShedConns() int { return s.listener.ShedConns() + int(s.unreadRefused.Load()) }

// SlowCalls returns the number of calls that were refused because they were sent too
// slowly, or whose answers were ended because they were read too slowly, since the
// start.
func (s *Server) SlowCalls() int { return int(s.slowCalls.Load()) }

// Memory returns what callers make the server hold.
func (s *Server) Memory() memory.Stats { return s.budget.Stats() }
