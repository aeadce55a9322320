package front

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// reply writes the answer to one call. It writes streams to the connection
// itself, so that a caller that reads slowly slows down the reading from the
// backend server and holds up nobody else.
type reply struct {
	server *Server
	ctx    *fasthttp.RequestCtx
	conn   *conn.Conn
	call   *wigeonladder.Call
	out    io.Writer
	buf    []byte
}

var _ wigeonladder.Reply = (*reply)(nil)

// SendWhole implements wigeonladder.Reply.
func (r *reply) SendWhole(a wigeonladder.Answer, body []byte) error {
	r.head(a)
	r.ctx.Response.SetBodyRaw(body)
	return nil
}

// Refuse implements wigeonladder.Reply. A call that did not run comes again on
// another connection, so that this one ends: under a flood, refused callers would
// otherwise hold all descriptors.
func (r *reply) Refuse(e *wigeonladder.Error) {
	if e.Code.Info().Status == fasthttp.StatusServiceUnavailable {
		r.ctx.SetConnectionClose()
	}
	r.server.o.Codec.WriteRefusal(&r.ctx.Response, r.call, e)
}

// head sets status and headers.
func (r *reply) head(a wigeonladder.Answer) {
	h := &r.ctx.Response.Header
	r.ctx.SetStatusCode(a.Status)
	h.SetNoDefaultContentType(true)
	r.server.o.Codec.WriteAnswerHeaders(h, a)
}

// BeginStream implements wigeonladder.Reply. The head is sent with the first event.
func (r *reply) BeginStream(a wigeonladder.Answer) error {
	r.head(a)
	h := &r.ctx.Response.Header
	if r.chunked() {
		h.SetContentLength(-1)
	}
	if !r.chunked() || r.ctx.Request.Header.ConnectionClose() || r.server.leaving.Load() {
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
	r.chunk(event)
	return r.flush()
}

// EndStream implements wigeonladder.Reply.
func (r *reply) EndStream() error {
	r.chunk(nil)
	err := r.flush()
	if err != nil {
		r.ctx.SetConnectionClose()
	}
	return err
}

// Abort implements wigeonladder.Reply.
func (r *reply) Abort() {
	r.conn.SkipResponse()
	r.ctx.SetConnectionClose()
}

// chunked reports whether the caller's version of HTTP has chunks. Without them
// the end of the connection ends the stream.
func (r *reply) chunked() bool { return r.ctx.Request.Header.IsHTTP11() }

// chunk adds a chunk to the buffer; no bytes make the last chunk.
func (r *reply) chunk(part []byte) {
	if !r.chunked() {
		r.buf = append(r.buf, part...)
		return
	}
	r.buf = strconv.AppendInt(r.buf, int64(len(part)), 16)
	r.buf = append(r.buf, "\r\n"...)
	r.buf = append(r.buf, part...)
	r.buf = append(r.buf, "\r\n"...)
}

// flush writes the buffer.
func (r *reply) flush() error {
	_, err := r.out.Write(r.buf)
	r.buf = r.buf[:0]
	return err
}
