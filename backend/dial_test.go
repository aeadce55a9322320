package backend

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// testDialTimeout is how long calls of the test wait for a connection.
const testDialTimeout = 100 * time.Millisecond

// slowPool returns a pool whose connections open when a value is sent to the returned
// channel, and the address of a server.
func slowPool(t *testing.T) (p *pool, open chan<- struct{}, address string) {
	t.Helper()
	s := newScript(t, func(int) (string, bool) { return "", false })
	opens := make(chan struct{})
	d := net.Dialer{Timeout: time.Minute, ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		select {
		case <-opens:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}}
	p = newPool(d, testDialTimeout, time.Minute, 4)
	t.Cleanup(p.close)
	return p, opens, s.Address()
}

// Guards against calls that wait for a new connection, or fail because it opens late,
// while other calls return theirs.
func TestReturnedConnectionServesWaitingCall(t *testing.T) {
	is := is.New(t)
	p, open, address := slowPool(t)
	p.times.min = time.Minute
	got := make(chan *serverConn)
	get := func() {
		c, _ := p.get(t.Context(), address)
		got <- c
	}
	go get()
	open <- struct{}{}
	first := <-got
	go get()
	waitForWaiters(t, p, address, 1)
	p.put(address, first, true)
	is.True(<-got == first)
	open <- struct{}{}
	waitForIdle(t, p, address, 1)
}

// Guards against a connection that opened too late for its call and is closed, so
// that the next call waits for another one.
func TestLateConnectionIsKept(t *testing.T) {
	is := is.New(t)
	p, open, address := slowPool(t)
	_, err := p.get(t.Context(), address)
	is.Equal(err, os.ErrDeadlineExceeded)
	open <- struct{}{}
	waitForIdle(t, p, address, 1)
	c, err := p.get(t.Context(), address)
	is.NoErr(err)
	is.True(!c.used)
	p.put(address, c, false)
}

// Guards against a connection that opens at the moment at which its call gives up, and
// which is neither used nor closed.
func TestNoConnectionIsLost(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return "", false })
	opened := &atomic.Int64{}
	d := net.Dialer{Timeout: time.Minute, Control: func(string, string, syscall.RawConn) error {
		opened.Add(1)
		return nil
	}}
	const calls = 300
	p := newPool(d, 0, time.Minute, calls)
	t.Cleanup(p.close)
	var held []*serverConn
	for i := range calls {
		// Some of the calls wait for as long as it takes to open a connection.
		p.times.min = time.Duration(i%60) * 10 * time.Microsecond
		if c, err := p.get(t.Context(), s.Address()); err == nil {
			held = append(held, c)
		}
	}
	waitForCount(t, int(opened.Load()), func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(held) + len(p.idle[s.Address()])
	})
	is.Equal(len(p.waiters), 0)
	for _, c := range held {
		p.put(s.Address(), c, false)
	}
}

// Guards against a congested link on which all servers seem not to be reachable,
// since connections open a little later than calls wait for them.
func TestSlowConnectionsAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := dialTimes{min: relayDialTimeout, max: relayDialTimeoutMax}
		is.Equal(d.timeout(), relayDialTimeout)
		d.record(400 * time.Millisecond)
		d.record(time.Millisecond)
		is.Equal(d.timeout(), 800*time.Millisecond)
		time.Sleep(dialTimesHalfLife)
		is.Equal(d.timeout(), 400*time.Millisecond)
		time.Sleep(dialTimesHalfLife)
		is.Equal(d.timeout(), relayDialTimeout)
		d.record(time.Minute)
		is.Equal(d.timeout(), relayDialTimeoutMax)
	})
}

// waitForWaiters waits until so many calls wait for a connection.
func waitForWaiters(t *testing.T, p *pool, address string, n int) {
	t.Helper()
	waitForCount(t, n, func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiters[address])
	})
}

// waitForIdle waits until so many connections are idle.
func waitForIdle(t *testing.T, p *pool, address string, n int) {
	t.Helper()
	waitForCount(t, n, func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle[address])
	})
}

// waitForCount waits until count returns n.
func waitForCount(t *testing.T, n int, count func() int) {
	t.Helper()
	for t.Context().Err() == nil {
		if count() == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
