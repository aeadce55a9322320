package conn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes find connections that went silent without an end: to a machine that lost
// power or is behind a partition, or ones that a middlebox forgot.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// NewDialer returns a dialer whose connections open within a time, are probed, and
// count as broken once bytes stay unacknowledged for longer than unacked.
func NewDialer(within, unacked time.Duration) net.Dialer {
	return net.Dialer{Timeout: within, KeepAliveConfig: probes, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds())) // #nosec G115
		}); e != nil {
			return e
		}
		return err
	}}
}

// Listen listens on an address. Accepted connections are probed, so that those of
// peers that are gone end.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: probes}
	return l.Listen(ctx, "tcp", address)
}
