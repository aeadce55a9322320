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

// maxQueuedMessages is the number of messages that may wait for a peer.
const maxQueuedMessages = 8

// message is one notification.
type message struct {
	method string
	params json.RawMessage
}

// peer connects to one other daemon and sends it messages.
type peer struct {
	mesh    *Mesh
	address string
	queue   chan message
	// zone, name and memoryMB are those of the daemon, empty until it answers a hello.
	// passes is true if it passes reports on, columns if it reads reports in columns,
	// feeds if it offers what it reads from the store. conn is the connection, nil
	// without one. connected is true while there is a
	// connection, connectedAt when that began. The mutex of the mesh guards them.
	zone, name  string
	memoryMB    int64
	passes      bool
	columns     bool
	feeds       bool
	conn        *jsonrpc2.Conn
	connected   bool
	connectedAt time.Time
}

// member returns what the daemon told of itself.
func (p *peer) member() Member {
	return Member{Name: p.name, Zone: p.zone, Address: p.address, MemoryMB: p.memoryMB}
}

// run keeps a connection to the daemon until the context ends or there has been
// no connection for forgetAfter.
func (p *peer) run(ctx context.Context) {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval, redialBackoff.MaxInterval = redialDelayMin, redialDelayMax
	lastConnected := time.Now()
	for {
		if p.session(ctx) {
			lastConnected = time.Now()
			redialBackoff.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if time.Since(lastConnected) > forgetAfter {
			p.mesh.removePeer(p.address)
			return
		}
		if !sleep(ctx, redialBackoff.NextBackOff()) {
			return
		}
	}
}

// session connects to the daemon and sends it messages until the connection
// ends. It reports whether the daemon answered the hello.
func (p *peer) session(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := p.mesh.options.Dial(dialCtx, p.address)
	cancel()
	if err != nil {
		return false
	}
	conn := newConn(ctx, c, p.mesh.handler())
	defer func() { _ = conn.Close() }()
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	var reply HelloReply
	err = conn.Call(helloCtx, methodHello, p.mesh.options.Self, &reply)
	cancel()
	if err != nil {
		return false
	}
	p.mesh.options.Journal.Note("", "peer_linked", "address", p.address)
	p.mesh.noteConnected(p, conn, reply)
	defer p.mesh.noteDisconnected(p)
	p.send(ctx, conn)
	p.mesh.options.Journal.Note("", "peer_lost", "address", p.address)
	return true
}

// send sends queued messages until the connection ends.
func (p *peer) send(ctx context.Context, conn *jsonrpc2.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case x := <-p.queue:
			if err := conn.Notify(ctx, x.method, x.params); err != nil {
				return
			}
		}
	}
}

// newConn starts a jsonrpc2 connection. It discards the log of jsonrpc2,
// because calls and notifications return the errors.
func newConn(ctx context.Context, c net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	s := newBoundedStream(limitedConn{c})
	return jsonrpc2.NewConn(ctx, s, h, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// limitedConn fails a write that takes longer than writeTimeout, so that a peer
// that does not read cannot block the sending of messages to it forever.
type limitedConn struct{ net.Conn }

// Write implements io.Writer.
func (c limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
