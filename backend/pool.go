package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer in bytes. It also bounds
// a response header. It is small because every open stream holds one.
const readBuffer = 4 << 10

// sweepPeriod is the least time between two searches for old connections.
const sweepPeriod = 10 * time.Second

// link is a connection to a backend server.
type link struct {
	net.Conn
	reader  *bufio.Reader
	address string
	idle    time.Time
	// keep is how long the server keeps the connection idle; 0 if unknown.
	keep time.Duration
}

// pool keeps idle connections per address.
type pool struct {
	dialer net.Dialer
	keep   time.Duration
	most   int

	mu     sync.Mutex
	idle   map[string][]*link
	swept  time.Time
	closed bool
}

// newPool returns an empty pool.
func newPool(d net.Dialer, keep time.Duration, most int) *pool {
	return &pool{dialer: d, keep: keep, most: most, idle: map[string][]*link{}, swept: time.Now()}
}

// take returns an idle connection that the server has not closed, or a new one.
func (p *pool) take(ctx context.Context, address string) (*link, error) {
	for {
		l := p.pop(address)
		if l == nil {
			break
		}
		if time.Since(l.idle) < p.keep && l.usable() {
			return l, nil
		}
		_ = l.Close()
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newPoolLink(c, address), nil
}

// newPoolLink returns a connection that was not used yet.
func newPoolLink(c net.Conn, address string) *link {
	return &link{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), address: address}
}

// pop removes the connection that was idle for the shortest time.
func (p *pool) pop(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	ls := p.idle[address]
	if len(ls) == 0 {
		return nil
	}
	l := ls[len(ls)-1]
	ls[len(ls)-1] = nil
	p.idle[address] = ls[:len(ls)-1]
	return l
}

// put keeps a connection for reuse, or closes it.
func (p *pool) put(address string, l *link, reuse bool) { p.putMost(address, l, reuse, p.most) }

// putMost implements put with another bound of the idle connections.
func (p *pool) putMost(address string, l *link, reuse bool, most int) {
	if !reuse || l.reader.Buffered() > 0 || l.SetDeadline(time.Time{}) != nil {
		_ = l.Close()
		return
	}
	l.idle = time.Now()
	p.mu.Lock()
	old := p.sweep(l.idle)
	if p.closed || len(p.idle[address]) >= most {
		old = append(old, l)
	} else {
		p.idle[address] = append(p.idle[address], l)
	}
	p.mu.Unlock()
	closeAll(old)
}

// sweep removes the connections that were idle too long, also of servers that
// get no more requests. The caller holds the lock and closes what it returns.
func (p *pool) sweep(now time.Time) []*link {
	if now.Sub(p.swept) < sweepPeriod {
		return nil
	}
	p.swept = now
	var old []*link
	for address, ls := range p.idle {
		n := 0
		for n < len(ls) && now.Sub(ls[n].idle) >= p.keep {
			n++
		}
		old = append(old, ls[:n]...)
		if n == len(ls) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*link(nil), ls[n:]...)
	}
	return old
}

// close closes the idle connections and keeps no more.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*link{}
	p.mu.Unlock()
	for _, ls := range idle {
		closeAll(ls)
	}
}

// closeAll closes connections.
func closeAll(ls []*link) {
	for _, l := range ls {
		_ = l.Close()
	}
}

// usable reports whether an idle connection is open and silent. It looks at
// the socket without blocking, so that a request is not written to a connection
// that the server has closed already.
func (l *link) usable() bool {
	s, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // #nosec G115
		silent = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK                          //nolint:errorlint // a bare errno
		return true
	})
	return err == nil && silent
}
