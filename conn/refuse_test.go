package conn

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that has arrived, but was not read yet, and whose
// connection is closed as idle.
func TestUnreadRequestIsNotIdle(t *testing.T) {
	c, peer, l := connPair(t, 0)
	is := is.New(t)
	_, err := io.WriteString(peer, "request")
	is.NoErr(err)
	for end := time.Now().Add(deadline); ; {
		if n, err := c.peek(); n == 1 && err == nil {
			break
		}
		is.True(time.Now().Before(end))
	}
	l.CloseIdle(0, nil)
	b := make([]byte, 7)
	_, err = io.ReadFull(c, b)
	is.NoErr(err)
	is.Equal(string(b), "request")
	is.True(c.BeginRequest())
	c.EndRequest()
	l.CloseIdle(0, nil)
	is.True(!c.BeginRequest())
}

// Guards against requests that wait unread for long in a process short of processor
// time, and no longer count as unread.
func TestUnreadRequestsStayUnread(t *testing.T) {
	is := is.New(t)
	l, open := limitedListener(t, Limits{MaxUnread: 1, RefusalResponse: func() []byte { return []byte("no") }})
	accepted := acceptAll(l)
	peers := open(1)
	c := <-accepted
	_, err := io.WriteString(peers[0], "request")
	is.NoErr(err)
	for end := time.Now().Add(deadline); ; {
		if n, err := c.peek(); n == 1 && err == nil {
			break
		}
		is.True(time.Now().Before(end))
	}
	l.mu.Lock()
	c.acceptedAt = c.acceptedAt.Add(-2 * unreadTime)
	l.mu.Unlock()
	wantRefused(t, open(1)[0], "request")
}

// wantRefused sends a request and asserts that it is refused.
func wantRefused(t *testing.T, c net.Conn, request string) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(c, request)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(deadline)))
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "no")
}

// Guards against requests that are closed without an answer while too many connections
// are open.
func TestRequestsBeyondOpenConnectionsAreRefused(t *testing.T) {
	l, open := limitedListener(t, Limits{MaxOpen: 1, RefusalResponse: func() []byte { return []byte("no") }})
	accepted := acceptAll(l)
	open(1)
	<-accepted
	for _, request := range []string{"GET / HTTP/1.1\r\n\r\n", "part", "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)} {
		wantRefused(t, open(1)[0], request)
	}
}

// Guards against a connection that is closed before a request has ended, which resets
// it, and against one that is kept although nothing follows.
func TestIsWholeRequest(t *testing.T) {
	for text, want := range map[string]bool{
		"GET / HTTP/1.1\r\n\r\n":                                                   true,
		"GET / HTTP/1.1\r\nA: b\r\n":                                               false,
		"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\na":                            false,
		"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab":                           true,
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\nab":                           false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n":          false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n": true,
	} {
		is.New(t).Equal(isWholeRequest([]byte(text)), want)
	}
}

// Guards against a caller that reads an answer so slowly that it holds it for long,
// though it reads a little within each write timeout; and against one that reads fast
// enough and is cut off.
func TestSlowReaderIsCutOff(t *testing.T) {
	const part = 1 << 10
	for name, x := range map[string]struct {
		period time.Duration
		served bool
	}{
		"slow": {900 * time.Millisecond, false},
		"fast": {100 * time.Millisecond, true},
		"late": {freeWriteTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server, peer := net.Pipe()
				c := &Conn{Conn: server, listener: NewListener(nil, Limits{WriteTimeout: time.Second})}
				go func() {
					for b := make([]byte, part); ; time.Sleep(x.period) {
						if _, err := io.ReadFull(peer, b); err != nil {
							return
						}
					}
				}()
				var err error
				for range 100 {
					if _, err = c.Write(make([]byte, part)); err != nil {
						break
					}
				}
				is.Equal(err == nil, x.served)
				is.Equal(errors.Is(err, os.ErrDeadlineExceeded), !x.served)
				is.NoErr(server.Close())
				time.Sleep(x.period) // until the reader has ended
			})
		})
	}
}

// Guards against callers that take the descriptors of a daemon by heads that they send
// slowly.
func TestSlowHeadIsInterrupted(t *testing.T) {
	is := is.New(t)
	c, peer, l := connPair(t, 0)
	_, err := io.WriteString(peer, "he")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 2))
	is.NoErr(err)
	l.InterruptSlowHeads(deadline)
	is.True(c.EndHead())
	l.InterruptSlowHeads(0)
	_, err = io.WriteString(peer, "ad")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 2))
	is.NoErr(err)
	is.True(c.BeginRequest())
	c.EndRequest()
	_, err = io.WriteString(peer, "he")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 2))
	is.NoErr(err)
	l.InterruptSlowHeads(0)
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.True(!c.EndHead())
}
