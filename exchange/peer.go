package exchange

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"
)

// outQueue is the number of reports that wait for a peer.
const outQueue = 8

// message is one notification.
type message struct {
	method string
	params json.RawMessage
}

// peer is the way to one other daemon.
type peer struct {
	mesh    *Mesh
	address string
	out     chan message
	// zone is that of the daemon once it answered, and linked is true while there is
	// a connection. The mesh guards both.
	zone   string
	linked bool
}

// run keeps a connection to the daemon until the context ends or the daemon has
// not been there for long.
func (p *peer) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialMin, redialMax
	seen := time.Now()
	for {
		if p.session(ctx) {
			seen = time.Now()
			wait.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if time.Since(seen) > forgetAfter {
			p.mesh.forget(p.address)
			return
		}
		if !pause(ctx, wait.NextBackOff()) {
			return
		}
	}
}

// session dials the daemon and sends it reports until the connection ends. It
// reports whether there was one.
func (p *peer) session(ctx context.Context) bool {
	dial, cancel := context.WithTimeout(ctx, dialWithin)
	c, err := p.mesh.o.Dial(dial, p.address)
	cancel()
	if err != nil {
		return false
	}
	conn := newConn(ctx, c, jsonrpc2.HandlerWithError(p.mesh.serve))
	defer func() { _ = conn.Close() }()
	hello, cancel := context.WithTimeout(ctx, helloWithin)
	var w HelloReply
	err = conn.Call(hello, methodHello, p.mesh.o.Self, &w)
	cancel()
	if err != nil {
		return false
	}
	p.mesh.o.Journal.Note("", "peer_linked", "address", p.address)
	p.mesh.linked(p, w)
	defer p.mesh.unlinked(p)
	p.send(ctx, conn)
	p.mesh.o.Journal.Note("", "peer_lost", "address", p.address)
	return true
}

// send sends reports until the connection ends.
func (p *peer) send(ctx context.Context, conn *jsonrpc2.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case x := <-p.out:
			if err := conn.Notify(ctx, x.method, x.params); err != nil {
				return
			}
		}
	}
}

// newConn starts a jsonrpc2 connection. Its errors are seen by the calls, so
// that its own log is not needed.
func newConn(ctx context.Context, c net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	s := jsonrpc2.NewPlainObjectStream(limitedConn{c})
	return jsonrpc2.NewConn(ctx, s, h, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// limitedConn fails a write that takes too long: a peer that does not read must
// not hold up the reports to it for ever.
type limitedConn struct{ net.Conn }

// Write implements io.Writer.
func (c limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
