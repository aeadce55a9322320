package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/memory"
)

// connection serves the requests on one connection, one after the other.
type connection struct {
	server  *Server
	conn    *conn.Conn
	account *memory.Account
	// reader is nil while no byte of a request has arrived, so that an idle
	// connection holds no buffer.
	reader *bufio.Reader
	// first is the first byte of a request, until it was read from the connection.
	first    [1]byte
	hasFirst bool
	// waited is the time for which the request waited to be read.
	waited time.Duration
}

// exchange is one request with its response.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	account  *memory.Account
	// refused is true if the call was refused by its head.
	refused bool
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(n *conn.Conn) {
	address := ""
	if a, ok := n.RemoteAddr().(*net.TCPAddr); ok {
		address = a.IP.String()
	}
	c := &connection{server: s, conn: n, account: s.budget.Open(address, n.Interrupt)}
	n.OnProgress(c.account.Progress)
	defer func() { _ = n.Close() }()
	defer c.account.EndRequest()
	defer c.releaseReader()
	timeout := s.o.Limits.headerTimeout()
	for c.awaitRequest(timeout) && c.enterIntake() && c.serveRequest() {
		timeout = s.o.Limits.IdleTimeout
	}
}

// enterIntake waits until the request may be read. It reports false after it has refused
// the request.
func (c *connection) enterIntake() bool {
	wait, ok := c.server.intake.Enter()
	c.waited = wait
	if ok {
		return true
	}
	c.server.unreadRefused.Add(1)
	c.conn.KeepResponse()
	c.conn.Linger()
	_, _ = c.conn.Write(c.server.overloadResponse)
	return false
}

// awaitRequest waits for the first byte of a request. It reports false if the
// connection ends before.
func (c *connection) awaitRequest(timeout time.Duration) bool {
	if c.reader != nil && c.reader.Buffered() > 0 {
		return true
	}
	if timeout > 0 && c.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	n, err := c.conn.Read(c.first[:])
	if n != 1 || err != nil {
		return false
	}
	c.hasFirst = true
	return true
}

// Read implements io.Reader for the connection's buffer.
func (c *connection) Read(b []byte) (int, error) {
	if c.hasFirst && len(b) > 0 {
		c.hasFirst = false
		b[0] = c.first[0]
		return 1, nil
	}
	return c.conn.Read(b)
}

// acquireReader gives the connection a buffer.
func (c *connection) acquireReader() error {
	if c.reader != nil {
		return nil
	}
	if err := c.account.Grow(memory.Head, c.server.o.Limits.MaxHeaderBytes); err != nil {
		return err
	}
	c.reader, _ = c.server.readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	return nil
}

// releaseReader gives the buffer back.
func (c *connection) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	c.server.readers.Put(c.reader)
	c.reader = nil
	c.account.Shrink(memory.Head, c.server.o.Limits.MaxHeaderBytes)
}

// serveRequest reads and answers one request. It reports whether the connection may
// be used for another one.
func (c *connection) serveRequest() bool {
	x := &exchange{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(), account: c.account}
	defer fasthttp.ReleaseRequest(x.request)
	defer fasthttp.ReleaseResponse(x.response)
	x.response.Header.SetNoDefaultContentType(true)
	c.conn.KeepResponse()
	call, err := c.readCall(x)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return false
	case err != nil:
		c.refuseUnread(x, call, err)
	default:
		if c.reader.Buffered() == 0 {
			c.releaseReader()
		}
		if !c.conn.BeginRequest() {
			return false
		}
		c.server.answerCall(x, c.conn, call)
	}
	return c.writeResponse(x)
}

// readCall reads the head and the body of a request. The error is io.EOF if the
// connection ended before a request. With any other error the call is nil if the head
// could not be read; the body may be unread.
func (c *connection) readCall(x *exchange) (*wigeonladder.Call, error) {
	limits := c.server.o.Limits
	if err := c.acquireReader(); err != nil {
		return nil, err
	}
	start := time.Now()
	if t := limits.headerTimeout(); t > 0 {
		if err := c.conn.SetReadDeadline(start.Add(t)); err != nil {
			return nil, err
		}
	}
	if err := x.request.Header.Read(c.reader); err != nil {
		return nil, err
	}
	if !c.conn.EndHead() {
		return nil, os.ErrDeadlineExceeded
	}
	if err := checkTarget(&x.request.Header); err != nil {
		return nil, err
	}
	call := &wigeonladder.Call{
		Method: string(x.request.Header.Method()),
		Host:   string(x.request.Header.Host()),
		Path:   string(x.request.Header.RequestURI()),
	}
	if err := checkFraming(x.request.Header.RawHeaders()); err != nil {
		x.response.SetConnectionClose()
		return call, err
	}
	body := newBodyReader(c, x, start)
	if err := c.server.o.Codec.ReadCall(&x.request.Header, call); err != nil {
		return call, body.skip(err)
	}
	if err := c.judge(call, body); err != nil {
		x.refused = true
		return call, body.skip(err)
	}
	var err error
	if call.Body, err = body.read(); err != nil {
		x.response.SetConnectionClose()
		return call, err
	}
	call.Received = time.Now().Add(-c.waited)
	return call, nil
}

// judge decides about a call by its head, if its body has not arrived yet.
func (c *connection) judge(call *wigeonladder.Call, body *bodyReader) error {
	judge := c.server.o.Judge
	if judge == nil || body.hasArrived() {
		return nil
	}
	workspace, err := judge(call, body.length)
	if err != nil {
		return err
	}
	c.account.SetWorkspace(workspace)
	return nil
}

// checkTarget returns an error for a request whose host or path cannot be parsed.
func checkTarget(h *fasthttp.RequestHeader) error {
	if bytes.IndexByte(h.Host(), '@') >= 0 {
		return fasthttp.ErrorInvalidURI
	}
	u := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(u)
	return u.Parse(h.Host(), h.RequestURI())
}

// writeResponse writes the response, unless the handler has written it, and ends the
// request. It reports whether the connection may be used for another request.
func (c *connection) writeResponse(x *exchange) bool {
	defer c.account.EndRequest()
	if c.server.drainingConns.Load() && !c.conn.ResponseSkipped() {
		x.response.SetConnectionClose()
	}
	if x.response.ConnectionClose() {
		c.conn.Linger()
	}
	last := x.request.Header.ConnectionClose() || x.response.ConnectionClose()
	if !c.conn.ResponseSkipped() {
		if last {
			x.response.SetConnectionClose()
		} else if !x.request.Header.IsHTTP11() {
			x.response.Header.Set("Connection", "keep-alive")
		}
		x.response.SkipBody = x.request.Header.IsHead()
		if err := c.write(x.response); err != nil {
			if isTimeout(err) && !c.account.Evicted() {
				c.server.slowCalls.Add(1)
			}
			return false
		}
	}
	if last || c.account.Evicted() {
		return false
	}
	c.conn.EndRequest()
	return true
}

// write writes a response.
func (c *connection) write(r *fasthttp.Response) error {
	w, _ := c.server.writers.Get().(*bufio.Writer)
	defer c.server.writers.Put(w)
	w.Reset(c.conn)
	defer w.Reset(nil)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
