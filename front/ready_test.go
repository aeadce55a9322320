package front

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortListener fails its first calls of Accept for lack of file descriptors.
type shortListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that answers no readiness checks any more once it has run out
// of file descriptors, or whose descriptors are all taken by such connections.
func TestReadinessOutlastsShortage(t *testing.T) {
	is := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &shortListener{Listener: n}
	l.failures.Store(3)
	ServeReady(t.Context(), l, "/ready", func() bool { return true }, discardJournal{})
	for range 2 * maxReadinessConns {
		c, err := net.Dial("tcp", n.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	// The connections that stay silent end after readinessReadTimeout.
	for end := time.Now().Add(deadline); !isReady(n.Addr().String()); {
		is.True(time.Now().Before(end))
	}
}

// isReady reports whether a readiness check is answered with 200.
func isReady(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}
