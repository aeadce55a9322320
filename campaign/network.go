package campaign

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The one-way delays of the network within a zone and between zones, without
// the random part.
const (
	zoneDelay      = 200 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
	// connBufferMessages is the number of messages that a connection takes before
	// the sender blocks, like the buffers of a socket.
	connBufferMessages = 64
)

// network carries connections between addresses. While a pair of addresses is
// blocked, its connections hold back their bytes and deliver them afterwards,
// as TCP does.
type network struct {
	ctx context.Context

	mu        sync.Mutex
	random    *rand.Rand
	zones     map[string]string
	listeners map[string]*listener
	// blocked counts the active faults that block a pair of addresses.
	blocked map[[2]string]int
	// changed is closed and replaced when blocked changes.
	changed chan struct{}
	// maxExtraDelay is the longest extra delay of a message.
	maxExtraDelay time.Duration
	conns         map[*connection]bool
}

// newNetwork returns a network without addresses. It works until the context
// ends.
func newNetwork(ctx context.Context, seed uint64) *network {
	return &network{
		ctx:       ctx,
		random:    rand.New(rand.NewPCG(seed, 2)),
		zones:     map[string]string{},
		listeners: map[string]*listener{},
		blocked:   map[[2]string]int{},
		changed:   make(chan struct{}),
		conns:     map[*connection]bool{},
	}
}

// listener accepts connections to one address.
type listener struct {
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return nil }

// listen opens an address. A later listener replaces an earlier one.
func (n *network) listen(address, zone string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{in: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address], n.zones[address] = l, zone
	return l
}

// adjustBlocks adds a fault that blocks two addresses or, with -1, removes one.
func (n *network) adjustBlocks(a, b string, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[addressPair(a, b)] += by
	close(n.changed)
	n.changed = make(chan struct{})
}

// addressPair returns the unordered pair of two addresses.
func addressPair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// addExtraDelay changes the longest extra delay of a message.
func (n *network) addExtraDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraDelay += d
}

// resetConns breaks all connections between two addresses. The messages on
// their way are lost.
func (n *network) resetConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w := range n.conns {
		if w.pair == addressPair(a, b) {
			w.cancel()
		}
	}
}

// suppressClose makes the open connections of an address end without a notice
// to the other side, as when a VM is lost.
func (n *network) suppressClose(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w := range n.conns {
		if w.pair[0] == address || w.pair[1] == address {
			w.silentAddress = address
		}
	}
}

// isCloseSuppressed reports whether the other side of a connection does not see
// an address close it.
func (n *network) isCloseSuppressed(w *connection, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return w.silentAddress == address
}

// waitOpen waits until a pair of addresses is not blocked. It returns false if
// the context ended.
func (n *network) waitOpen(ctx context.Context, pair [2]string) bool {
	for {
		n.mu.Lock()
		blocked, changed := n.blocked[pair] > 0, n.changed
		n.mu.Unlock()
		if !blocked {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// messageDelay draws the delay of one message between a pair of addresses.
func (n *network) messageDelay(pair [2]string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := zoneDelay
	if n.zones[pair[0]] != n.zones[pair[1]] {
		d = crossZoneDelay
	}
	d += time.Duration(n.random.Int64N(int64(d)))
	if n.maxExtraDelay > 0 {
		d += time.Duration(n.random.Int64N(int64(n.maxExtraDelay)))
	}
	return d
}

// dial returns the dial function of an address.
func (n *network) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		pair := addressPair(from, to)
		if !n.waitOpen(ctx, pair) || !sleep(ctx, 2*n.messageDelay(pair)) {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		near, far := n.newConnection(from, to)
		select {
		case l.in <- far:
			return near, nil
		case <-l.done:
		case <-ctx.Done():
		}
		return nil, errors.Join(errors.New("connection refused"), near.Close(), far.Close())
	}
}

// connection consists of two pipes, between which messages are forwarded in
// each direction.
type connection struct {
	network *network
	pair    [2]string
	ctx     context.Context
	cancel  context.CancelFunc
	// silentAddress is the address whose close the other side does not see.
	silentAddress string
}

// newConnection returns the two ends of a new connection.
func (n *network) newConnection(from, to string) (near, far net.Conn) {
	near, a := net.Pipe()
	far, b := net.Pipe()
	w := &connection{network: n, pair: addressPair(from, to)}
	w.ctx, w.cancel = context.WithCancel(n.ctx)
	n.mu.Lock()
	n.conns[w] = true
	n.mu.Unlock()
	w.forward(from, a, b)
	w.forward(to, b, a)
	context.AfterFunc(w.ctx, func() {
		_, _ = a.Close(), b.Close()
		n.mu.Lock()
		delete(n.conns, w)
		n.mu.Unlock()
	})
	return near, far
}

// message holds the bytes of one write and the time of their arrival.
type message struct {
	data []byte
	at   time.Time
}

// forward carries messages in one direction, in order, until either side
// closes.
func (w *connection) forward(sender string, from, to net.Conn) {
	queue := make(chan message, connBufferMessages)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 64<<10)
			k, err := from.Read(b)
			if err != nil {
				return
			}
			select {
			case queue <- message{b[:k], time.Now().Add(w.network.messageDelay(w.pair))}:
			case <-w.ctx.Done():
				return
			}
		}
	}()
	go func() {
		// The close also arrives only when the pair is not blocked.
		defer func() {
			if !w.network.isCloseSuppressed(w, sender) && w.network.waitOpen(w.ctx, w.pair) {
				w.cancel()
			}
		}()
		for p := range queue {
			if !sleep(w.ctx, time.Until(p.at)) || !w.network.waitOpen(w.ctx, w.pair) {
				return
			}
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
}

// sleep waits. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
