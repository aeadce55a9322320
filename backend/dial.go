package backend

import (
	"context"
	"math"
	"os"
	"sync"
	"time"
)

const (
	// dialTimesFactor is how many times as long as the slowest recent one a call
	// waits for a new connection. On a congested link all connections open slowly,
	// and a call that gave up and tried another server would wait there as long.
	dialTimesFactor = 2
	// dialTimesHalfLife is the time in which a slow connection loses half of its
	// weight.
	dialTimesHalfLife = 2 * time.Second
)

// dialTimes knows how long connections took to open recently, at all servers.
type dialTimes struct {
	min, max time.Duration

	mu      sync.Mutex
	slowest time.Duration
	at      time.Time
}

// record adds the time that a connection took to open.
func (d *dialTimes) record(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if took > d.decayed(now) {
		d.slowest, d.at = took, now
	}
}

// decayed returns the slowest recent time, decayed to the present. The caller must
// hold the lock.
func (d *dialTimes) decayed(now time.Time) time.Duration {
	return time.Duration(float64(d.slowest) * math.Exp2(-float64(now.Sub(d.at))/float64(dialTimesHalfLife)))
}

// timeout returns how long a call waits for a new connection.
func (d *dialTimes) timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(d.decayed(time.Now())*dialTimesFactor, d.min), d.max)
}

// connWaiter is a call that waits for a connection.
type connWaiter struct {
	// result receives the connection or the error. It has room for one.
	result chan connResult
}

// connResult is what became of a wait for a connection.
type connResult struct {
	conn *serverConn
	err  error
}

// dial returns a new connection, or one that another call returns while it opens. If
// the wait ends first, the connection goes on to open and is kept for later calls.
func (p *pool) dial(ctx context.Context, address string) (*serverConn, error) {
	w := &connWaiter{result: make(chan connResult, 1)}
	p.mu.Lock()
	p.waiters[address] = append(p.waiters[address], w)
	p.mu.Unlock()
	go p.open(address, w)
	t := time.NewTimer(p.times.timeout())
	defer t.Stop()
	var err error
	select {
	case x := <-w.result:
		return x.conn, x.err
	case <-ctx.Done():
		err = ctx.Err()
	case <-t.C:
		err = os.ErrDeadlineExceeded
	}
	if p.removeWaiter(address, w) {
		return nil, err
	}
	x := <-w.result
	if x.conn != nil && ctx.Err() != nil {
		p.putUnused(x.conn)
		return nil, err
	}
	return x.conn, x.err
}

// open opens a connection for a call, or for the pool if the call has another one or
// has gone.
func (p *pool) open(address string, w *connWaiter) {
	started := time.Now()
	c, err := p.dialer.DialContext(p.ctx, "tcp", address)
	if err == nil {
		p.times.record(time.Since(started))
	}
	x := connResult{err: err}
	if err == nil {
		x.conn = newServerConn(c, address)
	}
	if !p.deliver(address, w, x) && x.conn != nil {
		p.putUnused(x.conn)
	}
}

// deliver ends the wait of a call with a result. It reports whether the call waited.
func (p *pool) deliver(address string, w *connWaiter, x connResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.takeWaiter(address, func(y *connWaiter) bool { return y == w }) == nil {
		return false
	}
	w.result <- x
	return true
}

// removeWaiter ends the wait of a call that gives up. It reports whether the call
// waited; otherwise its result is there.
func (p *pool) removeWaiter(address string, w *connWaiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeWaiter(address, func(x *connWaiter) bool { return x == w }) != nil
}

// takeWaiter removes and returns the first waiting call that matches; nil if there is
// none. The caller must hold the lock.
func (p *pool) takeWaiter(address string, match func(*connWaiter) bool) *connWaiter {
	for i, w := range p.waiters[address] {
		if !match(w) {
			continue
		}
		rest := append(p.waiters[address][:i:i], p.waiters[address][i+1:]...)
		if len(rest) == 0 {
			delete(p.waiters, address)
		} else {
			p.waiters[address] = rest
		}
		return w
	}
	return nil
}
