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
	l := NewListener(n, writeTimeout)
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
	_, err := NewListener(s, 0).Accept()
	is.New(t).Equal(err, net.ErrClosed)
	is.New(t).Equal(s.failures, 0)
}
