package exchange

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/inventory"
	"github.com/wigeonladder/wigeonladder/stream"
)

const (
	// reportPeriod is the time between two reports to the daemons of the zone
	// while the zone has at most smallZoneDaemons other daemons. In a larger
	// zone the period grows in proportion, so that the rate of messages that
	// one daemon receives does not grow with the zone.
	reportPeriod     = 50 * time.Millisecond
	smallZoneDaemons = 6
	// relayPeriod is the time between two relays to other zones while the zone
	// is small. It is longer than reportPeriod because traffic between zones is
	// expensive. It must stay short, because daemons that act on old reports
	// overload a server: with reports 600 ms old, one server got several calls
	// too many from daemons of other zones.
	relayPeriod = 150 * time.Millisecond
	// maxReportPeriod is the time after which a daemon of a small zone sends a
	// report even if it is empty.
	maxReportPeriod = 400 * time.Millisecond
	// chargesPeriod is the time between two reports with charges and
	// suspicions.
	chargesPeriod = 200 * time.Millisecond
	// forgetAfter is the time without a connection after which a daemon is no
	// longer dialled, unless it is a seed.
	forgetAfter = 20 * time.Second
	// dialTimeout, helloTimeout and writeTimeout each bound one operation on a
	// connection to a peer.
	dialTimeout  = 500 * time.Millisecond
	helloTimeout = time.Second
	writeTimeout = time.Second
	// redialDelayMin and redialDelayMax bound the backoff before a peer is
	// dialled again.
	redialDelayMin = 200 * time.Millisecond
	redialDelayMax = 2 * time.Second
)

// Options configure a Mesh.
type Options struct {
	Self     Member
	Listener net.Listener
	// Dial connects to the daemon at an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds returns the addresses of daemons that are always dialled.
	Seeds func() []string
	// Export returns the content of the next report; charges tells whether to
	// include charges and suspicions.
	Export func(charges bool) Report
	// Import applies the report of another daemon.
	Import func(r Report)
	// Known returns the suspicions and limits that another daemon, such as one that has
	// just started, needs before it takes calls. Learn applies those that another
	// daemon returned. Both may be nil.
	Known func() Report
	Learn func(r Report)
	// ExportOrigins returns the origins of streams that are to be passed on,
	// ImportOrigins keeps those of other daemons, and FindOrigin finds one; nil for none.
	ExportOrigins func() []stream.Record
	ImportOrigins func([]stream.Record)
	FindOrigin    func(stream.Key) (stream.Origin, bool)
	// Feed offers what this daemon reads from the store to the daemons of its zone;
	// nil for none.
	Feed *inventory.Feed
	// StoreContact returns for how long the store has answered this daemon without a
	// break; nil if it does not follow one.
	StoreContact func() time.Duration
	Journal      wigeonladder.Journal
}

// Mesh connects one daemon to all others and exchanges reports with them.
type Mesh struct {
	options Options
	ctx     context.Context

	mu    sync.Mutex
	peers map[string]*peer
	// origins holds the state of each daemon whose reports arrive, by name.
	origins map[string]origin
	// pendingRelay holds the reports of this zone that were not relayed yet, by
	// name of the daemon. It stays empty while another daemon is the relay.
	pendingRelay map[string]Report
	// relays is true if this daemon relayed for its zone, or was about to, when
	// it was last due.
	relays bool
	// relayTurn counts relays, so that each goes to the next daemon of a zone.
	relayTurn int
	// hub is the daemon to which the reports of this one go, isHub is true if this
	// daemon is the hub of its zone; without either, they go to all daemons of the
	// zone.
	hub   *peer
	isHub bool
	// pendingUp and pendingDown hold the reports that were not passed on to the hub
	// and to the followers, by name of the daemon.
	pendingUp, pendingDown map[string]Report
	// followers holds until when the daemons count as followers that passed
	// reports to this one.
	followers map[string]time.Time
	// packing guards packer.
	packing sync.Mutex
	packer  *packer
	// sentReports and sentBytes count the messages that were queued for peers.
	sentReports, sentBytes int64
}

// New starts a mesh. It runs until the context ends.
func New(ctx context.Context, o Options) *Mesh {
	m := &Mesh{
		options: o, ctx: ctx, peers: map[string]*peer{}, origins: map[string]origin{}, pendingRelay: map[string]Report{},
		pendingUp: map[string]Report{}, pendingDown: map[string]Report{}, followers: map[string]time.Time{}, packer: newPacker(o.Self.Name),
	}
	context.AfterFunc(ctx, func() { _ = o.Listener.Close() })
	go m.acceptConnections()
	go m.sendReports()
	return m
}

// SentTotals returns the number of messages with reports that were queued for
// peers, and the sum of their sizes in bytes.
func (m *Mesh) SentTotals() (reports, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentReports, m.sentBytes
}

// addPeer starts to connect to a daemon unless it already does.
func (m *Mesh) addPeer(address string) {
	if address == "" || address == m.options.Self.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	p := &peer{mesh: m, address: address, queue: make(chan message, maxQueuedMessages)}
	m.peers[address] = p
	go p.run(m.ctx)
}

// removePeer forgets a daemon that has been unreachable for forgetAfter.
func (m *Mesh) removePeer(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, address)
}

// acceptConnections serves the connections that other daemons open.
func (m *Mesh) acceptConnections() {
	for {
		c, err := m.options.Listener.Accept()
		if m.ctx.Err() != nil {
			return
		}
		if err != nil {
			m.options.Journal.Note("", "peer_accept_failed", "error", err)
			sleep(m.ctx, redialDelayMin)
			continue
		}
		newConn(m.ctx, c, m.handler())
	}
}

// handleMessage handles one message of another daemon.
func (m *Mesh) handleMessage(ctx context.Context, _ *jsonrpc2.Conn, q *jsonrpc2.Request) (any, error) {
	if q.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch q.Method {
	case methodHello:
		var v Member
		if err := json.Unmarshal(*q.Params, &v); err != nil {
			return nil, err
		}
		known := append(m.PeerAddresses(), m.options.Self.Address)
		m.addPeer(v.Address)
		reply := HelloReply{Self: m.options.Self, KnownAddresses: known, Passes: true, Columns: true, Feeds: m.options.Feed != nil}
		if m.options.Known != nil {
			r := m.options.Known()
			reply.Known = &r
		}
		return reply, nil
	case methodWatch:
		return m.handleWatch(ctx, *q.Params)
	case methodContact:
		return m.handleContact()
	case methodOrigins:
		return m.handleOrigins(*q.Params)
	case methodFind:
		return m.handleFind(*q.Params)
	case methodReport, methodRelay, methodRelayed, methodPass:
		from, l, err := unpack(*q.Params)
		if err != nil {
			m.options.Journal.Note("", "peer_report_unreadable", "error", err)
			return nil, err
		}
		if q.Method == methodPass {
			m.noteFollower(from)
		}
		m.receive(q.Method, l)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: q.Method}
}

// receive imports reports. It forwards those that were relayed from another
// zone to the daemons of this zone, unless the zone has a hub, to which they are
// passed on later.
func (m *Mesh) receive(method string, l []Report) {
	imported := false
	for _, r := range l {
		imported = m.importReport(r, method) || imported
	}
	if imported && method == methodRelay && !m.hasHub() {
		m.packAndSend(methodRelayed, l, m.peersByZone(true))
	}
}

// importReport imports a report unless it is this daemon's own or not newer
// than the last one of its daemon. It reports whether it imported the report.
func (m *Mesh) importReport(r Report, method string) bool {
	if r.From == m.options.Self.Name {
		return false
	}
	now := time.Now()
	m.mu.Lock()
	last := m.origins[r.From]
	if last.isOutdated(r) {
		m.mu.Unlock()
		return false
	}
	sameZone := m.isInZone(r, method == methodReport)
	m.origins[r.From] = last.with(r, sameZone, now)
	if sameZone {
		m.holdForRelay(r)
	}
	m.holdForPassing(r, method == methodPass || method == methodRelay)
	m.mu.Unlock()
	if now.After(last.validUntil) {
		m.options.Journal.Note("", "peer_heard", "peer", r.From, "incarnation", r.Incarnation)
	}
	m.options.Import(r)
	return true
}

// noteConnected records the zone of a peer that answered the hello, and
// connects to the daemons that it knows.
func (m *Mesh) noteConnected(p *peer, conn *jsonrpc2.Conn, reply HelloReply) {
	m.mu.Lock()
	p.conn, p.feeds = conn, reply.Feeds
	p.zone, p.name, p.memoryMB, p.passes, p.columns = reply.Self.Zone, reply.Self.Name, reply.Self.MemoryMB, reply.Passes, reply.Columns
	p.connected, p.connectedAt = true, time.Now()
	m.mu.Unlock()
	if m.options.Learn != nil && reply.Known != nil {
		m.options.Learn(*reply.Known)
	}
	for _, a := range reply.KnownAddresses {
		m.addPeer(a)
	}
}

// noteDisconnected records the end of the connection to a peer.
func (m *Mesh) noteDisconnected(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.connected, p.conn = false, nil
}

// sendReports sends reports to the daemons of the zone until the context ends.
// If this daemon is the relay of its zone, it also relays the zone's reports to
// other zones.
func (m *Mesh) sendReports() {
	var sent, charged, relayed time.Time
	for sequence := int64(1); sleep(m.ctx, m.period()); {
		for _, s := range m.options.Seeds() {
			m.addPeer(s)
		}
		now := time.Now()
		m.chooseHub(now)
		charges := now.Sub(charged) >= chargesPeriod
		if charges {
			charged = now
		}
		if r := m.options.Export(charges); !r.isEmpty() || now.Sub(sent) >= maxReportPeriod {
			sent = now
			m.broadcast(r, sequence)
			sequence++
		}
		m.sendOrigins()
		if m.hasHub() {
			m.passReports()
		}
		if now.Sub(relayed) >= m.relayInterval() {
			relayed = now
			m.relay()
		}
	}
}

// broadcast sends a report to the daemons of the zone, or holds it for the hub.
func (m *Mesh) broadcast(r Report, sequence int64) {
	self := m.options.Self
	r.From, r.Zone, r.Incarnation, r.Sequence = self.Name, self.Zone, self.Incarnation, sequence
	r.MaxIntervalMs = max(m.period(), maxReportPeriod).Milliseconds()
	m.mu.Lock()
	m.holdForRelay(r)
	m.holdForPassing(r, true)
	m.mu.Unlock()
	if m.hasHub() {
		return
	}
	if peers := m.peersByZone(true); len(peers) > 0 {
		m.packAndSend(methodReport, []Report{r}, peers)
	}
}

// isEmpty reports whether a report has no content.
func (r Report) isEmpty() bool {
	return r.Place.IsEmpty() && r.Charges == nil && len(r.Totals) == 0 && len(r.Suspicions) == 0
}

// scaledPeriod returns the time between two messages in a zone of the present
// size, given the time in a small zone.
func (m *Mesh) scaledPeriod(smallZonePeriod time.Duration) time.Duration {
	return smallZonePeriod * time.Duration(max(len(m.peersByZone(true)), smallZoneDaemons)) / smallZoneDaemons
}

// peersByZone returns the peers of this zone, or all others.
func (m *Mesh) peersByZone(sameZone bool) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []*peer
	for _, p := range m.peers {
		if (p.zone == m.options.Self.Zone) == sameZone {
			l = append(l, p)
		}
	}
	return l
}

// sleep waits for a time; it returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
