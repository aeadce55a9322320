package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of a connection's read buffer, and so the largest
// response header. It is small because every open stream holds such a buffer.
const readBufferBytes = 4 << 10

// sweepPeriod is the least time between two searches for connections that were
// idle too long.
const sweepPeriod = 10 * time.Second

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// idleSince is when the connection was last put into the pool; zero for a
	// new connection.
	idleSince time.Time
	// keepAliveTimeout is how long the server says that it keeps an idle
	// connection; 0 if unknown.
	keepAliveTimeout time.Duration
	// readable is the number of bytes that may still be read.
	readable int64
	// used is true once a request has been written to the connection.
	used bool
	// endedByServer is true once a read has met the end or a failure of the
	// connection that this daemon did not cause.
	endedByServer bool
}

// allowRead sets the number of bytes that may be read from the connection from
// now on.
func (c *serverConn) allowRead(n int64) { c.readable = n }

// Read implements io.Reader. It returns errTooLong once the bytes that
// allowRead allows have been read.
func (c *serverConn) Read(b []byte) (int, error) {
	if c.readable <= 0 {
		return 0, errTooLong
	}
	if int64(len(b)) > c.readable {
		b = b[:c.readable]
	}
	n, err := c.Conn.Read(b)
	c.readable -= int64(n)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.endedByServer = true
	}
	return n, err
}

// pool keeps idle connections for reuse, by server address.
type pool struct {
	dialer       net.Dialer
	idleTimeout  time.Duration
	maxIdleConns int
	times        dialTimes
	// ctx ends when the pool is closed.
	ctx context.Context
	end context.CancelFunc

	mu   sync.Mutex
	idle map[string][]*serverConn
	// waiters contains the calls that wait for a connection, by server address.
	waiters   map[string][]*connWaiter
	lastSweep time.Time
	closed    bool
}

// newPool returns an empty pool. It keeps up to maxIdleConns connections to an
// address for idleTimeout each. A call waits for a new connection for dialTimeout,
// and up to the dialer's timeout while connections open slowly.
func newPool(d net.Dialer, dialTimeout, idleTimeout time.Duration, maxIdleConns int) *pool {
	ctx, end := context.WithCancel(context.Background())
	return &pool{
		dialer: d, idleTimeout: idleTimeout, maxIdleConns: maxIdleConns, times: dialTimes{min: dialTimeout, max: d.Timeout},
		ctx: ctx, end: end, idle: map[string][]*serverConn{}, waiters: map[string][]*connWaiter{}, lastSweep: time.Now(),
	}
}

// get returns an idle connection that the server has not closed, or the first that
// is returned or opened meanwhile.
func (p *pool) get(ctx context.Context, address string) (*serverConn, error) {
	for {
		conn := p.popIdle(address)
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < p.idleTimeout && conn.usable() {
			return conn, nil
		}
		_ = conn.Close()
	}
	return p.dial(ctx, address)
}

// newServerConn returns a connection that has not been used yet.
func newServerConn(c net.Conn, address string) *serverConn {
	conn := &serverConn{Conn: c, address: address}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn
}

// popIdle removes and returns the connection that has been idle for the
// shortest time.
func (p *pool) popIdle(address string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

// put keeps a connection for reuse if reuse is true and the pool has room.
// Otherwise it closes the connection.
func (p *pool) put(address string, conn *serverConn, reuse bool) {
	p.putWithLimit(address, conn, reuse, p.maxIdleConns)
}

// putWithLimit does the same as put, but keeps at most maxIdleConns idle
// connections to the address.
func (p *pool) putWithLimit(address string, conn *serverConn, reuse bool, maxIdleConns int) {
	conn.idleSince = time.Now()
	p.keep(address, conn, reuse, maxIdleConns)
}

// putUnused puts a connection back to which nothing was written since get
// returned it. The time for which it has been idle goes on.
func (p *pool) putUnused(conn *serverConn) {
	if conn.idleSince.IsZero() {
		conn.idleSince = time.Now()
	}
	p.keep(conn.address, conn, true, p.maxIdleConns)
}

// keep gives a connection to a waiting call, or keeps it for reuse, if reuse is true
// and the pool has room. Otherwise it closes the connection.
func (p *pool) keep(address string, conn *serverConn, reuse bool, maxIdleConns int) {
	if !reuse || conn.reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	toClose := p.sweep(time.Now())
	w := (*connWaiter)(nil)
	if !p.closed && len(p.waiters[address]) > 0 && conn.usable() {
		w = p.takeWaiter(address, func(*connWaiter) bool { return true })
	}
	switch {
	case w != nil:
		w.result <- connResult{conn: conn}
	case p.closed, len(p.idle[address]) >= maxIdleConns:
		toClose = append(toClose, conn)
	default:
		p.idle[address] = append(p.idle[address], conn)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// sweep removes the connections that have been idle too long. It covers all
// servers, since the connections to a server that gets no more requests would otherwise
// stay open.
// The caller must hold the lock, and must close the returned connections.
func (p *pool) sweep(now time.Time) []*serverConn {
	if now.Sub(p.lastSweep) < sweepPeriod {
		return nil
	}
	p.lastSweep = now
	var expired []*serverConn
	for address, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= p.idleTimeout {
			n++
		}
		expired = append(expired, conns[:n]...)
		if n == len(conns) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*serverConn(nil), conns[n:]...)
	}
	return expired
}

// close closes the idle connections. Connections that are put later are closed
// too.
func (p *pool) close() {
	p.end()
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*serverConn{}
	p.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

func closeAll(conns []*serverConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// wasReset reports whether the connection has ended by a reset. It may not know of one.
func (c *serverConn) wasReset() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // #nosec G115
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return reset
}

// usable reports whether a connection without a request is still open and has no unread
// bytes. It peeks at the socket without blocking, so that no request is written
// to a connection that the server has already closed.
func (c *serverConn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // #nosec G115
		nothingToRead = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK                   //nolint:errorlint // a bare errno
		return true
	})
	return err == nil && nothingToRead
}
