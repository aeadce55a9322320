package daemon

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/configservice"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/setting"
)

// Options configure a Daemon.
type Options struct {
	Settings setting.Settings
	// Log receives one line for each event; nil for none.
	Log log.Interface
	// Placer replaces the entry role's queue, so that the demo can measure
	// other scheduling policies on the same request path; nil for the queue.
	Placer wigeonladder.Placer
}

// Daemon is one running daemon: a Core and its HTTP servers for callers and
// operators.
type Daemon struct {
	*Core
	settings setting.Settings
	caller   *caller.Server
	operator *operator.Server

	drainRequested chan struct{}
	drainOnce      sync.Once
	cancel         context.CancelFunc
	done           chan struct{}
}

// New starts a daemon. The daemon runs until the context ends, which stops it
// at once, or until a graceful shutdown that Drain started is complete.
func New(ctx context.Context, o Options) (*Daemon, error) {
	sockets, err := listen(ctx, o.Settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	id := uuid.New()
	d := &Daemon{
		settings:       o.Settings,
		drainRequested: make(chan struct{}),
		cancel:         cancel,
		done:           make(chan struct{}),
	}
	d.Core = NewCore(ctx, CoreOptions{
		Settings:    o.Settings,
		Incarnation: hex.EncodeToString(id[:6]),
		Seed:        binary.BigEndian.Uint64(id[8:]),
		Platform:    configservice.NewClient(o.Settings.PlatformAddress),
		NewBackend: func(kind func(string) wigeonladder.ServiceKind) wigeonladder.Backend {
			return backend.NewClient(backend.Options{Kind: kind, LocalIP: hostOf(o.Settings.PeerAddress)})
		},
		Listener: sockets.peer,
		Dial:     dialFrom(o.Settings.PeerAddress),
		Placer:   o.Placer,
		Log:      o.Log,
	})
	d.buildServers(ctx, sockets)
	go func() {
		defer close(d.done)
		d.run(ctx)
	}()
	return d, nil
}

// buildServers starts the HTTP servers for callers and operators.
func (d *Daemon) buildServers(ctx context.Context, sockets listeners) {
	d.caller = caller.NewServer(ctx, caller.Options{
		Listener:     sockets.caller,
		Config:       d.watcher.Config,
		Runner:       d.runner,
		Tickets:      d.issuer,
		MaxBodyBytes: d.settings.MaxBodyBytes,
		MemoryBytes:  int64(d.settings.CallerMemoryMB) << 20,
		MaxConns:     d.settings.MaxConns,
		Draining:     func() bool { return d.Draining() || d.watcher.Config().Revision == 0 },
		Refusing:     d.Refusing,
		Journal:      d.journal,
	})
	d.operator = operator.NewServer(ctx, operator.Options{
		Listener:    sockets.operator,
		KeyHashes:   d.settings.OperatorKeyHashes,
		Journal:     d.journal,
		Dump:        func() any { return d.Dump() },
		Metrics:     func() string { return d.Metrics().String() },
		Drain:       d.Drain,
		DrainStatus: func() operator.DrainStatus { return d.DrainStatus(d.caller.OpenRequests()) },
	})
}

// Done returns a channel that is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// listeners are the three listening sockets of a daemon.
type listeners struct {
	peer, caller, operator net.Listener
}

// listen opens all three sockets; if one fails, it closes the others.
func listen(ctx context.Context, s setting.Settings) (listeners, error) {
	var errs wigeonladder.Errors
	var lc net.ListenConfig
	open := func(place, address string) net.Listener {
		ln, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			errs = append(errs, wigeonladder.Errorf(wigeonladder.CodeBadSettings, place, "%v", err))
		}
		return ln
	}
	l := listeners{
		peer:     open("settings.peer", s.PeerAddress),
		caller:   open("settings.caller", s.CallerAddress),
		operator: open("settings.operator", s.OperatorAddress),
	}
	if len(errs) == 0 {
		return l, nil
	}
	for _, ln := range []net.Listener{l.peer, l.caller, l.operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	return listeners{}, errs.ErrorOrNil()
}

// dialFrom returns a dial function whose connections come from the IP address
// of this daemon, because peers accept links only from addresses in the
// register.
func dialFrom(address string) func(context.Context, string) (net.Conn, error) {
	var d net.Dialer
	if ip := net.ParseIP(hostOf(address)); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, to string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to)
	}
}

// hostOf returns the host of an address with a port, or an empty string if the
// address is invalid.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
