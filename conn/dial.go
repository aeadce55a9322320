package conn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive detects connections that are dead although no peer closed them: the
// machine lost power, is behind a partition, or a middlebox dropped the
// connection's state.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// NewDialer returns a dialer whose connections open within dialTimeout, send
// keep-alive probes, and fail once sent bytes stay unacknowledged for longer
// than unackedTimeout.
func NewDialer(dialTimeout, unackedTimeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())) // #nosec G115
		}); e != nil {
			return e
		}
		return err
	}}
}

// ListenWithoutKeepAlive listens on a TCP address for a Listener, which sets
// keep-alive probes only for the connections that it accepts. Those that it
// refuses then cost fewer system calls.
func ListenWithoutKeepAlive(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1}
	return l.Listen(ctx, "tcp", address)
}

// Listen listens on a TCP address. Accepted connections send keep-alive probes,
// so that connections to dead peers end.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive}
	return l.Listen(ctx, "tcp", address)
}
