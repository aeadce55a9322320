package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// chargeKey names one charge.
type chargeKey struct{ service, workspace string }

// runHeartbeats sends a round of heartbeats about every second, and soon after news.
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

// roundInterval returns the time to the next ordinary round.
func (m *Mesh) roundInterval() time.Duration {
	span := time.Duration(2 * heartbeatJitter * float64(heartbeatInterval))
	return heartbeatInterval - span/2 + m.jitter(span)
}

// sleep waits; it reports false if the context ended.
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

// runRound passes verdicts and sends one heartbeat to each target.
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

// exportCharges collects the charges since the last round and all charges so far.
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

// allCharges returns the charges of this home for a peer that has none of them.
// The lock must be held.
func (m *Mesh) allCharges() wigeonladder.ChargeReport {
	c := m.lastCharges
	c.Rows = slices.Collect(maps.Values(m.chargeRows))
	return c
}

// sendHeartbeat sends one heartbeat and takes over its answer.
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
		// A peer that does not answer a heartbeat is paused or cut off; the
		// connection would keep what is sent until it is stale.
		l.close()
		return
	}
	m.applyHeartbeat(answer)
	m.mu.Lock()
	m.peerState(l.peerName()).hasAllCharges = true
	m.mu.Unlock()
}

// startHeartbeat reports whether no heartbeat to a peer is under way, and notes one.
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

// endHeartbeat notes that the heartbeat to a peer ended.
func (m *Mesh) endHeartbeat(vm string) {
	if vm == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerState(vm).heartbeatInFlight = false
}

// markChargesMissed notes that a peer may have missed charges.
func (m *Mesh) markChargesMissed(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[vm]; r != nil {
		r.hasAllCharges = false
	}
}

// newHeartbeat returns the heartbeat for a peer. A peer that is new gets everything.
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

// leavingListFor returns the leaving servers if a peer has an older list.
func (m *Mesh) leavingListFor(r *peerState) *member.LeavingList {
	l := m.servers.Leaving()
	if l.Version <= r.notifiedVersion {
		return nil
	}
	return &l
}

// applyHeartbeat takes over what a heartbeat or an answer tells.
func (m *Mesh) applyHeartbeat(b heartbeat) {
	if b.Record.VM == m.options.Self.Name && b.Record.Incarnation == m.options.Incarnation {
		return
	}
	if m.table.MergeHeartbeat(b.Record, b.RelayedRecords) {
		m.TriggerRound()
	}
	m.signalIfChanged()
	m.table.CompareDigest(b.Digest)
	m.noteLeavingVersion(b)
	if b.Charges != nil && m.options.Counters != nil {
		m.options.Counters.Import(*b.Charges)
	}
	if len(b.Suspicions) > 0 && m.options.Suspects != nil {
		m.options.Suspects.Import(b.Suspicions)
	}
	if b.Leaving != nil && m.servers.ApplyPeerList(*b.Leaving) {
		m.spreadServerChange()
	}
	m.noteRevision(b.Record.VM, b.Revision)
}

// noteLeavingVersion notes which list of leaving servers a peer has.
func (m *Mesh) noteLeavingVersion(b heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.peerState(b.Record.VM)
	if r.incarnation != b.Record.Incarnation {
		*r = peerState{incarnation: b.Record.Incarnation, heartbeatInFlight: r.heartbeatInFlight}
	}
	r.notifiedVersion = b.LeavingVersion
}

// handleHeartbeat handles a heartbeat. The handleHeartbeat is a sign of life in turn. A peer that
// is new here, or has been dead, gets all that is known with it.
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
