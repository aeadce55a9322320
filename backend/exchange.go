package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// bodyEndTimeout bounds the wait for the end of a body whose content has
// arrived completely. Only the reuse of the connection depends on it.
const bodyEndTimeout = 20 * time.Millisecond

// RunEndTimeout is the time after which a server that drops a call when its
// connection closes is taken to have done so, and the time for which a server is
// given to close a connection itself after bytes that are not an answer.
const RunEndTimeout = 400 * time.Millisecond

// maxHeadBytes bounds what is read until the header of a response ends,
// including informational responses before it.
const maxHeadBytes = 64 << 10

// bodyBytes returns the number of bytes that may be read for a body with the
// given size limit. It leaves room for the framing of the body in chunks and
// for what the reader has read ahead.
func bodyBytes(maxBytes int) int64 { return 2*int64(maxBytes) + readBufferBytes }

// errNoLength is the error of a body that ends with the connection, so that its
// end cannot be told from a broken connection.
var errNoLength = errors.New("the answer has no length")

// errTooLong is the error of a body that exceeds its size limit.
var errTooLong = errors.New("the answer exceeds the size limit")

// errUnusable is the error of a connection that has ended, or on which bytes arrived,
// before a request was written to it.
var errUnusable = errors.New("the connection ended, or bytes arrived on it, before the request was written")

// writeBuffers pools write buffers, since a request needs one only while it is
// written.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// exchange is one request and its response on a connection.
type exchange struct {
	conn   *serverConn
	header fasthttp.ResponseHeader
	// writtenBytes is the number of bytes of the request that were written.
	writtenBytes int
	body         io.Reader
	// bodyEnded is true once the body has been read to its end, including the
	// end of the chunked encoding.
	bodyEnded bool
	// lastChunkRead is true once the last chunk of a chunked body has been read.
	lastChunkRead bool
	// noBody is true if the response has no body, such as the one to HEAD.
	noBody bool
	// detachContext keeps the context from closing the connection. It returns
	// false if the context has already ended.
	detachContext func() bool
}

// newExchange starts an exchange. The end of the context closes the connection.
func newExchange(ctx context.Context, conn *serverConn) *exchange {
	x := &exchange{conn: conn}
	x.detachContext = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return x
}

// finish detaches the exchange from its context and reports whether the
// connection can be used for another request.
func (x *exchange) finish() bool {
	return x.detachContext() && x.bodyEnded && !x.header.ConnectionClose()
}

// Write implements io.Writer. It counts the bytes that were written to the
// connection.
func (x *exchange) Write(b []byte) (int, error) {
	x.conn.used = true
	n, err := x.conn.Write(b)
	x.writtenBytes += n
	return n, err
}

// write writes a request to the connection, and notes whether its answer has a body.
// It writes nothing if the connection has ended, or if bytes have arrived on it, which
// would be taken for the beginning of the answer.
func (x *exchange) write(req *fasthttp.Request) error {
	if !x.conn.usable() {
		return errUnusable
	}
	x.noBody = req.Header.IsHead()
	return x.send(req)
}

// send writes a request to the connection.
func (x *exchange) send(req *fasthttp.Request) error {
	w, _ := writeBuffers.Get().(*bufio.Writer)
	w.Reset(x)
	defer func() {
		w.Reset(nil)
		writeBuffers.Put(w)
	}()
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readHeader reads the response header, skips informational responses (1xx),
// and sets the reader of the body. The error is CodeCrossed if the bytes are not
// the head of a single answer.
func (x *exchange) readHeader() error {
	x.conn.allowRead(maxHeadBytes)
	for {
		if err := awaitHead(x.conn.reader); err != nil {
			return err
		}
		x.header.Reset()
		x.header.SetNoDefaultContentType(true)
		if err := x.header.Read(x.conn.reader); err != nil {
			return strayBytesError("%v", err)
		}
		if s := x.header.StatusCode(); s >= 200 {
			break
		}
	}
	x.bodyEnded, x.lastChunkRead = false, false
	length := x.header.ContentLength()
	switch s := x.header.StatusCode(); {
	case x.noBody || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified:
		x.body = io.LimitReader(x.conn.reader, 0)
		x.bodyEnded = true
		x.noBody = true
	case length >= 0:
		x.body = &fixedBody{x: x, remaining: length}
		x.bodyEnded = length == 0
	case length == -1:
		x.body = &chunkedBody{x: x, r: httputil.NewChunkedReader(x.conn.reader)}
	default:
		x.body = x.conn.reader
	}
	return nil
}

// settleCrossed returns the error of a head that is not, or not certainly, that of the
// answer. The run may go on. If the server ends the connection within RunEndTimeout,
// the run has ended, and the error becomes CodeBroken.
func (x *exchange) settleCrossed(err error) error {
	var e *wigeonladder.Error
	if !errors.As(err, &e) || e.Code != wigeonladder.CodeCrossed || !x.serverCloses() {
		return err
	}
	return wigeonladder.Errorf(wigeonladder.CodeBroken, "", "%s; then the connection ended", e.Detail)
}

// AwaitDrop gives a server RunEndTimeout to drop a call whose connection was closed.
// It returns false if the context ends first.
func AwaitDrop(ctx context.Context) bool {
	t := time.NewTimer(RunEndTimeout)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runEnded reports whether the run of the call is known to have ended: its answer was
// read to the end, or the server ended the connection.
func (x *exchange) runEnded() bool {
	return x.bodyEnded || x.lastChunkRead || x.conn.endedByServer
}

// serverCloses waits until the server ends the connection, at most RunEndTimeout, and
// reports whether it did.
func (x *exchange) serverCloses() bool {
	if x.conn.SetReadDeadline(time.Now().Add(RunEndTimeout)) != nil {
		return false
	}
	x.conn.allowRead(maxHeadBytes)
	_, _ = io.Copy(io.Discard, x.conn)
	return x.conn.endedByServer
}

// readBody reads the whole body. The body must have a stated length or be
// chunked.
func (x *exchange) readBody(maxBytes int) ([]byte, error) {
	length := x.header.ContentLength()
	if x.noBody {
		return nil, nil
	}
	if length < -1 {
		return nil, errNoLength
	}
	if length > maxBytes {
		return nil, errTooLong
	}
	if length >= 0 {
		x.conn.allowRead(bodyBytes(maxBytes))
		b := make([]byte, length)
		_, err := io.ReadFull(x.body, b)
		return b, err
	}
	return x.readToEnd(maxBytes)
}

// skipBody reads a body, which must state its length or be chunked, and drops it.
func (x *exchange) skipBody(maxBytes int) error {
	switch length := x.header.ContentLength(); {
	case x.noBody:
		return nil
	case length < -1:
		return errNoLength
	case length > maxBytes:
		return errTooLong
	}
	x.conn.allowRead(bodyBytes(maxBytes))
	n, err := io.Copy(io.Discard, io.LimitReader(x.body, int64(maxBytes)+1))
	if err == nil && n > int64(maxBytes) {
		return errTooLong
	}
	return err
}

// readToEnd reads a body until it ends, which may be with the connection.
func (x *exchange) readToEnd(maxBytes int) ([]byte, error) {
	x.conn.allowRead(bodyBytes(maxBytes))
	b, err := io.ReadAll(io.LimitReader(x.body, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		return nil, errTooLong
	}
	return b, err
}

// awaitBodyEnd waits briefly for the end of a body whose content has arrived
// completely, so that the connection can be reused.
func (x *exchange) awaitBodyEnd() {
	if x.bodyEnded || x.conn.SetReadDeadline(time.Now().Add(bodyEndTimeout)) != nil {
		return
	}
	var b [64]byte
	for range 2 {
		if _, err := x.body.Read(b[:]); err != nil {
			return
		}
	}
}

// fixedBody reads a body of the length that Content-Length states.
type fixedBody struct {
	x         *exchange
	remaining int
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection
// ends before the body.
func (f *fixedBody) Read(b []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	if len(b) > f.remaining {
		b = b[:f.remaining]
	}
	n, err := f.x.conn.reader.Read(b)
	f.remaining -= n
	f.x.bodyEnded = f.remaining == 0
	if errors.Is(err, io.EOF) && f.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunked encoding.
type chunkedBody struct {
	x *exchange
	r io.Reader
}

// Read implements io.Reader. At the end it also reads the empty line after the
// last chunk.
func (c *chunkedBody) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if !errors.Is(err, io.EOF) || c.x.bodyEnded {
		return n, err
	}
	c.x.lastChunkRead = true
	// If trailers follow instead, bodyEnded stays false and the connection is
	// not reused.
	var line [2]byte
	if _, e := io.ReadFull(c.x.conn.reader, line[:]); e == nil && line == [2]byte{'\r', '\n'} {
		c.x.bodyEnded = true
	}
	return n, err
}

// notSentError returns the error of a request of which no byte was written, so
// that it did not run.
func notSentError(ctx context.Context, place string, err error) error {
	if ctx.Err() == nil {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, place, "%v", err)
	}
	return contextError(ctx, place, wigeonladder.NotRun, wigeonladder.CodeCallerGone)
}

// mayHaveRunError returns the error of a request of which bytes were written,
// so that it may have run. An error that already has a code keeps it.
func mayHaveRunError(ctx context.Context, place string, err error) error {
	var e *wigeonladder.Error
	var n net.Error
	switch {
	case ctx.Err() != nil:
		return contextError(ctx, place, wigeonladder.MayHaveRun, wigeonladder.CodeCallerLost)
	case errors.As(err, &e):
		return wigeonladder.Errorf(e.Code, place, "%s", e.Detail)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return wigeonladder.Errorf(wigeonladder.CodeTimeout, place, "%v", err)
	default:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, place, "%v", err)
	}
}

// contextError returns the error of a request whose context has ended. It is
// the context's cause if the cause is a *wigeonladder.Error with the given
// outcome. Otherwise it is an error with the given code, or with CodeTimeout if
// a deadline has passed and the request may have run.
func contextError(ctx context.Context, place string, o wigeonladder.Outcome, code wigeonladder.Code) error {
	cause := context.Cause(ctx)
	var e *wigeonladder.Error
	if errors.As(cause, &e) && e.Code.Info().Outcome == o {
		return e
	}
	if o == wigeonladder.MayHaveRun && errors.Is(cause, context.DeadlineExceeded) {
		code = wigeonladder.CodeTimeout
	}
	return wigeonladder.Errorf(code, place, "%v", cause)
}
