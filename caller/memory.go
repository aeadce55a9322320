package caller

import (
	"errors"
	"net"
	"os"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/memory"
)

// prefetchedBodyBytes is the length up to which fasthttp has read a body before the
// handler runs.
const prefetchedBodyBytes = 4 << 10

// openAccount returns the account of what the current request on a connection holds.
// It is released when the response has been written or the connection has ended.
func (s *Server) openAccount(c *conn.Conn) *memory.Account {
	address := ""
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = a.IP.String()
	}
	a := s.budget.Open(address, c.Interrupt)
	c.OnProgress(a.Progress)
	s.accounts.Store(c, a)
	return a
}

// account returns the account of the current request on a connection.
func (s *Server) account(c *fasthttp.RequestCtx) *memory.Account {
	if a, ok := s.accounts.Load(c.Conn()); ok {
		if account, ok := a.(*memory.Account); ok {
			return account
		}
	}
	return s.budget.Open("", func() {}) // a request without a connection of this server
}

// trackState marks a connection as idle after its response has been sent, and releases
// what the request held.
func (s *Server) trackState(n net.Conn, state fasthttp.ConnState) {
	connection, ok := n.(*conn.Conn)
	if !ok || state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	if a, ok := s.accounts.LoadAndDelete(connection); ok {
		if account, ok := a.(*memory.Account); ok {
			account.EndRequest()
		}
	}
	if state == fasthttp.StateIdle {
		connection.EndRequest()
	}
}

// readBody reads the body of a request. The caller must have been admitted, so that
// nobody else can make the daemon hold a body.
func (s *Server) readBody(c *fasthttp.RequestCtx) ([]byte, error) {
	stream := c.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	account := s.account(c)
	body, err := account.ReadBody(stream, memory.BodyLimits{
		Length: max(c.Request.Header.ContentLength(), -1), MaxBytes: s.options.MaxBodyBytes,
		BeforeRead: func(arrived int) error {
			if arrived > 0 {
				account.Progress()
			}
			return nil
		},
	})
	if err == nil {
		return body, nil
	}
	c.SetConnectionClose()
	evicted := account.Evicted()
	if connection, ok := c.Conn().(*conn.Conn); ok && evicted {
		connection.Resume()
	}
	account.EndRequest()
	switch {
	case evicted, errors.Is(err, memory.ErrShort), errors.Is(err, memory.ErrEvicted):
		return nil, noMemoryError()
	case errors.Is(err, memory.ErrTooLarge):
		return nil, wigeonladder.Errorf(wigeonladder.CodeTooLarge, "body", "more than %d bytes", s.options.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, wigeonladder.Errorf(wigeonladder.CodeSlowCaller, "body", "the body did not arrive in time")
	}
	return nil, wigeonladder.Errorf(wigeonladder.CodeMalformed, "", "the request cannot be read")
}

// noMemoryError returns the error of a request for which there is no memory.
func noMemoryError() *wigeonladder.Error {
	return wigeonladder.Errorf(wigeonladder.CodeOverload, "", "no memory for the request").WithRetryAfter(1)
}

// refuseOversize marks a request whose body is announced as too large, so that it is
// refused by its head, and makes fasthttp pass it to the handler without a body.
func (s *Server) refuseOversize(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.options.MaxBodyBytes {
		s.oversize.Store(h, nil)
		h.SetContentLength(0)
	} else {
		// fasthttp reuses headers, also of a request that did not reach the handler.
		s.oversize.Delete(h)
	}
	return fasthttp.RequestConfig{}
}

// isOversize reports whether refuseOversize has marked a request.
func (s *Server) isOversize(c *fasthttp.RequestCtx) bool {
	_, ok := s.oversize.LoadAndDelete(&c.Request.Header)
	return ok
}

// closeIfUnread closes the connection after the response if a body that has not
// arrived completely may be unread.
func closeIfUnread(c *fasthttp.RequestCtx) {
	if n := c.Request.Header.ContentLength(); c.Request.IsBodyStream() && (n < 0 || n > prefetchedBodyBytes) {
		c.SetConnectionClose()
	}
}
