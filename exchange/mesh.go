package exchange

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// reportPeriod is the time between two reports to the daemons of the zone while
	// these are few; with more than smallZone of them it grows in proportion, so
	// that the messages that one daemon takes do not grow with the zone.
	reportPeriod = 50 * time.Millisecond
	smallZone    = 6
	// relayPeriod is the time between two relays to other zones while the zone has
	// few daemons. Bytes between zones are dear; with reports of 600 ms of age, one
	// server got several calls too many from daemons of other zones.
	relayPeriod = 150 * time.Millisecond
	// quietPeriod is the longest time without a report.
	quietPeriod = 400 * time.Millisecond
	// chargesPeriod is the time between two reports with charges and suspects.
	chargesPeriod = 200 * time.Millisecond
	// forgetAfter is the time without a connection after which a daemon that
	// is no seed is no longer dialled.
	forgetAfter = 20 * time.Second
	// dialWithin, helloWithin and writeWithin bound one step with a peer.
	dialWithin  = 500 * time.Millisecond
	helloWithin = time.Second
	writeWithin = time.Second
	// redialMin and redialMax bound the pause before a peer is dialled again.
	redialMin = 200 * time.Millisecond
	redialMax = 2 * time.Second
)

// Options are what a Mesh needs.
type Options struct {
	Self     Member
	Listener net.Listener
	// Dial connects to another daemon.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds returns addresses of daemons to try first.
	Seeds func() []string
	// Export returns the next report; with charges it also names these.
	Export func(charges bool) Report
	// Import takes over the report of another daemon.
	Import  func(r Report)
	Journal wigeonladder.Journal
}

// Mesh is the set of connections of one daemon to the others.
type Mesh struct {
	o   Options
	ctx context.Context

	mu    sync.Mutex
	peers map[string]*peer
	// heard is what was heard of other daemons, by name.
	heard map[string]origin
	// pending are the reports of this zone that were not relayed yet, by name.
	pending map[string]Report
	// turn counts relays, so that they go to another daemon of a zone each time.
	turn int
	// packer is used by the goroutine that sends reports.
	packer *packer
	// reports and bytes are what was sent.
	reports, bytes int64
}

// New starts a mesh. It ends with the context.
func New(ctx context.Context, o Options) *Mesh {
	m := &Mesh{o: o, ctx: ctx, peers: map[string]*peer{}, heard: map[string]origin{}, pending: map[string]Report{}, packer: newPacker()}
	context.AfterFunc(ctx, func() { _ = o.Listener.Close() })
	go m.accept()
	go m.report()
	return m
}

// AliveCount returns the number of daemons that are alive, this one included.
func (m *Mesh) AliveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, o := range m.heard {
		if time.Now().Before(o.until) {
			n++
		}
	}
	return n
}

// PeerAddresses returns the addresses of the daemons that are dialled, sorted.
func (m *Mesh) PeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]string, 0, len(m.peers))
	for a := range m.peers {
		l = append(l, a)
	}
	slices.Sort(l)
	return l
}

// SentTotals returns the number of reports that were sent, and their bytes.
func (m *Mesh) SentTotals() (reports, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports, m.bytes
}

// learn starts to dial a daemon that was not known.
func (m *Mesh) learn(address string) {
	if address == "" || address == m.o.Self.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	p := &peer{mesh: m, address: address, out: make(chan message, outQueue)}
	m.peers[address] = p
	go p.run(m.ctx)
}

// forget drops a daemon that cannot be reached.
func (m *Mesh) forget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, address)
}

// accept serves the connections that other daemons dial.
func (m *Mesh) accept() {
	for {
		c, err := m.o.Listener.Accept()
		if m.ctx.Err() != nil {
			return
		}
		if err != nil {
			m.o.Journal.Note("", "peer_accept_failed", "error", err)
			pause(m.ctx, redialMin)
			continue
		}
		newConn(m.ctx, c, jsonrpc2.HandlerWithError(m.serve))
	}
}

// serve handles one message of another daemon.
func (m *Mesh) serve(_ context.Context, _ *jsonrpc2.Conn, q *jsonrpc2.Request) (any, error) {
	if q.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch q.Method {
	case methodHello:
		var v Member
		if err := json.Unmarshal(*q.Params, &v); err != nil {
			return nil, err
		}
		known := append(m.PeerAddresses(), m.o.Self.Address)
		m.learn(v.Address)
		return HelloReply{Self: m.o.Self, KnownAddresses: known}, nil
	case methodReport, methodRelay, methodRelayed:
		l, err := unpack(*q.Params)
		if err != nil {
			m.o.Journal.Note("", "peer_report_unreadable", "error", err)
			return nil, err
		}
		m.receive(q.Method, l, *q.Params)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: q.Method}
}

// receive takes over reports. Those that come from another zone are passed on to
// the daemons of this one.
func (m *Mesh) receive(method string, l []Report, params json.RawMessage) {
	fresh := false
	for _, r := range l {
		fresh = m.take(r, method == methodReport) || fresh
	}
	if fresh && method == methodRelay {
		m.send(m.zonePeers(true), message{methodRelayed, params})
	}
}

// take takes over a report; it is false for one that is not newer than the last one
// of that daemon. A direct report comes from a daemon of this zone.
func (m *Mesh) take(r Report, direct bool) bool {
	if r.From == m.o.Self.Name {
		return false
	}
	now := time.Now()
	m.mu.Lock()
	last := m.heard[r.From]
	if last.incarnation == r.Incarnation && r.Sequence <= last.number {
		m.mu.Unlock()
		return false
	}
	m.heard[r.From] = origin{incarnation: r.Incarnation, number: r.Sequence, until: now.Add(r.Lifetime()), direct: direct}
	if direct {
		m.pending[r.From] = m.pending[r.From].WithNext(r)
	}
	m.mu.Unlock()
	if now.After(last.until) {
		m.o.Journal.Note("", "peer_heard", "peer", r.From, "incarnation", r.Incarnation)
	}
	m.o.Import(r)
	return true
}

// linked takes over what a daemon said of itself and of others.
func (m *Mesh) linked(p *peer, w HelloReply) {
	m.mu.Lock()
	p.zone, p.linked = w.Self.Zone, true
	m.mu.Unlock()
	for _, a := range w.KnownAddresses {
		m.learn(a)
	}
}

// unlinked notes the end of the connection to a daemon.
func (m *Mesh) unlinked(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.linked = false
}

// report sends reports to the daemons of the zone, and relays those of the zone to
// other zones if that is up to this daemon, until the context ends.
func (m *Mesh) report() {
	var sent, charged, relayed time.Time
	for number := int64(1); pause(m.ctx, m.period(reportPeriod)); {
		for _, s := range m.o.Seeds() {
			m.learn(s)
		}
		now := time.Now()
		charges := now.Sub(charged) >= chargesPeriod
		if charges {
			charged = now
		}
		if r := m.o.Export(charges); !r.empty() || now.Sub(sent) >= quietPeriod {
			sent = now
			m.broadcast(r, number)
			number++
		}
		if now.Sub(relayed) >= m.period(relayPeriod) {
			relayed = now
			m.relay()
		}
	}
}

// broadcast sends a report to the daemons of the zone.
func (m *Mesh) broadcast(r Report, number int64) {
	r.From, r.Incarnation, r.Sequence = m.o.Self.Name, m.o.Self.Incarnation, number
	r.MaxIntervalMs = max(m.period(reportPeriod), quietPeriod).Milliseconds()
	m.mu.Lock()
	m.pending[r.From] = m.pending[r.From].WithNext(r)
	m.mu.Unlock()
	if peers := m.zonePeers(true); len(peers) > 0 {
		m.pack(methodReport, []Report{r}, peers)
	}
}

// empty reports whether a report says nothing.
func (r Report) empty() bool {
	return len(r.Place.Loads) == 0 && len(r.Place.Sent) == 0 && r.Charges == nil && len(r.Totals) == 0 && len(r.Suspicions) == 0
}

// period is the time between two messages in a zone of this size, given that in a
// small one.
func (m *Mesh) period(small time.Duration) time.Duration {
	return small * time.Duration(max(len(m.zonePeers(true)), smallZone)) / smallZone
}

// zonePeers returns the daemons of the zone, or all others.
func (m *Mesh) zonePeers(near bool) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []*peer
	for _, p := range m.peers {
		if (p.zone == m.o.Self.Zone) == near {
			l = append(l, p)
		}
	}
	return l
}

// pack sends reports to peers.
func (m *Mesh) pack(method string, l []Report, to []*peer) {
	data, err := m.packer.pack(l)
	if err != nil {
		m.o.Journal.Note("", "peer_report_failed", "error", err)
		return
	}
	m.send(to, message{method, data})
}

// send sends a message to peers. One that does not keep up misses it.
func (m *Mesh) send(to []*peer, x message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range to {
		select {
		case p.out <- x:
			m.reports++
			m.bytes += int64(len(x.params))
		default:
		}
	}
}

// pause waits for a time; it reports false if the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
