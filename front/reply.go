package front

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// reply writes the answer to one call. It writes streams directly to the
// connection, so that a caller that reads slowly slows down only the reading of
// its own answer from the backend server.
type reply struct {
	server *Server
	ctx    *fasthttp.RequestCtx
	conn   *conn.Conn
	call   *wigeonladder.Call
	out    io.Writer
	buf    []byte
}

var _ wigeonladder.Reply = (*reply)(nil)

// CallerGone implements wigeonladder.Reply.
func (r *reply) CallerGone() bool { return r.conn.PeerGone() }

// SendWhole implements wigeonladder.Reply.
func (r *reply) SendWhole(a wigeonladder.Answer, body []byte) error {
	r.setHead(a)
	r.ctx.Response.SetBodyRaw(body)
	return nil
}

// Refuse implements wigeonladder.Reply. A refusal with status 503 or 429 closes the
// connection: the call did not run, and its caller retries it on another
// connection. Otherwise refused callers would hold all file descriptors during
// a flood of calls.
func (r *reply) Refuse(e *wigeonladder.Error) {
	switch e.Code.Info().Status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		r.ctx.SetConnectionClose()
	}
	r.server.o.Codec.WriteRefusal(&r.ctx.Response, r.call, e)
}

// setHead sets the status and the headers of an answer.
func (r *reply) setHead(a wigeonladder.Answer) {
	h := &r.ctx.Response.Header
	r.ctx.SetStatusCode(a.Status)
	h.SetNoDefaultContentType(true)
	r.server.o.Codec.WriteAnswerHeaders(h, a)
}

// BeginStream implements wigeonladder.Reply. The head is sent with the first event.
func (r *reply) BeginStream(a wigeonladder.Answer) error {
	r.setHead(a)
	h := &r.ctx.Response.Header
	if r.chunked() {
		h.SetContentLength(-1)
	}
	if !r.chunked() || r.ctx.Request.Header.ConnectionClose() || r.server.drainingConns.Load() {
		r.ctx.SetConnectionClose()
	}
	r.buf = append(r.buf[:0], h.Header()...)
	r.out = r.conn.SkipResponse()
	return nil
}

// SendEvent implements wigeonladder.Reply.
func (r *reply) SendEvent(event []byte) error {
	if len(event) == 0 {
		return nil // an empty chunk would end the stream
	}
	r.appendChunk(event)
	return r.flush()
}

// EndStream implements wigeonladder.Reply.
func (r *reply) EndStream() error {
	r.appendChunk(nil)
	err := r.flush()
	if err != nil {
		r.ctx.SetConnectionClose()
	}
	return err
}

// Abort implements wigeonladder.Reply. Without chunks, a connection that is closed in
// the usual way would end the stream as if it were complete.
func (r *reply) Abort() {
	r.conn.SkipResponse()
	r.ctx.SetConnectionClose()
	if !r.chunked() {
		r.conn.Reset()
	}
}

// chunked reports whether the caller's version of HTTP has the chunked transfer
// coding. Without it the end of the connection ends the stream.
func (r *reply) chunked() bool { return r.ctx.Request.Header.IsHTTP11() }

// appendChunk appends part to the buffer, as a chunk if the caller can read
// chunks. An empty part makes the last chunk.
func (r *reply) appendChunk(part []byte) {
	if !r.chunked() {
		r.buf = append(r.buf, part...)
		return
	}
	r.buf = strconv.AppendInt(r.buf, int64(len(part)), 16)
	r.buf = append(r.buf, "\r\n"...)
	r.buf = append(r.buf, part...)
	r.buf = append(r.buf, "\r\n"...)
}

// flush writes the buffer to the connection and empties it.
func (r *reply) flush() error {
	_, err := r.out.Write(r.buf)
	r.buf = r.buf[:0]
	return err
}
