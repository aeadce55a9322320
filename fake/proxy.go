package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy is a stand-in for the network between two parties. It forwards TCP
// connections to a target and can cut off sources by their IP address. Bytes
// on a cut link are held, as they are on a partitioned network; connections
// that were open during the cut go on when it is mended.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cut   map[string]chan struct{}
	conns map[net.Conn]struct{}
	done  chan struct{}
}

// relayDialTimeout bounds the connection to the target.
const relayDialTimeout = 2 * time.Second

// relayBuffer is the size of one copy step in bytes.
const relayBuffer = 16 << 10

// NewProxy forwards connections of the listener to the target until Close.
func NewProxy(ln net.Listener, target string) *Proxy {
	r := &Proxy{
		ln:     ln,
		target: target,
		cut:    map[string]chan struct{}{},
		conns:  map[net.Conn]struct{}{},
		done:   make(chan struct{}),
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r
}

// SetLinkCut cuts off or mends the link from a source IP address; "*" is every source.
func (r *Proxy) SetLinkCut(source string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, isCut := r.cut[source]
	if on && !isCut {
		r.cut[source] = make(chan struct{})
	}
	if !on && isCut {
		close(held)
		delete(r.cut, source)
	}
}

// Close ends the relay and its connections.
func (r *Proxy) Close() error {
	err := r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return err
	default:
		close(r.done)
	}
	for c := range r.conns {
		_ = c.Close()
	}
	return err
}

// wait holds the caller while the source is cut off. It reports false when the
// relay has ended.
func (r *Proxy) wait(source string) bool {
	for {
		r.mu.Lock()
		held := r.cut[source]
		if held == nil {
			held = r.cut["*"]
		}
		r.mu.Unlock()
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-r.done:
			return false
		}
	}
}

// forward connects one source to the target. It dials from the source's IP
// address, so that the target sees who calls.
func (r *Proxy) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	source := hostOf(from.RemoteAddr())
	if !r.wait(source) {
		return
	}
	d := net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	to, err := d.DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if !r.track(from, to) {
		return
	}
	defer r.untrack(from, to)
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, source) })
	both.Go(func() { r.copy(from, to, source) })
	both.Wait()
}

// copy moves bytes one way while the link is not cut. When one side ends, the
// other side's writing half is closed.
func (r *Proxy) copy(to, from net.Conn, source string) {
	defer func() {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		if !r.wait(source) {
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

func (r *Proxy) track(cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return false
	default:
	}
	for _, c := range cs {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *Proxy) untrack(cs ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cs {
		delete(r.conns, c)
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
