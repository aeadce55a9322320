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
	// farPeriod is the same towards all other daemons. Bytes between zones are
	// dear, and calls go to servers of the own zone first.
	farPeriod = 200 * time.Millisecond
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
	// heard is until when the last report of a daemon counts, by its name.
	heard map[string]time.Time
	// packer is used by the goroutine that sends reports.
	packer *packer
	// reports and bytes are what was sent.
	reports, bytes int64
}

// New starts a mesh. It ends with the context.
func New(ctx context.Context, o Options) *Mesh {
	m := &Mesh{o: o, ctx: ctx, peers: map[string]*peer{}, heard: map[string]time.Time{}, packer: newPacker()}
	context.AfterFunc(ctx, func() { _ = o.Listener.Close() })
	go m.accept()
	go m.report()
	return m
}

// Alive returns the number of daemons that are alive, this one included.
func (m *Mesh) Alive() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, until := range m.heard {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

// Members returns the addresses of the daemons that are dialled, sorted.
func (m *Mesh) Members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]string, 0, len(m.peers))
	for a := range m.peers {
		l = append(l, a)
	}
	slices.Sort(l)
	return l
}

// Sent returns the number of reports that were sent, and their bytes.
func (m *Mesh) Sent() (reports, bytes int64) {
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
	p := &peer{mesh: m, address: address, out: make(chan json.RawMessage, outQueue)}
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
		known := append(m.Members(), m.o.Self.Address)
		m.learn(v.Address)
		return Welcome{Self: m.o.Self, Known: known}, nil
	case methodReport:
		r, err := unpack(*q.Params)
		if err != nil {
			m.o.Journal.Note("", "peer_report_unreadable", "error", err)
			return nil, err
		}
		m.take(r)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: q.Method}
}

// take takes over a report.
func (m *Mesh) take(r Report) {
	if r.From == m.o.Self.Name {
		return
	}
	m.mu.Lock()
	until := m.heard[r.From]
	m.heard[r.From] = time.Now().Add(r.Life())
	m.mu.Unlock()
	if time.Now().After(until) {
		m.o.Journal.Note("", "peer_heard", "peer", r.From, "incarnation", r.Incarnation)
	}
	m.o.Import(r)
}

// linked takes over what a daemon said of itself and of others.
func (m *Mesh) linked(p *peer, w Welcome) {
	m.mu.Lock()
	p.zone = w.Self.Zone
	m.mu.Unlock()
	for _, a := range w.Known {
		m.learn(a)
	}
}

// report sends reports until the context ends: each to the daemons of the zone, and
// several as one to the others.
func (m *Mesh) report() {
	var sent, charged, sentFar time.Time
	var far Report
	for pause(m.ctx, m.period(true)) {
		for _, s := range m.o.Seeds() {
			m.learn(s)
		}
		now := time.Now()
		charges := now.Sub(charged) >= chargesPeriod
		if charges {
			charged = now
		}
		r := m.o.Export(charges)
		far = far.WithNext(r)
		if !r.empty() || now.Sub(sent) >= quietPeriod {
			sent = now
			m.broadcast(r, true)
		}
		period := m.period(false)
		if far.empty() {
			period = max(period, quietPeriod)
		}
		if now.Sub(sentFar) >= period {
			sentFar = now
			m.broadcast(far, false)
			far = Report{}
		}
	}
}

// empty reports whether a report says nothing.
func (r Report) empty() bool {
	return len(r.Place.Loads) == 0 && len(r.Place.Sent) == 0 && r.Charges == nil && len(r.Totals) == 0 && len(r.Suspects) == 0
}

// period is the time between two reports to the daemons of the zone, or to the
// others.
func (m *Mesh) period(near bool) time.Duration {
	d := farPeriod
	if near {
		d = reportPeriod
	}
	return d * time.Duration(max(len(m.zonePeers(near)), smallZone)) / smallZone
}

// broadcast sends a report to the daemons of the zone, or to the others. One that
// does not keep up misses it.
func (m *Mesh) broadcast(r Report, near bool) {
	peers := m.zonePeers(near)
	if len(peers) == 0 {
		return
	}
	r.From, r.Incarnation = m.o.Self.Name, m.o.Self.Incarnation
	r.Every = max(m.period(near), quietPeriod).Milliseconds()
	data, err := m.packer.pack(r)
	if err != nil {
		m.o.Journal.Note("", "peer_report_failed", "error", err)
		return
	}
	sent := int64(0)
	for _, p := range peers {
		select {
		case p.out <- data:
			sent++
		default:
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports += sent
	m.bytes += sent * int64(len(data))
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
