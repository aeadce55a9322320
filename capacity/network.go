package capacity

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errRefused is the error of a dial to an address without a listener.
var errRefused = errors.New("connection refused")

// pipeNetwork is an in-memory network of pipes. With it a fleet can run on the
// virtual clock of a synctest bubble; that clock would not advance while a
// goroutine waits for a socket.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// pipeListener is a listener of the network.
type pipeListener struct {
	dialed chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.dialed:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return nil }

// listen returns a new listener for the address.
func (n *pipeNetwork) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &pipeListener{dialed: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = p
	return p
}

// dial connects to the listener of an address.
func (n *pipeNetwork) dial(ctx context.Context, to string) (net.Conn, error) {
	n.mu.Lock()
	p := n.listeners[to]
	n.mu.Unlock()
	if p == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case p.dialed <- b:
		return a, nil
	case <-p.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
