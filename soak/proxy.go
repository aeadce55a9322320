package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does with its connections.
type ProxyMode int

// Modes of a proxy.
const (
	// PassThrough forwards bytes.
	PassThrough ProxyMode = iota
	// Delayed forwards bytes after a delay.
	Delayed
	// Disconnected resets the open connections and closes new ones.
	Disconnected
	// DropResponses drops the bytes from the target, so that answers are lost
	// without an error.
	DropResponses
	// DropAll drops the bytes in both directions.
	DropAll
	// proxyModes is the number of modes.
	proxyModes
)

// delayedModeDelay is the delay of each read in the mode Delayed.
const delayedModeDelay = 40 * time.Millisecond

// proxy forwards TCP connections to a target.
type proxy struct {
	ctx      context.Context
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]struct{}
}

// listen listens on a free loopback port.
func listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", "127.0.0.1:0")
}

// newProxy returns a proxy that listens on a loopback address until close is
// called.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &proxy{ctx: ctx, listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// address returns the address on which the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Disconnected resets the open connections.
func (p *proxy) setMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Disconnected {
		p.resetConnsLocked()
	}
}

// resetConns resets the open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConnsLocked()
}

// resetConnsLocked is resetConns for callers that hold the lock.
func (p *proxy) resetConnsLocked() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// close closes the listener and resets the open connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Disconnected {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

// forward forwards one connection until both directions have ended.
func (p *proxy) forward(c net.Conn) {
	var d net.Dialer
	target, err := d.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(target, c, func(mode ProxyMode) bool { return mode == DropAll }) })
	done.Go(func() {
		p.copy(c, target, func(mode ProxyMode) bool { return mode == DropAll || mode == DropResponses })
	})
	done.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy forwards bytes in one direction. After it has dropped bytes it drops all
// that follow on the connection, so that the receiver never sees a gap.
func (p *proxy) copy(to, from net.Conn, drops func(ProxyMode) bool) {
	b := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(b)
		mode := p.currentMode()
		dropped = dropped || n > 0 && drops(mode)
		if mode == Delayed {
			time.Sleep(delayedModeDelay)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) && !dropped {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
