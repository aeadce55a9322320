package conn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// acceptRetryDelay is the time between two attempts to accept a connection
// while a resource, such as file descriptors, is exhausted.
const acceptRetryDelay = 10 * time.Millisecond

// unreadTime is how long a new connection counts as unread. A caller that sends
// nothing for longer has opened it in advance.
const unreadTime = time.Second

// Limits are the limits of a Listener. A value of zero sets no limit.
type Limits struct {
	// WriteTimeout bounds a single write to a connection.
	WriteTimeout time.Duration
	// MaxOpen is the number of open connections up to which further connections
	// are accepted. Others are refused if there is a RefusalResponse, else closed at
	// once.
	MaxOpen int
	// MaxUnread is the number of new connections from which nothing has been
	// read yet up to which further connections are accepted. On others the first
	// request is answered with the result of RefusalResponse, without being
	// parsed.
	MaxUnread       int
	RefusalResponse func() []byte
	// Busy reports whether the connections that wait to be accepted are to be refused;
	// nil for never.
	Busy func() bool
	// MaxRefusing is the number of connections that may wait at the same time for
	// the end of a request that is refused. Beyond it a connection is closed after
	// what has arrived was answered.
	MaxRefusing int
}

// Listener accepts connections as *Conn and keeps track of those that are open.
type Listener struct {
	net.Listener
	limits Limits
	// unread is the number of new connections from which nothing has been read,
	// shed the number of connections that were not accepted because of a limit,
	// shedding the number of those that are being refused.
	unread, shed, shedding atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// newest contains the connections of the last unreadTime in the order in
	// which they were accepted.
	newest []*Conn
	// refusalBuffer receives what refused peers have sent. Only Accept uses it, the
	// refusal and the number of accepts.
	refusalBuffer [refusalBufferBytes]byte
	refusal       []byte
	accepts       int
	yielder       *Yielder
}

// NewListener returns a Listener that accepts from l.
func NewListener(l net.Listener, limits Limits) *Listener {
	return &Listener{Listener: l, limits: limits, open: map[*Conn]struct{}{}, yielder: NewYielder()}
}

// Accept returns the next connection as a *Conn. It retries after temporary
// errors, such as a lack of file descriptors, because fasthttp stops accepting
// for good when Accept fails.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.limits.Busy != nil && l.limits.Busy() && l.refuseNext() {
			l.shed.Add(1)
			l.yield()
			continue
		}
		n, err := l.Listener.Accept()
		if err != nil && isTemporaryAcceptError(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		c, refuse := l.admit(n)
		if c != nil {
			if t, ok := n.(*net.TCPConn); ok {
				_ = t.SetKeepAliveConfig(keepAlive)
			}
			l.yield()
			return c, nil
		}
		l.shed.Add(1)
		if refuse {
			l.refuse(n)
		} else {
			_ = n.Close()
		}
		l.yield()
	}
}

// acceptsPerTurn is the number of connections that are accepted or refused before other
// runnable goroutines are scheduled. With a small number, connections stay in the accept
// queue until their peers time out.
const acceptsPerTurn = 16

// yield lets other goroutines run after every acceptsPerTurn calls, so that a connection
// flood does not starve the accepted connections. Only Accept calls it.
func (l *Listener) yield() {
	l.accepts++
	if l.accepts%acceptsPerTurn == 0 {
		l.yielder.Yield()
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	defer l.yielder.Close()
	return l.Listener.Close()
}

// admit returns an accepted connection as a *Conn, or nil if a limit is reached,
// and then whether its request is to be refused.
func (l *Listener) admit(n net.Conn) (c *Conn, refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.newest) > 0 && l.newest[0].isReadOrSilent(now) {
		l.newest[0].markRead()
		l.newest[0] = nil
		l.newest = l.newest[1:]
	}
	if m := l.limits.MaxOpen; m > 0 && len(l.open) >= m {
		return nil, l.limits.RefusalResponse != nil
	}
	if m := l.limits.MaxUnread; m > 0 && l.unread.Load() >= int64(m) {
		return nil, true
	}
	c = &Conn{Conn: n, listener: l, idleSince: now, acceptedAt: now}
	c.unread.Store(true)
	l.unread.Add(1)
	l.newest = append(l.newest, c)
	l.open[c] = struct{}{}
	return c, false
}

// isReadOrSilent reports whether a new connection does not count as unread: it was
// read, or its peer has sent nothing within unreadTime. What a peer has sent may be
// unread for longer in a process that is short of processor time.
func (c *Conn) isReadOrSilent(now time.Time) bool {
	if !c.unread.Load() {
		return true
	}
	if now.Sub(c.acceptedAt) <= unreadTime {
		return false
	}
	n, err := c.peek()
	return n == 0 || err != nil
}

// ShedConns returns the number of connections that were not accepted because a
// limit was reached.
func (l *Listener) ShedConns() int { return int(l.shed.Load()) }

// isTemporaryAcceptError reports whether a later Accept can succeed.
func isTemporaryAcceptError(err error) bool {
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

// CloseIdle closes the connections that have waited for a request for at least
// minIdle. It writes finalResponse to each, shuts down its sending side and
// lets the connection linger, as described at Conn.Linger. A request that
// arrives meanwhile gets finalResponse as its answer and is not handled.
func (l *Listener) CloseIdle(minIdle time.Duration, finalResponse []byte) {
	for _, c := range l.openConns() {
		c.closeIdle(minIdle, finalResponse)
	}
}

// InterruptSlowHeads interrupts the connections on which the head of a request has
// been on its way for at least minTime.
func (l *Listener) InterruptSlowHeads(minTime time.Duration) {
	for _, c := range l.openConns() {
		c.interruptSlowHead(minTime)
	}
}

// interruptSlowHead implements Listener.InterruptSlowHeads for one connection.
func (c *Conn) interruptSlowHead(minTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headSince.IsZero() && time.Since(c.headSince) >= minTime {
		c.Interrupt()
	}
}

// CloseConns closes every open connection.
func (l *Listener) CloseConns() {
	for _, c := range l.openConns() {
		_ = c.close()
	}
}

// openConns returns a copy of the set of open connections, which can be used
// without the lock.
func (l *Listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}
