package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy is a stand-in for the network in front of a target. It forwards TCP
// connections to the target and can cut the links of sources by their IP address.
// It holds back the bytes on a cut link, as a partitioned network does. Connections
// that were open during the cut continue when the link is restored.
type Proxy struct {
	ln     net.Listener
	target string

	mu sync.Mutex
	// cutLinks holds the sources whose links are cut. The channel is closed when the
	// link is restored.
	cutLinks map[string]chan struct{}
	conns    map[net.Conn]struct{}
	closed   chan struct{}
}

// proxyDialTimeout is the timeout of a dial to the target.
const proxyDialTimeout = 2 * time.Second

// proxyBufferBytes is the maximum size of one read.
const proxyBufferBytes = 16 << 10

// NewProxy returns a proxy that forwards connections of the listener to the target
// until Close is called.
func NewProxy(ln net.Listener, target string) *Proxy {
	p := &Proxy{
		ln:       ln,
		target:   target,
		cutLinks: map[string]chan struct{}{},
		conns:    map[net.Conn]struct{}{},
		closed:   make(chan struct{}),
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

// SetLinkCut cuts or restores the link from a source IP address; "*" is every
// source.
func (p *Proxy) SetLinkCut(source string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	restored, isCut := p.cutLinks[source]
	if cut && !isCut {
		p.cutLinks[source] = make(chan struct{})
	}
	if !cut && isCut {
		close(restored)
		delete(p.cutLinks, source)
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() error {
	err := p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return err
	default:
		close(p.closed)
	}
	for c := range p.conns {
		_ = c.Close()
	}
	return err
}

// waitWhileCut blocks while the link from the source is cut. It returns false if
// the proxy was closed meanwhile.
func (p *Proxy) waitWhileCut(source string) bool {
	for {
		p.mu.Lock()
		restored := p.cutLinks[source]
		if restored == nil {
			restored = p.cutLinks["*"]
		}
		p.mu.Unlock()
		if restored == nil {
			return true
		}
		select {
		case <-restored:
		case <-p.closed:
			return false
		}
	}
}

// forward connects one source to the target. It dials from the source's IP
// address, so that the target sees the address of the caller.
func (p *Proxy) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	source := hostOf(from.RemoteAddr())
	if !p.waitWhileCut(source) {
		return
	}
	d := net.Dialer{Timeout: proxyDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	to, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if !p.track(from, to) {
		return
	}
	defer p.untrack(from, to)
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(to, from, source) })
	copies.Go(func() { p.copy(from, to, source) })
	copies.Wait()
}

// copy forwards bytes in one direction while the link is not cut. At the end of
// the input it closes the write half of the output.
func (p *Proxy) copy(to, from net.Conn, source string) {
	defer func() {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	b := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(b)
		if !p.waitWhileCut(source) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}

func (p *Proxy) track(cs ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return false
	default:
	}
	for _, c := range cs {
		p.conns[c] = struct{}{}
	}
	return true
}

func (p *Proxy) untrack(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		delete(p.conns, c)
	}
}

// hostOf returns the IP address of a TCP address.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}
