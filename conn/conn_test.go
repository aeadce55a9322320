package conn

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadline bounds every wait. Only a test that hangs reaches it.
const deadline = 20 * time.Second

// connPair returns both ends of a connection, the accepted one first, and the
// listener that accepted it.
func connPair(t *testing.T, writeTimeout time.Duration) (*Conn, net.Conn, *Listener) {
	t.Helper()
	is := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(n, Limits{WriteTimeout: writeTimeout})
	peer, err := net.Dial("tcp", n.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		l.CloseConns()
		peer.Close()
		l.Close()
	})
	return c.(*Conn), peer, l
}

// Guards against a watch that does not report that the peer closed the
// connection.
func TestWatchReportsClose(t *testing.T) {
	c, peer, _ := connPair(t, 0)
	gone := make(chan struct{})
	stop := c.Watch(func() { close(gone) })
	defer stop()
	is := is.New(t)
	is.NoErr(peer.Close())
	select {
	case <-gone:
	case <-time.After(deadline):
		t.Fatal("the watch did not report the end of the connection")
	}
	stop()
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a caller that has left and is noticed only once a goroutine
// has been scheduled, and against one that counts as gone although it has sent
// more or waits.
func TestPeerGone(t *testing.T) {
	c, peer, _ := connPair(t, 0)
	is := is.New(t)
	stop := c.Watch(func() {})
	defer stop()
	is.True(!c.PeerGone())
	is.NoErr(peer.Close())
	for end := time.Now().Add(deadline); !c.PeerGone(); {
		is.True(time.Now().Before(end))
	}
	c, peer, _ = connPair(t, 0)
	_, err := io.WriteString(peer, "next")
	is.NoErr(err)
	is.NoErr(peer.Close())
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!c.PeerGone())
}

// Guards against lost bytes, and against reports of a disconnect that did not
// happen, when a watch stops before, while or after bytes arrive.
func TestWatchKeepsBytes(t *testing.T) {
	c, peer, _ := connPair(t, 0)
	is := is.New(t)
	const rounds = 300
	go func() {
		for range rounds {
			if _, err := io.WriteString(peer, "abc"); err != nil {
				return
			}
		}
	}()
	is.NoErr(c.SetReadDeadline(time.Now().Add(deadline)))
	var got strings.Builder
	for range rounds {
		stop := c.Watch(func() { t.Error("the watch reported an end that did not happen") })
		stop()
		stop()
		b := make([]byte, 3)
		_, err := io.ReadFull(c, b)
		is.NoErr(err)
		got.Write(b)
	}
	is.Equal(got.String(), strings.Repeat("abc", rounds))
}

// Guards against a caller that reads nothing and thereby occupies a slot
// forever.
func TestWriteTimeout(t *testing.T) {
	c, _, _ := connPair(t, 20*time.Millisecond)
	var err error
	for b := make([]byte, 1<<20); err == nil; {
		_, err = c.Write(b)
	}
	is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a last answer that the caller never reads because a reset
// overtakes it: closing a connection with unread bytes resets it.
func TestLinger(t *testing.T) {
	c, peer, l := connPair(t, 0)
	is := is.New(t)
	_, err := io.WriteString(peer, "unread")
	is.NoErr(err)
	_, err = io.WriteString(c, "last")
	is.NoErr(err)
	c.Linger()
	is.NoErr(c.Close())
	_, err = io.WriteString(peer, "more")
	is.NoErr(err)
	b, err := io.ReadAll(peer)
	is.NoErr(err)
	is.Equal(string(b), "last")
	is.NoErr(peer.Close())
	for end := time.Now().Add(deadline); l.OpenConns() > 0; {
		is.True(time.Now().Before(end))
	}
}

// exhaustedListener fails its first calls of Accept for lack of file
// descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return nil, net.ErrClosed
}

// Guards against a server that stops accepting for good once it has run out of
// file descriptors.
func TestAcceptRetriesAfterShortage(t *testing.T) {
	s := &exhaustedListener{failures: 3}
	_, err := NewListener(s, Limits{}).Accept()
	is.New(t).Equal(err, net.ErrClosed)
	is.New(t).Equal(s.failures, 0)
}

// limitedListener returns a listener with limits and a function that opens n
// connections to it.
func limitedListener(t *testing.T, limits Limits) (l *Listener, open func(n int) []net.Conn) {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	l = NewListener(n, limits)
	t.Cleanup(func() {
		l.CloseConns()
		l.Close()
	})
	return l, func(n int) []net.Conn {
		var conns []net.Conn
		for range n {
			c, err := net.Dial("tcp", l.Addr().String())
			is.New(t).NoErr(err)
			t.Cleanup(func() { c.Close() })
			conns = append(conns, c)
		}
		return conns
	}
}

// acceptAll accepts connections in the background and returns them.
func acceptAll(l *Listener) <-chan *Conn {
	accepted := make(chan *Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*Conn)
		}
	}()
	return accepted
}

// wantClosed asserts that the other end has closed a connection.
func wantClosed(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(deadline)))
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a flooded daemon that reads requests only after their callers
// have left, because it accepts more connections than it can read.
func TestUnreadConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	l, open := limitedListener(t, Limits{MaxUnread: 3, RefusalResponse: func() []byte { return []byte("no") }})
	accepted := acceptAll(l)
	peers := open(3)
	var conns []*Conn
	for range peers {
		c := <-accepted
		l.mu.Lock()
		c.acceptedAt = time.Now().Add(deadline) // counts as unread however long the test takes
		l.mu.Unlock()
		conns = append(conns, c)
	}
	for _, c := range open(2) {
		_, err := io.WriteString(c, strings.Repeat("request", 10_000))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(deadline)))
		b, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(string(b), "no")
		is.NoErr(c.Close())
	}
	is.Equal(l.ShedConns(), 2)

	_, err := io.WriteString(peers[0], "x")
	is.NoErr(err)
	_, err = conns[0].Read(make([]byte, 1))
	is.NoErr(err)
	open(1)
	<-accepted
	is.Equal(l.ShedConns(), 2)
}

// Guards against callers that are turned away because others hold connections
// that they opened in advance.
func TestSilentConnectionsDoNotCountAsUnread(t *testing.T) {
	l, open := limitedListener(t, Limits{MaxUnread: 3})
	accepted := acceptAll(l)
	open(3)
	for range 3 {
		c := <-accepted
		l.mu.Lock()
		c.acceptedAt = c.acceptedAt.Add(-2 * unreadTime)
		l.mu.Unlock()
	}
	open(3)
	for range 3 {
		<-accepted
	}
	is.New(t).Equal(l.ShedConns(), 0)
}

// Guards against callers that take the file descriptors which a daemon needs for
// its backend servers and its store.
func TestOpenConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	l, open := limitedListener(t, Limits{MaxOpen: 2})
	accepted := acceptAll(l)
	peers := open(3)
	first := <-accepted
	<-accepted
	wantClosed(t, peers[2])
	is.NoErr(first.Close())
	open(1)
	<-accepted
	is.Equal(l.OpenConns(), 2)
	is.Equal(l.ShedConns(), 1)
}
