package exchange

import (
	"cmp"
	"slices"
	"time"
)

// origin is what was heard of one daemon.
type origin struct {
	incarnation string
	// number is that of the newest report.
	number int64
	// until is when the report counts no longer.
	until time.Time
	// direct is true for a daemon of this zone.
	direct bool
}

// relay sends the reports of this zone to one daemon of each other zone, which
// passes them on to its zone. One daemon relays for all of its zone; one that hears
// nobody of its zone relays its own reports.
func (m *Mesh) relay() {
	to := m.relayPeers()
	if l := m.collect(len(to) > 0); len(l) > 0 {
		m.pack(methodRelay, l, to)
	}
}

// collect returns the reports that wait to be relayed, and forgets them. There are
// none while another daemon relays; without a way to other zones they stay.
func (m *Mesh) collect(way bool) []Report {
	every := m.period(relayPeriod).Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.relays() {
		clear(m.pending)
	}
	if !way {
		return nil
	}
	var l []Report
	for _, r := range m.pending {
		r.MaxIntervalMs = max(r.MaxIntervalMs, every)
		l = append(l, r)
	}
	clear(m.pending)
	slices.SortFunc(l, func(a, b Report) int { return cmp.Compare(a.From, b.From) })
	return l
}

// relays reports whether this daemon relays for its zone: its name is the first of
// those that are heard there. While daemons disagree two of them relay, and the
// numbers of reports tell those that came twice.
func (m *Mesh) relays() bool {
	for name, o := range m.heard {
		if o.direct && time.Now().Before(o.until) && name < m.o.Self.Name {
			return false
		}
	}
	return true
}

// relayPeers returns one daemon of each other zone that is linked: another one each
// time, so that one that died unnoticed misses only some reports.
func (m *Mesh) relayPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[string][]*peer{}
	for _, p := range m.peers {
		if p.linked && p.zone != m.o.Self.Zone {
			zones[p.zone] = append(zones[p.zone], p)
		}
	}
	m.turn++
	var l []*peer
	for _, z := range zones {
		slices.SortFunc(z, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
		l = append(l, z[m.turn%len(z)])
	}
	return l
}
