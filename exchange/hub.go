package exchange

import (
	"cmp"
	"slices"
	"time"
)

const (
	// meshZonePeers is the number of other daemons in a zone up to which each
	// daemon sends its reports to all others. In a larger zone they go to one
	// daemon, the hub, which joins them and sends them to the zone, so that the
	// messages of a zone grow with its daemons and not with their square.
	meshZonePeers = 12
	// hubMessageInterval is the mean time between two messages to a hub.
	hubMessageInterval = 5 * time.Millisecond
	// hubRelayPeriod is the time between two relays of a hub to other zones.
	hubRelayPeriod = 300 * time.Millisecond
	// followTime is how long a daemon that passed reports to this one gets the
	// reports of others in return.
	followTime = lifetimeMin
	// hubRelayTargets is the number of daemons of another large zone to which its
	// relays go in turn. The first is the hub.
	hubRelayTargets = 2
)

// hasHub reports whether the zone is so large that its reports go to a hub which
// passes them on.
func (m *Mesh) hasHub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hub != nil || m.isHub
}

// chooseHub chooses the hub of the zone: the best one by compareForHub among this
// daemon and those that are connected and heard. A daemon that was connected a
// moment ago counts as heard. Zones whose daemons do not all pass reports on have
// none.
func (m *Mesh) chooseHub(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.isHub = nil, false
	zonePeers := 0
	first := (*peer)(nil)
	for _, p := range m.peers {
		if p.zone != m.options.Self.Zone || p.name == "" {
			continue
		}
		zonePeers++
		if !p.passes {
			return
		}
		if p.connected && m.isHeard(p, now) && (first == nil || compareForHub(p.member(), first.member()) < 0) {
			first = p
		}
	}
	if zonePeers <= meshZonePeers {
		return
	}
	if first != nil && compareForHub(first.member(), m.options.Self) < 0 {
		m.hub = first
		return
	}
	m.isHub = true
}

// period returns the time between two reports of this daemon.
func (m *Mesh) period() time.Duration {
	if !m.hasHub() {
		return m.scaledPeriod(reportPeriod)
	}
	return max(time.Duration(len(m.peersByZone(true)))*hubMessageInterval, reportPeriod)
}

// relayInterval returns the time between two relays of the zone.
func (m *Mesh) relayInterval() time.Duration {
	if !m.hasHub() {
		return m.scaledPeriod(relayPeriod)
	}
	return max(hubRelayPeriod, m.period())
}

// isInZone reports whether a report comes from a daemon of this zone.
func (m *Mesh) isInZone(r Report, direct bool) bool {
	return direct || r.Zone != "" && r.Zone == m.options.Self.Zone
}

// holdForPassing keeps a report that the hub and the followers of this daemon have
// not got. The caller must hold the lock.
func (m *Mesh) holdForPassing(r Report, up bool) {
	if m.isHub || m.hub != nil && len(m.followers) > 0 {
		m.pendingDown[r.From] = m.pendingDown[r.From].WithNext(r)
	}
	if up && m.hub != nil {
		m.pendingUp[r.From] = m.pendingUp[r.From].WithNext(r)
	}
}

// noteFollower records that a daemon passes its reports to this one.
func (m *Mesh) noteFollower(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followers[name] = time.Now().Add(followTime)
}

// passReports sends the held reports on: the hub sends all that is new to the zone;
// any other daemon sends to the hub its own reports, those of daemons that do not
// reach the hub and those that were relayed from other zones, and to its followers
// all that is new.
func (m *Mesh) passReports() {
	now := time.Now()
	m.mu.Lock()
	up, down := sortedReports(m.pendingUp), sortedReports(m.pendingDown)
	clear(m.pendingUp)
	clear(m.pendingDown)
	hub, isHub := m.hub, m.isHub
	var followers []*peer
	for _, p := range m.peers {
		inZone := p.zone == m.options.Self.Zone && p.connected
		if inZone && (isHub || p != hub && now.Before(m.followers[p.name])) {
			followers = append(followers, p)
		}
	}
	for name, until := range m.followers {
		if now.After(until) {
			delete(m.followers, name)
		}
	}
	m.mu.Unlock()
	if hub != nil && len(up) > 0 {
		m.packAndSend(methodPass, up, []*peer{hub})
	}
	if len(followers) > 0 && len(down) > 0 {
		m.packAndSend(methodRelayed, down, followers)
	}
}

// sortedReports returns reports in the order of their daemons.
func sortedReports(byName map[string]Report) []Report {
	l := make([]Report, 0, len(byName))
	for _, r := range byName {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b Report) int { return cmp.Compare(a.From, b.From) })
	return l
}
