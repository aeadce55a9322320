package caller

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// doneEvent is the end mark of a complete stream.
const doneEvent = "data: [DONE]\n\n"

// streamType is the content type of server-sent events.
const streamType = "text/event-stream"

// issue answers with a new ticket.
func (s *Server) issue(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ticket, err := s.options.Tickets.Issue(r.Workspace, r.Service, r.Method, r.Path)
	s.note(r, r.ID, err)
	if err != nil {
		writeError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString(`{"ticket":` + quoteJSON(ticket) + `}`)
}

// run runs a request and answers with its outcome.
func (s *Server) run(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	stop := watch(c.Conn(), func() { cancel(net.ErrClosed) })
	s.open.Add(1)
	defer func() {
		stop()
		cancel(context.Canceled)
		s.open.Add(-1)
	}()
	if r.Stream {
		s.stream(ctx, c, r)
		return
	}
	var w whole
	err := s.send(ctx, r, &w)
	s.note(r, r.ID, err)
	s.writeWhole(c, &w, err)
}

// writeWhole answers with a complete answer or an error.
func (s *Server) writeWhole(c *fasthttp.RequestCtx, w *whole, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	w.write(c)
}

// watch calls gone when the caller goes.
func watch(n net.Conn, gone func()) (stop func()) {
	w, ok := n.(*conn.Conn)
	if !ok {
		return func() {}
	}
	return w.Watch(gone)
}

// send runs a request to its end.
func (s *Server) send(ctx context.Context, r wigeonladder.Request, w wigeonladder.Sink) error {
	if r.AtMostOnce {
		return s.options.Tickets.Run(ctx, r, w)
	}
	_, err := s.options.Runner.Run(ctx, r, w)
	return err
}

// whole is the sink of an answer that is sent only when it is complete.
type whole struct {
	status      int
	contentType string
	body        []byte
}

// Start implements wigeonladder.Sink.
func (w *whole) Start(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	w.body = w.body[:0]
	return nil
}

// Write implements wigeonladder.Sink.
func (w *whole) Write(part []byte, _ int64) error {
	w.body = append(w.body, part...)
	return nil
}

// isStream reports whether the answer is a stream of events.
func (w *whole) isStream() bool { return strings.HasPrefix(w.contentType, streamType) }

// write sends the answer.
func (w *whole) write(c *fasthttp.RequestCtx) {
	if w.status != 0 {
		c.SetStatusCode(w.status)
	}
	if w.contentType != "" {
		c.SetContentType(w.contentType)
	}
	c.SetBody(w.body)
}

// stream runs a request whose answer is sent event by event. The header is
// sent with the first event; an error before it is answered as an error.
func (s *Server) stream(ctx context.Context, c *fasthttp.RequestCtx, r wigeonladder.Request) {
	e := &events{ctx: c, leaving: s.leaving, whole: whole{status: fasthttp.StatusOK, contentType: streamType}}
	err := s.send(ctx, r, e)
	s.note(r, r.ID, err)
	if !e.started && (err != nil || !e.whole.isStream()) {
		s.writeWhole(c, &e.whole, err)
		return
	}
	if e.end(err) != nil || err != nil || s.ctx.Err() != nil {
		c.SetConnectionClose()
	}
}

// events is the sink of a stream. It writes to the connection itself: a body
// handed to fasthttp needs a second goroutine and three more buffers for each
// open stream. Without fasthttp's buffers in between, a slow caller slows down
// the reading from the backend server.
type events struct {
	ctx     *fasthttp.RequestCtx
	started bool
	leaving func() bool
	// whole holds the status and, if the answer is no stream of events, all of
	// it.
	whole whole
	out   io.Writer
	buf   []byte
}

// Start implements wigeonladder.Sink. A start after the first event, as a
// resumed stream has it, changes nothing.
func (e *events) Start(status int, contentType string) error {
	if e.started {
		return nil
	}
	return e.whole.Start(status, contentType)
}

// Write implements wigeonladder.Sink.
func (e *events) Write(part []byte, tokens int64) error {
	if !e.whole.isStream() {
		return e.whole.Write(part, tokens)
	}
	if len(part) == 0 {
		return nil // an empty chunk would end the stream
	}
	return e.write(part, false)
}

// end sends the end mark, or the event of an error.
func (e *events) end(err error) error {
	if err != nil {
		return e.write(errorEvent(err), true)
	}
	return e.write([]byte(doneEvent), true)
}

// write sends a part, behind the header if it is the first.
func (e *events) write(part []byte, last bool) error {
	e.buf = e.buf[:0]
	if !e.started {
		e.started = true
		e.begin()
	}
	e.appendChunk(part)
	if last {
		e.appendChunk(nil)
	}
	_, err := e.out.Write(e.buf)
	return err
}

// begin takes the response out of fasthttp's hands and prepares the header.
func (e *events) begin() {
	h := &e.ctx.Response.Header
	e.ctx.SetStatusCode(e.whole.status)
	e.ctx.SetContentType(e.whole.contentType)
	h.Set(fasthttp.HeaderCacheControl, "no-cache")
	if e.chunked() {
		h.SetContentLength(-1)
	}
	if !e.chunked() || e.ctx.Request.Header.ConnectionClose() || e.leaving() {
		e.ctx.SetConnectionClose()
	}
	e.buf = append(e.buf, h.Header()...)
	e.out = e.ctx.Conn()
	if w, ok := e.out.(*conn.Conn); ok {
		e.out = w.SkipResponse()
	}
}

// chunked reports whether the caller's version of HTTP has chunks. Without
// them the end of the connection ends the stream.
func (e *events) chunked() bool { return e.ctx.Request.Header.IsHTTP11() }

// appendChunk adds a chunk to the buffer; no bytes make the last chunk.
func (e *events) appendChunk(part []byte) {
	if !e.chunked() {
		e.buf = append(e.buf, part...)
		return
	}
	e.buf = strconv.AppendInt(e.buf, int64(len(part)), 16)
	e.buf = append(e.buf, "\r\n"...)
	e.buf = append(e.buf, part...)
	e.buf = append(e.buf, "\r\n"...)
}
