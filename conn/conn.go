// Package conn provides the listeners and dialers of the daemons. fasthttp does
// not read a connection while a handler runs, so it does not notice that the
// caller has disconnected. A Conn therefore reads one byte in the background
// meanwhile and returns it from the next regular Read.
package conn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lingerTimeout bounds how long a lingering Close reads what the peer still
// sends.
const lingerTimeout = time.Second

// Conn is an accepted connection. While a request is handled it can detect that
// the peer disconnects, and it lets a handler write the response itself.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	watch *watch
	// readAhead holds the byte that a watch has read, while hasReadAhead is true.
	// watchErr is the error that a watch has met.
	readAhead    [1]byte
	hasReadAhead bool
	watchErr     error
	linger       bool
	reset        bool
	skipResponse atomic.Bool
	// unread is true for a new connection until it is read or unreadTime has
	// passed.
	unread     atomic.Bool
	acceptedAt time.Time
	// idleSince is when the connection began to wait for a request; zero while a
	// request is read or handled.
	idleSince  time.Time
	closedIdle bool
}

// watch is one background read of a connection.
type watch struct {
	done     chan struct{}
	mu       sync.Mutex
	stopping bool
}

// Watch calls gone once if the connection ends before stop is called. It no
// longer detects the end after the peer has sent more bytes, such as a
// pipelined request. The caller must call stop before the next Read and may
// call it more than once.
func (c *Conn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchErr != nil {
		go gone()
		return func() {}
	}
	if c.hasReadAhead || c.watch != nil {
		return func() {}
	}
	// Removes the deadline that the server set for reading the request.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		go gone()
		return func() {}
	}
	w := &watch{done: make(chan struct{})}
	c.watch = w
	go func() {
		defer close(w.done)
		n, err := c.Conn.Read(c.readAhead[:])
		c.hasReadAhead = n == 1
		if err == nil || w.stopRequested() && errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.watchErr = err
		gone()
	}()
	return func() { c.stopWatch(w) }
}

// PeerGone reports whether the peer has closed or reset the connection and has
// sent nothing before that which is still unread. It does not wait.
func (c *Conn) PeerGone() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // #nosec G115
		gone = n == 0 && e == nil || errors.Is(e, syscall.ECONNRESET)
	})
	return gone || err != nil
}

// stopRequested reports whether stopWatch was called for this watch.
func (w *watch) stopRequested() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// stopWatch ends the background read and waits for it.
func (c *Conn) stopWatch(w *watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != w {
		return
	}
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.watch = nil
}

// Read returns first the byte that a watch has read ahead. After CloseIdle has
// closed the connection it returns io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	if n, err := c.readWatched(b); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(b)
	c.markRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, io.EOF
	}
	if n > 0 {
		c.idleSince = time.Time{}
	}
	return n, err
}

// markRead records that the connection no longer counts as unread.
func (c *Conn) markRead() {
	if c.unread.CompareAndSwap(true, false) {
		c.listener.unread.Add(-1)
	}
}

// readWatched returns the byte or the error that a watch has read, if any.
func (c *Conn) readWatched(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, io.EOF
	}
	if c.hasReadAhead && len(b) > 0 {
		b[0] = c.readAhead[0]
		c.hasReadAhead = false
		c.idleSince = time.Time{}
		return 1, nil
	}
	return 0, c.watchErr
}

// BeginRequest marks the connection as busy with a request and reports whether
// the request may be handled. It may not be handled after CloseIdle has closed
// the connection, which tells the caller that its request did not run.
func (c *Conn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	return !c.closedIdle
}

// EndRequest marks the connection as idle once the response has been sent.
// After a watch has read ahead it stays busy, since the next request has begun.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasReadAhead {
		c.idleSince = time.Now()
	}
}

// closeIdle implements Listener.CloseIdle for one connection.
func (c *Conn) closeIdle(minIdle time.Duration, finalResponse []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Reading hasReadAhead is safe here: a watch, which writes it, runs only
	// while idleSince is zero.
	if c.closedIdle || c.idleSince.IsZero() || c.hasReadAhead || time.Since(c.idleSince) < minIdle {
		return
	}
	c.closedIdle, c.linger = true, true
	_, _ = c.write(finalResponse)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	// Interrupts the server's Read, so that the server closes the connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

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

// write writes within the listener's write timeout, also after SkipResponse.
func (c *Conn) write(b []byte) (int, error) {
	if limit := c.listener.limits.WriteTimeout; limit > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Linger makes Close shut down the sending side and read on until lingerTimeout
// before it closes the connection. Without that, a connection that is closed
// with unread bytes is reset, and the reset can overtake the last answer.
func (c *Conn) Linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// Reset makes Close reset the connection, so that the peer does not take an answer
// without a length for a complete one.
func (c *Conn) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = true
}

// Close closes the connection. After Linger it returns at once and closes the
// connection in the background.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.linger && !c.reset
	reset := c.reset
	c.linger = false
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		_ = w.SetLinger(0)
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && w.CloseWrite() == nil {
		go c.drain()
		return nil
	}
	return c.close()
}

// drain reads and discards what the peer still sends, for at most
// lingerTimeout, and closes the connection.
func (c *Conn) drain() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.close()
}

// close closes the connection at once, without lingering.
func (c *Conn) close() error {
	c.markRead()
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
