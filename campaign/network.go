package campaign

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Delays of the network, one way.
const (
	zoneDelay  = 200 * time.Microsecond
	crossDelay = 1500 * time.Microsecond
	// wireBuffer is the number of messages that a connection takes before the
	// sender blocks, like the buffers of a socket.
	wireBuffer = 64
)

// network carries connections between addresses. A connection over a cut way
// holds its bytes and delivers them after the way is whole again, as TCP does.
type network struct {
	ctx context.Context

	mu        sync.Mutex
	random    *rand.Rand
	zones     map[string]string
	listeners map[string]*listener
	// blocked counts the reasons why nothing passes between two addresses.
	blocked map[[2]string]int
	changed chan struct{}
	// spike is the longest extra delay of a message.
	spike time.Duration
	wires map[*wire]bool
}

// newNetwork returns a network without addresses that works until the context
// ends.
func newNetwork(ctx context.Context, seed uint64) *network {
	return &network{
		ctx:       ctx,
		random:    rand.New(rand.NewPCG(seed, 2)),
		zones:     map[string]string{},
		listeners: map[string]*listener{},
		blocked:   map[[2]string]int{},
		changed:   make(chan struct{}),
		wires:     map[*wire]bool{},
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

// listen opens an address; a later listener replaces an earlier one.
func (n *network) listen(address, zone string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{in: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address], n.zones[address] = l, zone
	return l
}

// block adds or, with -1, removes a reason why nothing passes between two
// addresses.
func (n *network) block(a, b string, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[way(a, b)] += by
	close(n.changed)
	n.changed = make(chan struct{})
}

// way returns the unordered pair of two addresses.
func way(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// addSpike changes the longest extra delay of a message.
func (n *network) addSpike(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spike += d
}

// reset breaks all connections between two addresses; what they carried is
// lost.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w := range n.wires {
		if w.way == way(a, b) {
			w.cancel()
		}
	}
}

// silence makes the open connections of an address end without a word to the
// other side, as when a VM is lost.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w := range n.wires {
		if w.way[0] == address || w.way[1] == address {
			w.silent = address
		}
	}
}

// isSilent reports whether one side of a connection ends without a word.
func (n *network) isSilent(w *wire, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return w.silent == address
}

// pass waits until the way is open; it reports false if the context ended.
func (n *network) pass(ctx context.Context, w [2]string) bool {
	for {
		n.mu.Lock()
		blocked, changed := n.blocked[w] > 0, n.changed
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

// delay returns the time of one message on a way.
func (n *network) delay(w [2]string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := zoneDelay
	if n.zones[w[0]] != n.zones[w[1]] {
		d = crossDelay
	}
	d += time.Duration(n.random.Int64N(int64(d)))
	if n.spike > 0 {
		d += time.Duration(n.random.Int64N(int64(n.spike)))
	}
	return d
}

// dial returns the dialler of an address.
func (n *network) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		w := way(from, to)
		if !n.pass(ctx, w) || !sleep(ctx, 2*n.delay(w)) {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		near, far := n.connect(from, to)
		select {
		case l.in <- far:
			return near, nil
		case <-l.done:
		case <-ctx.Done():
		}
		return nil, errors.Join(errors.New("connection refused"), near.Close(), far.Close())
	}
}

// wire is one connection: two pipes and a relay in each direction.
type wire struct {
	net    *network
	way    [2]string
	ctx    context.Context
	cancel context.CancelFunc
	// silent is the address whose end of the connection is not seen.
	silent string
}

// connect returns the two ends of a new connection.
func (n *network) connect(from, to string) (near, far net.Conn) {
	near, a := net.Pipe()
	far, b := net.Pipe()
	w := &wire{net: n, way: way(from, to)}
	w.ctx, w.cancel = context.WithCancel(n.ctx)
	n.mu.Lock()
	n.wires[w] = true
	n.mu.Unlock()
	w.relay(from, a, b)
	w.relay(to, b, a)
	context.AfterFunc(w.ctx, func() {
		_, _ = a.Close(), b.Close()
		n.mu.Lock()
		delete(n.wires, w)
		n.mu.Unlock()
	})
	return near, far
}

// parcel is what was written at once and when it arrives.
type parcel struct {
	data []byte
	at   time.Time
}

// relay carries bytes in one direction, in order, until either side closes.
func (w *wire) relay(sender string, from, to net.Conn) {
	queue := make(chan parcel, wireBuffer)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 64<<10)
			k, err := from.Read(b)
			if err != nil {
				return
			}
			select {
			case queue <- parcel{b[:k], time.Now().Add(w.net.delay(w.way))}:
			case <-w.ctx.Done():
				return
			}
		}
	}()
	go func() {
		// The end of a stream also waits for the way to be open.
		defer func() {
			if !w.net.isSilent(w, sender) && w.net.pass(w.ctx, w.way) {
				w.cancel()
			}
		}()
		for p := range queue {
			if !sleep(w.ctx, time.Until(p.at)) || !w.net.pass(w.ctx, w.way) {
				return
			}
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
}

// sleep waits; it reports false if the context ended first.
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
