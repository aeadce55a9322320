package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedWithin is how long sent bytes may stay unacknowledged before a
	// connection to the store or to another daemon counts as broken.
	unackedWithin = 1500 * time.Millisecond
	// probeAfter, probeEvery and probeCount find connections that went silent.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 3
	// dialWithin bounds the opening of a connection.
	dialWithin = time.Second
)

// probes are the keep-alive probes of all connections.
var probes = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}

// dial connects to the store or to another daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialWithin, KeepAliveConfig: probes, Control: boundUnacked}
	return d.DialContext(ctx, "tcp", address)
}

// listen listens on an address. Accepted connections are probed, so that those
// of peers that are gone end.
func listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: probes}
	return l.Listen(ctx, "tcp", address)
}

// boundUnacked bounds the time for which a connection waits for
// acknowledgements.
func boundUnacked(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedWithin.Milliseconds())) // #nosec G115
	}); e != nil {
		return e
	}
	return err
}
