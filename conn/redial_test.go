package conn

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that reaches the store a second late after a partition,
// because its attempt to connect began before the end of it.
func TestRedialingConnectsSoonAfterAPartition(t *testing.T) {
	const partition, interval, timeout = 700 * time.Millisecond, 250 * time.Millisecond, time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var opened, closed atomic.Int64
		dial := Redialing(func(ctx context.Context, _ string) (net.Conn, error) {
			if time.Since(began) >= partition {
				opened.Add(1)
				return &countedConn{closed: &closed}, nil
			}
			select {
			case <-time.After(timeout):
				return nil, context.DeadlineExceeded
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, interval)
		c, err := dial(t.Context(), "x")
		is.NoErr(err)
		is.True(time.Since(began) < partition+interval)
		is.NoErr(c.Close())
		synctest.Wait()
		is.Equal(opened.Load(), closed.Load()) // no connection is left open
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refused := errors.New("refused")
		began := time.Now()
		_, err := Redialing(func(context.Context, string) (net.Conn, error) { return nil, refused }, interval)(t.Context(), "x")
		is.Equal(err, refused)
		is.Equal(time.Since(began), 0*time.Second)
	})
}

// countedConn counts its closing.
type countedConn struct {
	net.Conn
	closed *atomic.Int64
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Add(1)
	return nil
}
