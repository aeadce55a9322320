package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a Proxy does to its connections.
type ProxyMode int

// The proxyModes of a proxy.
const (
	// PassThrough passes bytes on.
	PassThrough ProxyMode = iota
	// Delayed passes bytes on late.
	Delayed
	// Disconnected resets connections and accepts none.
	Disconnected
	// DropResponses drops what comes back, so that answers are lost without an end.
	DropResponses
	// DropAll drops bytes both ways.
	DropAll
	proxyModes
)

// slowBy is the delay of a slow proxy.
const slowBy = 40 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	ctx      context.Context
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble ProxyMode
	conns   map[net.Conn]struct{}
}

// listen listens on a free loopback address.
func listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", "127.0.0.1:0")
}

// newProxy serves on a loopback address until close.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &proxy{ctx: ctx, listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the trouble. Cutting resets the open connections.
func (p *proxy) set(t ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	if t == Disconnected {
		p.resetAll()
	}
}

// reset resets the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll implements reset with the lock held.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// state returns the trouble.
func (p *proxy) state() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// accept passes connections on.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.state() == Disconnected {
			_ = c.Close()
			continue
		}
		go p.pass(c)
	}
}

// pass passes one connection on until either side ends.
func (p *proxy) pass(c net.Conn) {
	var d net.Dialer
	s, err := d.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(s, c, func(t ProxyMode) bool { return t == DropAll }) })
	done.Go(func() { p.copy(c, s, func(t ProxyMode) bool { return t == DropAll || t == DropResponses }) })
	done.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// copy passes bytes one way. A connection on which bytes were dropped carries no
// more.
func (p *proxy) copy(to, from net.Conn, drops func(ProxyMode) bool) {
	b := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(b)
		t := p.state()
		dropped = dropped || n > 0 && drops(t)
		if t == Delayed {
			time.Sleep(slowBy)
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
