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

// deadline bounds every wait; no test passes or fails by it unless it hangs.
const deadline = 20 * time.Second

// pair returns both ends of a connection; the first is watched.
func pair(t *testing.T, writeLimit time.Duration) (*Conn, net.Conn, *Listener) {
	t.Helper()
	is := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(n, writeLimit)
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

// Guards against a caller's end that goes unnoticed.
func TestWatchSeesTheEnd(t *testing.T) {
	c, peer, _ := pair(t, 0)
	gone := make(chan struct{})
	stop := c.Watch(func() { close(gone) })
	defer stop()
	is := is.New(t)
	is.NoErr(peer.Close())
	select {
	case <-gone:
	case <-time.After(deadline):
		t.Fatal("the end was not seen")
	}
	stop()
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against bytes that are lost, and false ends, when a watch stops
// before, while or after bytes arrive.
func TestWatchLosesNothing(t *testing.T) {
	c, peer, _ := pair(t, 0)
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
		stop := c.Watch(func() { t.Error("a false end") })
		stop()
		stop()
		b := make([]byte, 3)
		_, err := io.ReadFull(c, b)
		is.NoErr(err)
		got.Write(b)
	}
	is.Equal(got.String(), strings.Repeat("abc", rounds))
}

// Guards against a caller that reads nothing and holds a slot for ever.
func TestWriteLimit(t *testing.T) {
	c, _, _ := pair(t, 20*time.Millisecond)
	var err error
	for b := make([]byte, 1<<20); err == nil; {
		_, err = c.Write(b)
	}
	is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a last answer that is lost because the peer still sends.
func TestLinger(t *testing.T) {
	c, peer, l := pair(t, 0)
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

// shortListener has no file descriptor left for its first callers.
type shortListener struct {
	net.Listener
	short int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.short > 0 {
		l.short--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return nil, net.ErrClosed
}

// Guards against a server that stops accepting for good after a shortage.
func TestAcceptOutlastsShortage(t *testing.T) {
	s := &shortListener{short: 3}
	_, err := NewListener(s, 0).Accept()
	is.New(t).Equal(err, net.ErrClosed)
	is.New(t).Equal(s.short, 0)
}
