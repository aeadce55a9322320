package front

import (
	"errors"
	"io"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/memory"
)

const (
	// firstBodyBytes is the most that is reserved for a body before any of it has
	// arrived, so that an announced length costs nothing.
	firstBodyBytes = 16 << 10
	// progressBytes have to arrive in each Limits.ProgressTime while a body is read.
	progressBytes = 16 << 10
	// readsPerTurn is the number of reads of a body, of at most one chunk each, after
	// which other connections get the processor.
	readsPerTurn = 1024
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

// read reads the whole body.
func (b *bodyReader) read() ([]byte, error) {
	limits := b.connection.server.o.Limits
	if b.length > limits.MaxBodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
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
		return b.readArrived()
	}
	if err := b.extendDeadline(0); err != nil {
		return nil, err
	}
	maxBytes := limits.MaxBodyBytes
	if b.length > 0 {
		maxBytes = b.length
	}
	body, err := b.grow(nil, min(firstBodyBytes, maxBytes))
	if err != nil {
		return nil, err
	}
	if err := b.request.ContinueReadBodyStream(b.connection.reader, firstBodyBytes, false); err != nil {
		return nil, err
	}
	return b.readStream(b.request.BodyStream(), body, maxBytes)
}

// readArrived reads a body that is in the buffer.
func (b *bodyReader) readArrived() ([]byte, error) {
	if err := b.connection.account.Grow(memory.Body, b.length); err != nil {
		return nil, err
	}
	body := make([]byte, b.length)
	_, err := io.ReadFull(b.connection.reader, body)
	return body, err
}

// readStream reads a body of at most maxBytes as it arrives. The memory for it grows
// with what has arrived.
func (b *bodyReader) readStream(r io.Reader, body []byte, maxBytes int) ([]byte, error) {
	var err error
	for reads := 1; ; reads++ {
		if len(body) == cap(body) && len(body) < maxBytes {
			if body, err = b.grow(body, min(2*cap(body), maxBytes)); err != nil {
				return nil, err
			}
		}
		n, err := b.readSome(r, body, maxBytes)
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			if len(body) < b.length {
				return nil, io.ErrUnexpectedEOF
			}
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if reads%readsPerTurn == 0 {
			runtime.Gosched()
		}
	}
}

// readSome reads into the free part of body, within the deadline for progress. One more
// byte than maxBytes is an error.
func (b *bodyReader) readSome(r io.Reader, body []byte, maxBytes int) (int, error) {
	if b.connection.reader.Buffered() == 0 {
		if err := b.extendDeadline(len(body)); err != nil {
			return 0, err
		}
	}
	if len(body) < maxBytes {
		return r.Read(body[len(body):cap(body)])
	}
	var beyond [1]byte
	n, err := r.Read(beyond[:])
	if n > 0 {
		return 0, fasthttp.ErrBodyTooLarge
	}
	return 0, err
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

// grow returns body with another capacity.
func (b *bodyReader) grow(body []byte, capacity int) ([]byte, error) {
	account := b.connection.account
	if err := account.Grow(memory.Body, capacity); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, capacity), body...)
	account.Shrink(memory.Body, cap(body))
	return grown, nil
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
	case isBodyTooLarge(err):
		return wigeonladder.Errorf(wigeonladder.CodeTooLarge, "", "the request cannot be read")
	case isTimeout(err):
		return wigeonladder.Errorf(wigeonladder.CodeSlowCaller, "", "the request cannot be read")
	}
	return wigeonladder.Errorf(wigeonladder.CodeMalformed, "", "the request cannot be read")
}
