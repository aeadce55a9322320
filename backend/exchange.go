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

// endWait bounds the wait for the end of a body whose content is complete. It
// decides only whether the connection can be reused.
const endWait = 20 * time.Millisecond

// errNoLength says that the end of a body cannot be told from a break.
var errNoLength = errors.New("the answer has no length")

// errTooLong says that a body exceeds its bound.
var errTooLong = errors.New("the answer exceeds the size limit")

// writers holds write buffers; a request needs one only while it is written.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// exchange is one request and its response on a connection.
type exchange struct {
	link    *link
	header  fasthttp.ResponseHeader
	written int
	body    io.Reader
	ended   bool
	noBody  bool
	stop    func() bool
}

// newExchange starts an exchange that is broken off when the context ends.
func newExchange(ctx context.Context, l *link) *exchange {
	x := &exchange{link: l}
	x.stop = context.AfterFunc(ctx, func() { _ = l.Close() })
	return x
}

// end detaches the exchange from its context. It reports whether the
// connection is in a state for the next request.
func (x *exchange) end() bool {
	return x.stop() && x.ended && !x.header.ConnectionClose()
}

// Write counts what reaches the connection.
func (x *exchange) Write(b []byte) (int, error) {
	n, err := x.link.Write(b)
	x.written += n
	return n, err
}

// write sends a request.
func (x *exchange) write(req *fasthttp.Request) error {
	x.noBody = req.Header.IsHead()
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(x)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readHeader reads the response header and prepares the body.
func (x *exchange) readHeader() error {
	for {
		x.header.Reset()
		x.header.SetNoDefaultContentType(true)
		if err := x.header.Read(x.link.reader); err != nil {
			return err
		}
		if s := x.header.StatusCode(); s >= 200 {
			break
		}
	}
	length := x.header.ContentLength()
	switch s := x.header.StatusCode(); {
	case x.noBody || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified:
		x.body = io.LimitReader(x.link.reader, 0)
		x.ended = true
		x.noBody = true
	case length >= 0:
		x.body = &fixedBody{x: x, left: length}
		x.ended = length == 0
	case length == -1:
		x.body = &chunkedBody{x: x, r: httputil.NewChunkedReader(x.link.reader)}
	default:
		x.body = x.link.reader
	}
	return nil
}

// readWhole reads a whole body of known length.
func (x *exchange) readWhole(most int) ([]byte, error) {
	length := x.header.ContentLength()
	if x.noBody {
		return nil, nil
	}
	if length < -1 {
		return nil, errNoLength
	}
	if length > most {
		return nil, errTooLong
	}
	if length >= 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(x.body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(x.body, int64(most)+1))
	if err == nil && len(b) > most {
		return nil, errTooLong
	}
	return b, err
}

// drain waits for a moment for the end of a body whose content is complete.
func (x *exchange) drain() {
	if x.ended || x.link.SetReadDeadline(time.Now().Add(endWait)) != nil {
		return
	}
	var b [64]byte
	for range 2 {
		if _, err := x.body.Read(b[:]); err != nil {
			return
		}
	}
}

// fixedBody is a body with an announced length.
type fixedBody struct {
	x    *exchange
	left int
}

// Read reports an early end as io.ErrUnexpectedEOF.
func (f *fixedBody) Read(b []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	if len(b) > f.left {
		b = b[:f.left]
	}
	n, err := f.x.link.reader.Read(b)
	f.left -= n
	f.x.ended = f.left == 0
	if errors.Is(err, io.EOF) && f.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	x *exchange
	r io.Reader
}

// Read reads also the line behind the last chunk.
func (c *chunkedBody) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if !errors.Is(err, io.EOF) || c.x.ended {
		return n, err
	}
	// A trailer is not expected; the connection is then not reused.
	var line [2]byte
	if _, e := io.ReadFull(c.x.link.reader, line[:]); e == nil && line == [2]byte{'\r', '\n'} {
		c.x.ended = true
	}
	return n, err
}

// connectError returns the error of a request of which nothing was sent.
func connectError(ctx context.Context, place string, err error) error {
	if ctx.Err() == nil {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, place, "%v", err)
	}
	return endError(ctx, place, wigeonladder.NotRun, wigeonladder.CodeCallerGone)
}

// readError returns the error of a request that may have run.
func readError(ctx context.Context, place string, err error) error {
	var e *wigeonladder.Error
	var n net.Error
	switch {
	case ctx.Err() != nil:
		return endError(ctx, place, wigeonladder.MayHaveRun, wigeonladder.CodeCallerLost)
	case errors.As(err, &e):
		return wigeonladder.Errorf(e.Code, place, "%s", e.Detail)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return wigeonladder.Errorf(wigeonladder.CodeTimeout, place, "%v", err)
	default:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, place, "%v", err)
	}
}

// endError returns the error of an ended context: its cause if that is an error
// with the true outcome, otherwise the given code.
func endError(ctx context.Context, place string, o wigeonladder.Outcome, code wigeonladder.Code) error {
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
