package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// row names one charge.
type row struct{ service, workspace string }

// beats sends a round of heartbeats about every second, and soon after news.
func (m *Mesh) beats() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-timer.C:
		case <-m.spread:
			if !m.extra.Allow() || !m.sleep(spreadGap-time.Since(last)) {
				continue
			}
		}
		last = time.Now()
		m.round()
		timer.Reset(m.period())
	}
}

// period returns the time to the next ordinary round.
func (m *Mesh) period() time.Duration {
	span := time.Duration(2 * beatJitter * float64(beatEvery))
	return beatEvery - span/2 + m.jitter(span)
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

// round passes verdicts and sends one heartbeat to each target.
func (m *Mesh) round() {
	m.learn()
	if m.table.Tick() {
		m.TriggerRound()
	}
	m.notify()
	m.closeIdle()
	m.export()
	self, targets := m.table.StartRound()
	for _, t := range targets {
		go func() { m.send(self, t) }()
	}
}

// export collects the charges since the last round and all charges so far.
func (m *Mesh) export() {
	if m.o.Counters == nil {
		return
	}
	c := m.o.Counters.Export()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.charges = c
	for _, r := range c.Rows {
		m.rows[row{r.Service, r.Workspace}] = r
	}
}

// allCharges returns the charges of this home for a peer that has none of them.
// The lock must be held.
func (m *Mesh) allCharges() wigeonladder.ChargeReport {
	c := m.charges
	c.Rows = slices.Collect(maps.Values(m.rows))
	return c
}

// send sends one heartbeat and takes over its answer.
func (m *Mesh) send(self member.Record, t member.HeartbeatTarget) {
	if t.VM != "" && !m.reserve(t.VM) {
		return
	}
	defer m.unreserve(t.VM)
	ctx, cancel := context.WithTimeout(m.ctx, deadlines[methodBeat])
	defer cancel()
	l, err := m.link(ctx, t.VM, t.Address)
	if err != nil {
		m.failed(t.VM)
		return
	}
	b := m.beat(self, l.peer(), false)
	b.Behind = m.table.NeedsAllRecords()
	var answer beat
	if err := l.call(ctx, methodBeat, b, &answer); err != nil {
		m.failed(l.peer())
		// A peer that does not answer a heartbeat is paused or cut off; the
		// connection would keep what is sent until it is stale.
		l.close()
		return
	}
	m.take(answer)
	m.mu.Lock()
	m.remote(l.peer()).told = true
	m.mu.Unlock()
}

// reserve reports whether no heartbeat to a peer is under way, and notes one.
func (m *Mesh) reserve(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(vm)
	if r.busy {
		return false
	}
	r.busy = true
	return true
}

// unreserve notes that the heartbeat to a peer ended.
func (m *Mesh) unreserve(vm string) {
	if vm == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote(vm).busy = false
}

// failed notes that a peer may have missed charges.
func (m *Mesh) failed(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[vm]; r != nil {
		r.told = false
	}
}

// beat returns the heartbeat for a peer. A peer that is new gets everything.
func (m *Mesh) beat(self member.Record, to string, all bool) beat {
	b := beat{
		Record: self, Revision: m.o.Config().Revision,
		Digest: m.table.Digest(), Version: m.servers.Version(),
	}
	if all {
		b.Relay = m.table.AllRecords()
	} else {
		b.Relay = m.table.RelayRecords(to)
	}
	if m.o.Suspects != nil {
		b.Suspects = m.o.Suspects.Export()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(to)
	if m.o.Counters != nil {
		c := m.charges
		if all || !r.told {
			c = m.allCharges()
		}
		b.Charges = &c
	}
	b.Leaving = m.leavingFor(r)
	return b
}

// leavingFor returns the leaving servers if a peer has an older list.
func (m *Mesh) leavingFor(r *remote) *member.LeavingList {
	l := m.servers.Leaving()
	if l.Version <= r.version {
		return nil
	}
	return &l
}

// take takes over what a heartbeat or an answer tells.
func (m *Mesh) take(b beat) {
	if b.Record.VM == m.o.Self.Name && b.Record.Incarnation == m.o.Incarnation {
		return
	}
	if m.table.MergeHeartbeat(b.Record, b.Relay) {
		m.TriggerRound()
	}
	m.notify()
	m.table.CompareDigest(b.Digest)
	m.heardVersion(b)
	if b.Charges != nil && m.o.Counters != nil {
		m.o.Counters.Import(*b.Charges)
	}
	if len(b.Suspects) > 0 && m.o.Suspects != nil {
		m.o.Suspects.Import(b.Suspects)
	}
	if b.Leaving != nil && m.servers.ApplyPeerList(*b.Leaving) {
		m.serversChanged()
	}
	m.hearRevision(b.Record.VM, b.Revision)
}

// heardVersion notes which list of leaving servers a peer has.
func (m *Mesh) heardVersion(b beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(b.Record.VM)
	if r.incarnation != b.Record.Incarnation {
		*r = remote{incarnation: b.Record.Incarnation, busy: r.busy}
	}
	r.version = b.Version
}

// answer handles a heartbeat. The answer is a sign of life in turn. A peer that
// is new here, or has been dead, gets all that is known with it.
func (m *Mesh) answer(b beat) beat {
	fresh := !m.table.KnowsIncarnation(b.Record)
	m.take(b)
	self := m.table.Self()
	if fresh {
		a := m.beat(self, b.Record.VM, true)
		m.mu.Lock()
		m.remote(b.Record.VM).told = true
		m.mu.Unlock()
		return a
	}
	a := beat{
		Record: self, Revision: m.o.Config().Revision,
		Digest: m.table.Digest(), Version: m.servers.Version(),
	}
	if b.Behind {
		a.Relay = m.table.AllRecords()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a.Leaving = m.leavingFor(m.remote(b.Record.VM))
	return a
}
