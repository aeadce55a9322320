package exchange

import (
	"slices"
	"time"
)

// origin is the state of one daemon whose reports arrive.
type origin struct {
	incarnation string
	// previous is the incarnation before, whose reports may still arrive over another
	// daemon.
	previous string
	// sequence is the number of the newest report.
	sequence int64
	// validUntil is the time at which the newest report expires.
	validUntil time.Time
	// sameZone is true for a daemon of this zone.
	sameZone bool
	// zone is the zone of the daemon; empty if its reports do not name it. draining is
	// true while the daemon is stopping.
	zone     string
	draining bool
}

// isOutdated reports whether a report is not newer than what is known of its daemon.
func (o origin) isOutdated(r Report) bool {
	if r.Incarnation == o.incarnation {
		return r.Sequence <= o.sequence
	}
	return o.previous != "" && r.Incarnation == o.previous
}

// with returns the state of the daemon after a report that is not outdated.
func (o origin) with(r Report, sameZone bool, now time.Time) origin {
	next := origin{
		incarnation: r.Incarnation, previous: o.previous, sequence: r.Sequence, validUntil: now.Add(r.Lifetime()),
		sameZone: sameZone, zone: r.Zone, draining: r.Draining,
	}
	if r.Incarnation != o.incarnation {
		next.previous = o.incarnation
	}
	return next
}

// relay sends the reports of this zone to one daemon of each other zone, which
// forwards them to the daemons of its zone. One daemon relays for its whole
// zone; a daemon that receives no report from its zone relays its own reports.
func (m *Mesh) relay() {
	to := m.relayPeers()
	if l := m.takePendingRelay(len(to) > 0); len(l) > 0 {
		m.packAndSend(methodRelay, l, to)
	}
}

// takePendingRelay returns the reports that wait to be relayed and clears them.
// While another daemon is the relay there are none to return. If no other zone
// is reachable, the relay keeps its reports for later.
func (m *Mesh) takePendingRelay(reachable bool) []Report {
	relayIntervalMs := m.relayInterval().Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relays = m.isRelay()
	if !m.relays {
		clear(m.pendingRelay)
	}
	if !reachable {
		return nil
	}
	l := sortedReports(m.pendingRelay)
	for i := range l {
		l[i].MaxIntervalMs = max(l[i].MaxIntervalMs, relayIntervalMs)
	}
	clear(m.pendingRelay)
	return l
}

// holdForRelay keeps a report of this zone for the next relay if this daemon relays.
// The caller must hold the lock.
func (m *Mesh) holdForRelay(r Report) {
	if m.relays {
		m.pendingRelay[r.From] = m.pendingRelay[r.From].WithNext(r)
	}
}

// isRelay reports whether this daemon relays for its zone, that is, whether its
// name is the first among the live daemons of the zone. While daemons disagree
// on these, two of them may relay; receivers drop the duplicates by their
// sequence.
func (m *Mesh) isRelay() bool {
	if m.hub != nil || m.isHub {
		return m.isHub
	}
	for name, o := range m.origins {
		if o.sameZone && time.Now().Before(o.validUntil) && name < m.options.Self.Name {
			return false
		}
	}
	return true
}

// relayPeers returns one connected peer of each other zone. It takes the next
// one each time, so that a peer whose failure is not detected yet misses only
// some reports. In a zone with a hub it takes only the hub and the daemon that
// would replace it, so that few reports make the way over another daemon.
func (m *Mesh) relayPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[string][]*peer{}
	for _, p := range m.peers {
		if p.connected && p.zone != m.options.Self.Zone {
			zones[p.zone] = append(zones[p.zone], p)
		}
	}
	m.relayTurn++
	var l []*peer
	for _, z := range zones {
		slices.SortFunc(z, func(a, b *peer) int { return compareForHub(a.member(), b.member()) })
		targets := len(z)
		if targets > meshZonePeers {
			targets = hubRelayTargets
		}
		l = append(l, z[m.relayTurn%targets])
	}
	return l
}
