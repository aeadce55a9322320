package front

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/memory"
)

// reply writes the answer to one call. It writes streams directly to the
// connection, so that a caller that reads slowly slows down only the reading of
// its own answer from the backend server.
type reply struct {
	server   *Server
	exchange *exchange
	conn     *conn.Conn
	call     *wigeonladder.Call
	out      io.Writer
	buf      []byte
}

var (
	_ wigeonladder.Reply          = (*reply)(nil)
	_ wigeonladder.AnswerReserver = (*reply)(nil)
)

// CallerGone implements wigeonladder.Reply.
func (r *reply) CallerGone() bool { return r.conn.PeerGone() }

// SendWhole implements wigeonladder.Reply.
func (r *reply) SendWhole(a wigeonladder.Answer, body []byte) error {
	r.setHead(a)
	r.exchange.response.SetBodyRaw(body)
	return nil
}

// Refuse implements wigeonladder.Reply. A refusal with status 503 or 429 closes the
// connection: the call did not run, and its caller retries it on another
// connection. Otherwise refused callers would hold all file descriptors during
// a flood of calls.
func (r *reply) Refuse(e *wigeonladder.Error) {
	switch e.Code.Info().Status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		r.exchange.response.SetConnectionClose()
	}
	r.server.o.Codec.WriteRefusal(r.exchange.response, r.call, e)
}

// setHead sets the status and the headers of an answer.
func (r *reply) setHead(a wigeonladder.Answer) {
	h := &r.exchange.response.Header
	r.exchange.response.SetStatusCode(a.Status)
	h.SetNoDefaultContentType(true)
	r.server.o.Codec.WriteAnswerHeaders(h, a)
}

// BeginStream implements wigeonladder.Reply. The head is sent with the first event.
func (r *reply) BeginStream(a wigeonladder.Answer) error {
	r.setHead(a)
	h := &r.exchange.response.Header
	if r.chunked() {
		h.SetContentLength(-1)
	}
	if !r.chunked() || r.exchange.request.Header.ConnectionClose() || r.server.drainingConns.Load() {
		r.exchange.response.SetConnectionClose()
	}
	r.buf = append(r.buf[:0], h.Header()...)
	r.out = r.conn.SkipResponse()
	return nil
}

// ReserveAnswer implements wigeonladder.AnswerReserver.
func (r *reply) ReserveAnswer(n int) error {
	if n < 0 {
		r.exchange.account.Shrink(memory.Answer, -n)
		return nil
	}
	return r.exchange.account.Grow(memory.Answer, n)
}

// longEventBytes is the length from which an event counts as held while it is
// written.
const longEventBytes = 16 << 10

// SendEvent implements wigeonladder.Reply.
func (r *reply) SendEvent(event []byte) error {
	if len(event) == 0 {
		return nil // an empty chunk would end the stream
	}
	if len(event) >= longEventBytes {
		return r.sendLongEvent(event)
	}
	r.appendChunk(event)
	return r.flush()
}

// sendLongEvent sends an event that counts as held until it is written, in addition to the
// buffer of its reader. Meanwhile the caller may give way to others.
func (r *reply) sendLongEvent(event []byte) error {
	account := r.exchange.account
	if err := account.Grow(memory.Answer, len(event)); err != nil {
		return err
	}
	defer account.Shrink(memory.Answer, len(event))
	account.Unpin()
	r.appendChunk(event)
	if err := r.flush(); err != nil {
		return err
	}
	r.buf = nil
	if !account.Pin() {
		return memory.ErrEvicted
	}
	return nil
}

// EndStream implements wigeonladder.Reply.
func (r *reply) EndStream() error {
	r.appendChunk(nil)
	err := r.flush()
	if err != nil {
		r.exchange.response.SetConnectionClose()
	}
	return err
}

// Abort implements wigeonladder.Reply. Without chunks, a connection that is closed in
// the usual way would end the stream as if it were complete.
func (r *reply) Abort() {
	r.conn.SkipResponse()
	r.exchange.response.SetConnectionClose()
	if !r.chunked() {
		r.conn.Reset()
	}
}

// chunked reports whether the caller's version of HTTP has the chunked transfer
// coding. Without it the end of the connection ends the stream.
func (r *reply) chunked() bool { return r.exchange.request.Header.IsHTTP11() }

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
	if isTimeout(err) && !r.exchange.account.Evicted() {
		r.server.slowCalls.Add(1)
	}
	return err
}
