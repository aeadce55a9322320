package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// chargeKey identifies the charge of one workspace for one service.
type chargeKey struct{ service, workspace string }

// runHeartbeats runs a round of heartbeats about every heartbeatInterval, and
// early rounds when TriggerRound requests them.
func (m *Mesh) runHeartbeats() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-timer.C:
		case <-m.earlyRound:
			if !m.earlyRoundLimiter.Allow() || !m.sleep(minRoundGap-time.Since(last)) {
				continue
			}
		}
		last = time.Now()
		m.runRound()
		timer.Reset(m.roundInterval())
	}
}

// roundInterval returns the time until the next periodic round.
func (m *Mesh) roundInterval() time.Duration {
	span := time.Duration(2 * heartbeatJitter * float64(heartbeatInterval))
	return heartbeatInterval - span/2 + m.jitter(span)
}

// sleep waits for a time; it reports false if the context ends first.
func (m *Mesh) sleep(d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runRound updates the membership and the exported charges and sends one
// heartbeat to each target.
func (m *Mesh) runRound() {
	m.applyConfig()
	if m.table.Tick() {
		m.TriggerRound()
	}
	m.signalIfChanged()
	m.closeIdle()
	m.exportCharges()
	self, targets := m.table.StartRound()
	for _, t := range targets {
		go func() { m.sendHeartbeat(self, t) }()
	}
}

// exportCharges stores the charge report of this round, whose rows are those
// that changed since the last round, and merges it into all charges of this
// home.
func (m *Mesh) exportCharges() {
	if m.options.Counters == nil {
		return
	}
	c := m.options.Counters.Export()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCharges = c
	for _, r := range c.Rows {
		m.chargeRows[chargeKey{r.Service, r.Workspace}] = r
	}
}

// allCharges returns a report with all charges of this home, for a peer that may
// lack some of them. m.mu must be held.
func (m *Mesh) allCharges() wigeonladder.ChargeReport {
	c := m.lastCharges
	c.Rows = slices.Collect(maps.Values(m.chargeRows))
	return c
}

// sendHeartbeat sends one heartbeat and applies the answer. It sends none while
// another heartbeat to the same peer is in flight.
func (m *Mesh) sendHeartbeat(self member.Record, t member.HeartbeatTarget) {
	if t.VM != "" && !m.startHeartbeat(t.VM) {
		return
	}
	defer m.endHeartbeat(t.VM)
	ctx, cancel := context.WithTimeout(m.ctx, callTimeouts[methodHeartbeat])
	defer cancel()
	l, err := m.link(ctx, t.VM, t.Address)
	if err != nil {
		m.markChargesMissed(t.VM)
		return
	}
	b := m.newHeartbeat(self, l.peerName(), false)
	b.NeedsAllRecords = m.table.NeedsAllRecords()
	var answer heartbeat
	if err := l.call(ctx, methodHeartbeat, b, &answer); err != nil {
		m.markChargesMissed(l.peerName())
		// The peer is paused or unreachable. Messages sent over this connection
		// would be buffered and delivered when they are stale.
		l.close()
		return
	}
	m.applyHeartbeat(answer)
	m.mu.Lock()
	m.peerState(l.peerName()).hasAllCharges = true
	m.mu.Unlock()
}

// startHeartbeat marks a heartbeat to a peer as in flight. It reports false if
// one is already.
func (m *Mesh) startHeartbeat(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.peerState(vm)
	if r.heartbeatInFlight {
		return false
	}
	r.heartbeatInFlight = true
	return true
}

// endHeartbeat records that no heartbeat to a peer is in flight. A seed has no
// VM name and no such state.
func (m *Mesh) endHeartbeat(vm string) {
	if vm == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerState(vm).heartbeatInFlight = false
}

// markChargesMissed records that a peer may have missed charges, so that the
// next heartbeat to it contains all of them.
func (m *Mesh) markChargesMissed(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[vm]; r != nil {
		r.hasAllCharges = false
	}
}

// newHeartbeat returns a heartbeat for a peer. If all is true, it contains all
// records and all charges.
func (m *Mesh) newHeartbeat(self member.Record, to string, all bool) heartbeat {
	b := heartbeat{
		Record: self, Revision: m.options.Config().Revision,
		Digest: m.table.Digest(), LeavingVersion: m.servers.Version(),
	}
	if all {
		b.RelayedRecords = m.table.AllRecords()
	} else {
		b.RelayedRecords = m.table.RelayRecords(to)
	}
	if m.options.Suspects != nil {
		b.Suspicions = m.options.Suspects.Export()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.peerState(to)
	if m.options.Counters != nil {
		c := m.lastCharges
		if all || !r.hasAllCharges {
			c = m.allCharges()
		}
		b.Charges = &c
	}
	b.Leaving = m.leavingListFor(r)
	return b
}

// leavingListFor returns the list of leaving servers if the peer has an older
// one, otherwise nil. m.mu must be held.
func (m *Mesh) leavingListFor(r *peerState) *member.LeavingList {
	l := m.servers.Leaving()
	if l.Version <= r.leavingVersion {
		return nil
	}
	return &l
}

// applyHeartbeat applies the contents of a heartbeat or of its answer. It
// ignores one that this incarnation sent itself.
func (m *Mesh) applyHeartbeat(b heartbeat) {
	if b.Record.VM == m.options.Self.Name && b.Record.Incarnation == m.options.Incarnation {
		return
	}
	if m.table.MergeHeartbeat(b.Record, b.RelayedRecords) {
		m.TriggerRound()
	}
	m.signalIfChanged()
	m.table.CompareDigest(b.Digest)
	m.recordLeavingVersion(b)
	if b.Charges != nil && m.options.Counters != nil {
		m.options.Counters.Import(*b.Charges)
	}
	if len(b.Suspicions) > 0 && m.options.Suspects != nil {
		m.options.Suspects.Import(b.Suspicions)
	}
	if b.Leaving != nil && m.servers.ApplyPeerList(*b.Leaving) {
		m.spreadServerChange()
	}
	m.recordAnnouncement(b.Record.VM, b.Revision)
}

// recordLeavingVersion records which version of the list of leaving servers a
// peer has. The state of an earlier incarnation of the peer is dropped.
func (m *Mesh) recordLeavingVersion(b heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.peerState(b.Record.VM)
	if r.incarnation != b.Record.Incarnation {
		*r = peerState{incarnation: b.Record.Incarnation, heartbeatInFlight: r.heartbeatInFlight}
	}
	r.leavingVersion = b.LeavingVersion
}

// handleHeartbeat applies a heartbeat and returns the answer, which in turn
// shows that this daemon is alive. The answer to a peer whose incarnation is
// new here, or that was dead, contains all records and charges.
func (m *Mesh) handleHeartbeat(b heartbeat) heartbeat {
	isNew := !m.table.KnowsIncarnation(b.Record)
	m.applyHeartbeat(b)
	self := m.table.Self()
	if isNew {
		a := m.newHeartbeat(self, b.Record.VM, true)
		m.mu.Lock()
		m.peerState(b.Record.VM).hasAllCharges = true
		m.mu.Unlock()
		return a
	}
	a := heartbeat{
		Record: self, Revision: m.options.Config().Revision,
		Digest: m.table.Digest(), LeavingVersion: m.servers.Version(),
	}
	if b.NeedsAllRecords {
		a.RelayedRecords = m.table.AllRecords()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a.Leaving = m.leavingListFor(m.peerState(b.Record.VM))
	return a
}
