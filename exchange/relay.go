package exchange

import (
	"cmp"
	"slices"
	"time"
)

// origin is what was heard of one daemon.
type origin struct {
	incarnation string
	// sequence is that of the newest report.
	sequence int64
	// validUntil is when the report counts no longer.
	validUntil time.Time
	// sameZone is true for a daemon of this zone.
	sameZone bool
}

// relay sends the reports of this zone to one daemon of each other zone, which
// passes them on to its zone. One daemon relays for all of its zone; one that hears
// nobody of its zone relays its own reports.
func (m *Mesh) relay() {
	to := m.relayPeers()
	if l := m.takePendingRelay(len(to) > 0); len(l) > 0 {
		m.packAndSend(methodRelay, l, to)
	}
}

// takePendingRelay returns the reports that wait to be relayed, and forgets them. There are
// none while another daemon relays; without a way to other zones they stay.
func (m *Mesh) takePendingRelay(reachable bool) []Report {
	every := m.scaledPeriod(relayPeriod).Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isRelay() {
		clear(m.pendingRelay)
	}
	if !reachable {
		return nil
	}
	var l []Report
	for _, r := range m.pendingRelay {
		r.MaxIntervalMs = max(r.MaxIntervalMs, every)
		l = append(l, r)
	}
	clear(m.pendingRelay)
	slices.SortFunc(l, func(a, b Report) int { return cmp.Compare(a.From, b.From) })
	return l
}

// isRelay reports whether this daemon isRelay for its zone: its name is the first of
// those that are heard there. While daemons disagree two of them relay, and the
// numbers of reports tell those that came twice.
func (m *Mesh) isRelay() bool {
	for name, o := range m.origins {
		if o.sameZone && time.Now().Before(o.validUntil) && name < m.o.Self.Name {
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
		if p.connected && p.zone != m.o.Self.Zone {
			zones[p.zone] = append(zones[p.zone], p)
		}
	}
	m.relayTurn++
	var l []*peer
	for _, z := range zones {
		slices.SortFunc(z, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
		l = append(l, z[m.relayTurn%len(z)])
	}
	return l
}
