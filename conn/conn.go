// Package conn watches the connections that an HTTP server accepts. fasthttp
// does not read a connection while a handler runs and so does not learn that
// the caller has gone. A Conn reads one byte in the background meanwhile and
// hands it to the next regular read.
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

// lingerLimit bounds the reading after a Close.
const lingerLimit = time.Second

// shortagePause is the time before accepting is tried again after a shortage.
const shortagePause = 10 * time.Millisecond

// Listener accepts connections that can be watched.
type Listener struct {
	net.Listener
	writeLimit time.Duration

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// NewListener returns a listener whose connections fail a single write that
// takes longer than writeLimit. Zero sets no limit.
func NewListener(l net.Listener, writeLimit time.Duration) *Listener {
	return &Listener{Listener: l, writeLimit: writeLimit, open: map[*Conn]struct{}{}}
}

// Accept returns the next connection as a *Conn. It outlasts a shortage, such as
// of file descriptors, after which fasthttp would stop accepting for good.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	for err != nil && isShortage(err) {
		time.Sleep(shortagePause)
		n, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: n, listener: l, idleSince: time.Now()}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// isShortage reports whether accepting can succeed later.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// CloseIdle ends the connections that have waited for a request for at least that
// long: it sends each the farewell, closes its sending side and reads on for a
// moment. A request that crosses the farewell is thereby answered by it and is
// not handled.
func (l *Listener) CloseIdle(idle time.Duration, farewell []byte) {
	for _, c := range l.conns() {
		c.dismiss(idle, farewell)
	}
}

// CloseConns closes every open connection.
func (l *Listener) CloseConns() {
	for _, c := range l.conns() {
		_ = c.close()
	}
}

// conns returns the open connections.
func (l *Listener) conns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	watch *watch
	// held is a byte that a watch read ahead; err is the error that it met.
	held    [1]byte
	hasHeld bool
	err     error
	linger  bool
	skip    atomic.Bool
	// idleSince is the time from which the connection waits for a request; zero
	// while a request is read or handled.
	idleSince time.Time
	dismissed bool
}

// watch is one background read.
type watch struct {
	done     chan struct{}
	mu       sync.Mutex
	stopping bool
}

// Watch calls gone once if the connection ends before stop is called. It sees
// nothing after the peer has sent more bytes, such as a pipelined request. Stop
// must be called before the next Read and may be called more than once.
func (c *Conn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go gone()
		return func() {}
	}
	if c.hasHeld || c.watch != nil {
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
		n, err := c.Conn.Read(c.held[:])
		c.hasHeld = n == 1
		if err == nil || w.stopped() && errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.err = err
		gone()
	}()
	return func() { c.stop(w) }
}

// stopped reports whether the end of the watch was asked for.
func (w *watch) stopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// stop ends the background read and waits for it.
func (c *Conn) stop(w *watch) {
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

// Read returns first what a watch has read ahead. After a dismissal it returns
// io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	if n, err := c.readHeld(b); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dismissed {
		return 0, io.EOF
	}
	if n > 0 {
		c.idleSince = time.Time{}
	}
	return n, err
}

// readHeld returns the byte or the error that a watch has met.
func (c *Conn) readHeld(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dismissed {
		return 0, io.EOF
	}
	if c.hasHeld && len(b) > 0 {
		b[0] = c.held[0]
		c.hasHeld = false
		c.idleSince = time.Time{}
		return 1, nil
	}
	return 0, c.err
}

// BeginRequest tells that a request will be handled. It reports whether it may be: the
// caller of a dismissed connection has been told that it was not.
func (c *Conn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	return !c.dismissed
}

// EndRequest tells that the response of a request was sent.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasHeld {
		c.idleSince = time.Now()
	}
}

// dismiss implements Listener.CloseIdle.
func (c *Conn) dismiss(idle time.Duration, farewell []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A watch, which writes hasHeld, runs only while idleSince is zero.
	if c.dismissed || c.idleSince.IsZero() || c.hasHeld || time.Since(c.idleSince) < idle {
		return
	}
	c.dismissed, c.linger = true, true
	_, _ = c.write(farewell)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	// Ends the server's read, so that it closes the connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SkipResponse tells that the handler writes the response itself. It returns a
// writer for it; what the server writes to the connection is dropped until
// KeepResponse is called, at the start of the next request. The server must send
// each response before it handles the next request.
func (c *Conn) SkipResponse() io.Writer {
	c.skip.Store(true)
	return writer{c}
}

// ResponseSkipped reports whether the handler writes the response itself.
func (c *Conn) ResponseSkipped() bool { return c.skip.Load() }

// KeepResponse ends the effect of SkipResponse.
func (c *Conn) KeepResponse() { c.skip.Store(false) }

// writer writes to a connection whose server is skipped.
type writer struct{ c *Conn }

// Write implements io.Writer.
func (w writer) Write(b []byte) (int, error) { return w.c.write(b) }

// Write writes within the listener's write limit, or drops the bytes after
// SkipResponse.
func (c *Conn) Write(b []byte) (int, error) {
	if c.skip.Load() {
		return len(b), nil
	}
	return c.write(b)
}

// write writes within the listener's write limit.
func (c *Conn) write(b []byte) (int, error) {
	if limit := c.listener.writeLimit; limit > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Linger makes Close read on for a moment. A connection that is closed with
// unread bytes is reset, and the reset can overtake the last answer.
func (c *Conn) Linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// Close closes the connection. After Linger the end follows in the background.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.linger
	c.linger = false
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && w.CloseWrite() == nil {
		go c.drain()
		return nil
	}
	return c.close()
}

// drain reads what the peer still sends and closes the connection.
func (c *Conn) drain() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerLimit)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.close()
}

// close closes the connection at once.
func (c *Conn) close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
