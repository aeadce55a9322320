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

// maxLingerBytes bounds what a lingering Close reads. It exceeds the largest body that
// a request may have.
const maxLingerBytes = 8 << 20

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
	// headSince is when the first byte of a request was read whose head has not been
	// read yet; zero otherwise.
	headSince time.Time
	// interrupted is true once Interrupt was called, until Resume.
	interrupted atomic.Bool
	// sentBytes and sendTime are the bytes of the current answer and the time that
	// their writes took beyond freeWriteTime each. onProgress is called after each part of a long write.
	sentBytes  int
	sendTime   time.Duration
	onProgress func()
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
	n, err := c.peek()
	return n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, errNoSocket)
}

// errNoSocket is the error of peek if the connection is not a socket.
var errNoSocket = errors.New("not a socket")

// peek returns the number of bytes, at most one, that can be read without waiting. The
// error is EAGAIN if none can; 0 without an error means that the peer has closed the
// connection.
func (c *Conn) peek() (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // #nosec G115
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
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
		c.endIdle()
	}
	return n, err
}

// endIdle records that a request has begun.
func (c *Conn) endIdle() {
	if !c.idleSince.IsZero() {
		c.idleSince, c.headSince = time.Time{}, time.Now()
	}
}

// EndHead records that the head of the request has been read. It reports false if the
// connection was interrupted before.
func (c *Conn) EndHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince = time.Time{}
	return !c.interrupted.Load()
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
		c.endIdle()
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
	c.sentBytes, c.sendTime = 0, 0
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
	// A process that is short of processor time may not have read yet what arrived.
	if n, err := c.peek(); n > 0 && err == nil {
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

// Interrupt makes the reads and writes of the connection fail with
// os.ErrDeadlineExceeded until Resume is called. It does not block.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// Resume ends the effect of Interrupt on writes, so that the request can be refused.
func (c *Conn) Resume() { c.interrupted.Store(false) }

// SetReadDeadline sets the deadline of reads, unless the connection is interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
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

// drain reads and discards what the peer still sends, at most maxLingerBytes within
// lingerTimeout, and closes the connection.
func (c *Conn) drain() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
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
