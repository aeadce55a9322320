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
	"github.com/wigeonladder/wigeonladder/memory"
)

// doneEvent is the last event of a complete stream.
const doneEvent = "data: [DONE]\n\n"

// streamType is the content type of server-sent events.
const streamType = "text/event-stream"

// issueTicket answers a request for a ticket.
func (s *Server) issueTicket(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ticket, err := s.options.Tickets.Issue(r.Workspace, r.Service, r.Method, r.Path)
	s.noteEnd(r, r.ID, err)
	if err != nil {
		writeError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString(`{"ticket":` + quoteJSON(ticket) + `}`)
}

// serveRequest runs a request and sends the answer or an error.
func (s *Server) serveRequest(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	stopWatch := watchCaller(c.Conn(), func() { cancel(net.ErrClosed) })
	s.openRequests.Add(1)
	defer func() {
		stopWatch()
		cancel(context.Canceled)
		s.openRequests.Add(-1)
	}()
	if r.Stream {
		s.serveStream(ctx, c, r)
		return
	}
	w := wholeSink{account: s.account(c)}
	err := s.runRequest(ctx, r, &w)
	s.noteEnd(r, r.ID, err)
	s.writeWhole(c, &w, err)
}

// writeWhole writes a complete answer or an error.
func (s *Server) writeWhole(c *fasthttp.RequestCtx, w *wholeSink, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	w.write(c)
}

// watchCaller calls gone if the caller disconnects before stop is called.
func watchCaller(n net.Conn, callerGone func()) (stop func()) {
	connection, ok := n.(*conn.Conn)
	if !ok {
		return func() {}
	}
	return connection.Watch(callerGone)
}

// runRequest runs a request to its end, an at-most-once call with its ticket.
func (s *Server) runRequest(ctx context.Context, r wigeonladder.Request, w wigeonladder.Sink) error {
	if r.AtMostOnce {
		return s.options.Tickets.Run(ctx, r, w)
	}
	_, err := s.options.Runner.Run(ctx, r, w)
	return err
}

// wholeSink is the sink of an answer that is sent only when it is complete.
type wholeSink struct {
	status      int
	contentType string
	body        []byte
	account     *memory.Account
}

// Start implements wigeonladder.Sink. It discards an earlier incomplete answer.
func (w *wholeSink) Start(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	w.body = w.body[:0]
	return nil
}

// Write implements wigeonladder.Sink.
func (w *wholeSink) Write(part []byte, _ int64) error {
	before := cap(w.body)
	if before-len(w.body) < len(part) {
		if err := w.account.Grow(memory.Answer, 2*before+len(part)); err != nil {
			return err
		}
		grown := append(make([]byte, 0, 2*before+len(part)), w.body...)
		w.account.Shrink(memory.Answer, before)
		w.body = grown
	}
	w.body = append(w.body, part...)
	return nil
}

// isStream reports whether the answer is a stream of events.
func (w *wholeSink) isStream() bool { return strings.HasPrefix(w.contentType, streamType) }

// write writes the answer to the response.
func (w *wholeSink) write(c *fasthttp.RequestCtx) {
	if w.status != 0 {
		c.SetStatusCode(w.status)
	}
	if w.contentType != "" {
		c.SetContentType(w.contentType)
	}
	c.Response.SetBodyRaw(w.body)
}

// serveStream runs a request whose answer is sent event by event. The header is
// sent with the first event, so an error before the first event is sent as an
// ordinary error response.
func (s *Server) serveStream(ctx context.Context, c *fasthttp.RequestCtx, r wigeonladder.Request) {
	e := &eventSink{requestCtx: c, isDraining: s.isDraining, whole: wholeSink{status: fasthttp.StatusOK, contentType: streamType, account: s.account(c)}}
	err := s.runRequest(ctx, r, e)
	s.noteEnd(r, r.ID, err)
	if !e.started && (err != nil || !e.whole.isStream()) {
		s.writeWhole(c, &e.whole, err)
		return
	}
	if e.writeEnd(err) != nil || err != nil || s.ctx.Err() != nil {
		c.SetConnectionClose()
	}
}

// eventSink is the sink of a stream. It writes to the connection itself,
// because a body that is streamed through fasthttp needs a second goroutine and
// three more buffers for each open stream. Without fasthttp's buffers, a slow
// caller also slows down the reading from the backend server.
type eventSink struct {
	requestCtx *fasthttp.RequestCtx
	started    bool
	isDraining func() bool
	// whole holds the status and the content type. If the answer is not a
	// stream of events, it holds the whole answer.
	whole wholeSink
	out   io.Writer
	buf   []byte
}

// Start implements wigeonladder.Sink. After the first event it changes nothing,
// since a resumed stream starts again.
func (e *eventSink) Start(status int, contentType string) error {
	if e.started {
		return nil
	}
	return e.whole.Start(status, contentType)
}

// Write implements wigeonladder.Sink.
func (e *eventSink) Write(part []byte, tokens int64) error {
	if !e.whole.isStream() {
		return e.whole.Write(part, tokens)
	}
	if len(part) == 0 {
		return nil // an empty chunk would end the stream
	}
	return e.writePart(part, false)
}

// writeEnd sends doneEvent, or the event of an error.
func (e *eventSink) writeEnd(err error) error {
	if err != nil {
		return e.writePart(errorEvent(err), true)
	}
	return e.writePart([]byte(doneEvent), true)
}

// writePart sends a part of the stream, preceded by the header if it is the
// first. The last part also ends the chunked body.
func (e *eventSink) writePart(part []byte, last bool) error {
	e.buf = e.buf[:0]
	if !e.started {
		e.started = true
		e.prepareHeader()
	}
	e.appendChunk(part)
	if last {
		e.appendChunk(nil)
	}
	_, err := e.out.Write(e.buf)
	return err
}

// prepareHeader puts the response header into the buffer and makes the
// connection drop what fasthttp writes as the response.
func (e *eventSink) prepareHeader() {
	h := &e.requestCtx.Response.Header
	e.requestCtx.SetStatusCode(e.whole.status)
	e.requestCtx.SetContentType(e.whole.contentType)
	h.Set(fasthttp.HeaderCacheControl, "no-cache")
	if e.usesChunks() {
		h.SetContentLength(-1)
	}
	if !e.usesChunks() || e.requestCtx.Request.Header.ConnectionClose() || e.isDraining() {
		e.requestCtx.SetConnectionClose()
	}
	e.buf = append(e.buf, h.Header()...)
	e.out = e.requestCtx.Conn()
	if connection, ok := e.out.(*conn.Conn); ok {
		e.out = connection.SkipResponse()
	}
}

// usesChunks reports whether the caller's HTTP version supports chunked
// encoding. Otherwise the end of the connection ends the stream.
func (e *eventSink) usesChunks() bool { return e.requestCtx.Request.Header.IsHTTP11() }

// appendChunk appends a chunk to the buffer. An empty part makes the last
// chunk.
func (e *eventSink) appendChunk(part []byte) {
	if !e.usesChunks() {
		e.buf = append(e.buf, part...)
		return
	}
	e.buf = strconv.AppendInt(e.buf, int64(len(part)), 16)
	e.buf = append(e.buf, "\r\n"...)
	e.buf = append(e.buf, part...)
	e.buf = append(e.buf, "\r\n"...)
}
