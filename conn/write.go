package conn

import (
	"io"
	"os"
	"time"
)

// SkipResponse lets the handler write the response itself, through the returned
// writer. What the server writes to the connection is dropped until
// KeepResponse is called at the start of the next request. The server must
// therefore send each response before it handles the next request.
func (c *Conn) SkipResponse() io.Writer {
	c.skipResponse.Store(true)
	return responseWriter{c}
}

// ResponseSkipped reports whether the handler writes the response itself.
func (c *Conn) ResponseSkipped() bool { return c.skipResponse.Load() }

// KeepResponse ends the effect of SkipResponse: what the server writes reaches
// the connection again.
func (c *Conn) KeepResponse() { c.skipResponse.Store(false) }

// responseWriter writes to a connection while the server's own writes are
// dropped.
type responseWriter struct{ c *Conn }

// Write implements io.Writer.
func (w responseWriter) Write(b []byte) (int, error) { return w.c.write(b) }

// Write writes within the listener's write timeout, or drops the bytes after
// SkipResponse.
func (c *Conn) Write(b []byte) (int, error) {
	if c.skipResponse.Load() {
		return len(b), nil
	}
	return c.write(b)
}

const (
	// maxWriteBytes is the most bytes that are written within one write timeout, so
	// that a long answer to a caller that reads has time.
	maxWriteBytes = 64 << 10
	// minSendRate is the number of bytes a second that a caller has to read of an
	// answer on average, not counting one write timeout.
	minSendRate = 8 << 10
	// freeWriteTime is the part of each write that does not count for minSendRate. A
	// process that is short of processor time may return late from a write that did
	// not wait for the caller.
	freeWriteTime = 500 * time.Millisecond
)

// write writes also after SkipResponse. The peer must read each maxWriteBytes within
// the listener's write timeout, and the whole answer at minSendRate on average.
func (c *Conn) write(b []byte) (int, error) {
	limit := c.listener.limits.WriteTimeout
	if limit <= 0 {
		return c.Conn.Write(b)
	}
	written := 0
	for {
		start := time.Now()
		earned := time.Duration(c.sentBytes) * time.Second / minSendRate
		if err := c.Conn.SetWriteDeadline(start.Add(min(limit, limit+earned-c.sendTime))); err != nil {
			return written, err
		}
		if c.interrupted.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(b[written:min(written+maxWriteBytes, len(b))])
		written += n
		c.sentBytes += n
		c.sendTime += max(time.Since(start)-freeWriteTime, 0)
		if err != nil || written == len(b) {
			return written, err
		}
		if c.onProgress != nil {
			c.onProgress()
		}
	}
}

// OnProgress sets a function that is called after each part of a long write.
func (c *Conn) OnProgress(f func()) { c.onProgress = f }
