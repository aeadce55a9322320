package capacity

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errRefused is the error of a dial to an address where nobody listens.
var errRefused = errors.New("connection refused")

// wires is an in-memory network of pipes, so that a fleet runs on the virtual
// time of a synctest bubble.
type wires struct {
	mu        sync.Mutex
	listeners map[string]*pipes
}

// pipes is a listener of the network.
type pipes struct {
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return nil }

// listen opens a listener.
func (w *wires) listen(address string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &pipes{in: make(chan net.Conn), done: make(chan struct{})}
	w.listeners[address] = p
	return p
}

// dial connects to a listener.
func (w *wires) dial(ctx context.Context, to string) (net.Conn, error) {
	w.mu.Lock()
	p := w.listeners[to]
	w.mu.Unlock()
	if p == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case p.in <- b:
		return a, nil
	case <-p.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
