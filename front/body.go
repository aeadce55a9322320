package front

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/memory"
)

const (
	// progressBytes have to arrive in each Limits.ProgressTime while a body is read.
	progressBytes = 16 << 10
	// prefetchedBodyBytes is the most of a body that is read before its stream.
	prefetchedBodyBytes = 4 << 10
	// headCopies is how often the bytes of a head are held while its request runs: in
	// the request, in the call, and in the request to the backend server.
	headCopies = 3
	// callBytes is what a call holds beside its head and body.
	callBytes = 8 << 10
)

// continueResponse asks the caller to send the body.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// bodyReader reads the body of one request.
type bodyReader struct {
	connection *connection
	request    *fasthttp.Request
	response   *fasthttp.Response
	// length is the stated length, -1 for a body in chunks.
	length int
	// end is the time by which the whole body must have arrived, windowEnd the time by
	// which progressBytes more must have.
	end, windowEnd time.Time
	windowBytes    int
}

// newBodyReader returns a reader of the body of a request whose first byte arrived at
// start.
func newBodyReader(c *connection, x *exchange, start time.Time) *bodyReader {
	b := &bodyReader{connection: c, request: x.request, response: x.response, length: x.request.Header.ContentLength()}
	if b.length < -1 {
		b.length = 0 // a request without a length has no body
	}
	if t := c.server.o.Limits.ReadTimeout; t > 0 {
		b.end = start.Add(t)
	}
	return b
}

// hasArrived reports whether the whole body is in the buffer.
func (b *bodyReader) hasArrived() bool {
	return b.length >= 0 && b.length <= b.connection.reader.Buffered()
}

// skip prepares the refusal of a request whose body is unread: it discards a body that
// has arrived, and otherwise closes the connection after the response. It returns err.
func (b *bodyReader) skip(err error) error {
	if b.hasArrived() {
		_, _ = b.connection.reader.Discard(b.length)
	} else {
		b.response.SetConnectionClose()
	}
	return err
}

// read reads the whole body. What the call will hold while it runs is reserved as well.
func (b *bodyReader) read() ([]byte, error) {
	limits := b.connection.server.o.Limits
	if b.length > limits.MaxBodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	account := b.connection.account
	if err := account.Grow(memory.Body, callBytes+headCopies*len(b.request.Header.RawHeaders())); err != nil {
		return nil, err
	}
	if b.length == 0 {
		return nil, nil
	}
	if b.request.MayContinue() {
		if _, err := b.connection.conn.Write(continueResponse); err != nil {
			return nil, err
		}
	}
	if b.hasArrived() {
		return account.ReadBody(io.LimitReader(b.connection.reader, int64(b.length)), memory.BodyLimits{Length: b.length, MaxBytes: limits.MaxBodyBytes})
	}
	if err := b.extendDeadline(0); err != nil {
		return nil, err
	}
	if err := b.request.ContinueReadBodyStream(b.connection.reader, prefetchedBodyBytes, false); err != nil {
		return nil, err
	}
	return account.ReadBody(b.request.BodyStream(), memory.BodyLimits{
		Length: b.length, MaxBytes: limits.MaxBodyBytes, BeforeRead: b.beforeRead,
	})
}

// beforeRead extends the read deadline if the next read of the body will wait.
func (b *bodyReader) beforeRead(arrived int) error {
	if b.connection.reader.Buffered() > 0 {
		return nil
	}
	return b.extendDeadline(arrived)
}

// extendDeadline sets the read deadline anew if progressBytes have arrived since it was
// set.
func (b *bodyReader) extendDeadline(arrived int) error {
	if !b.windowEnd.IsZero() && arrived-b.windowBytes < progressBytes {
		return nil
	}
	b.connection.account.Progress()
	b.windowBytes, b.windowEnd = arrived, b.end
	if t := b.connection.server.o.Limits.ProgressTime; t > 0 {
		if end := time.Now().Add(t); b.end.IsZero() || end.Before(b.end) {
			b.windowEnd = end
		}
	}
	return b.connection.conn.SetReadDeadline(b.windowEnd)
}

// errorOf returns the error with which a request that could not be read is refused.
func errorOf(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, memory.ErrShort), errors.Is(err, memory.ErrEvicted):
		return wigeonladder.Errorf(wigeonladder.CodeOverload, "", "%v", err).WithRetryDelay(overloadRetryDelay)
	case asHeaderTooLarge(err, &headerTooLarge):
		return wigeonladder.Errorf(wigeonladder.CodeHeaderTooLarge, "", "the request cannot be read")
	case isBodyTooLarge(err), errors.Is(err, memory.ErrTooLarge):
		return wigeonladder.Errorf(wigeonladder.CodeTooLarge, "", "the request cannot be read")
	case isTimeout(err):
		return wigeonladder.Errorf(wigeonladder.CodeSlowCaller, "", "the request cannot be read")
	}
	return wigeonladder.Errorf(wigeonladder.CodeMalformed, "", "the request cannot be read")
}
