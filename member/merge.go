package member

import "time"

// MergeHeartbeat merges the record of the peer that sent a heartbeat and the
// records that the heartbeat relays. It reports whether this daemon should send
// its next heartbeats early to spread a change.
func (t *Table) MergeHeartbeat(from Record, relayed []Record) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	from.Age = 0
	urgent = t.mergeRecord(from, true, now)
	for _, r := range relayed {
		if t.mergeRecord(r, false, now) {
			urgent = true
		}
	}
	t.refreshHomePools(now)
	return urgent
}

// KnowsIncarnation reports whether the record's incarnation is the known one of
// its VM and is not dead.
func (t *Table) KnowsIncarnation(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[r.VM]
	return m != nil && m.rec.Incarnation == r.Incarnation && m.rec.State != Dead
}

// mergeRecord merges one record; direct is true if the member itself sent it.
// Only a direct record or a higher sequence proves that the member is alive.
func (t *Table) mergeRecord(r Record, direct bool, now time.Time) (urgent bool) {
	if r.VM == t.self.VM {
		return t.refute(r)
	}
	m := t.members[r.VM]
	if m == nil {
		return t.addMember(r, now)
	}
	if direct && r.Incarnation == m.rec.Incarnation && r.Sequence == m.rec.Sequence && !m.rec.isAccusation() {
		m.lastHeard = now
	}
	if !r.supersedes(m.rec) {
		if r.isAccusation() && r.Sequence < m.rec.Sequence && !m.rec.isAccusation() {
			// The known record refutes the accusation if it is relayed again.
			m.transmitsLeft = t.transmitLimit()
		}
		return false
	}
	return t.updateMember(m, r, now)
}

// refute handles a record about this daemon's own VM. It answers a record of an
// earlier incarnation, or one that calls this daemon suspect or dead, by
// raising this daemon's sequence above it.
func (t *Table) refute(r Record) (urgent bool) {
	if r.Sequence < t.self.Sequence || r.Incarnation == t.self.Incarnation && !r.isAccusation() {
		return false
	}
	t.self.Sequence = r.Sequence + 1
	return true
}

// addMember adds a member that was not known. It ignores dead ones.
func (t *Table) addMember(r Record, now time.Time) (urgent bool) {
	if r.State == Dead {
		return false
	}
	m := &remoteMember{rec: r, lastHeard: now.Add(-r.Age), aliveSince: now, draining: r.State == Draining}
	t.fillAddress(m)
	t.members[r.VM] = m
	t.noteChange(m)
	return true
}

// updateMember replaces the record of a known member by a newer one.
func (t *Table) updateMember(m *remoteMember, r Record, now time.Time) (urgent bool) {
	old := m.rec
	m.rec = r
	if r.Zone == "" {
		m.rec.Zone = old.Zone
	}
	if r.PeerAddress == "" {
		m.rec.PeerAddress = old.PeerAddress
	}
	t.fillAddress(m)
	if !r.isAccusation() && m.draining != (r.State == Draining) {
		m.draining = !m.draining
		t.poolsStale = true
	}
	if heard := now.Add(-r.Age); !r.isAccusation() && heard.After(m.lastHeard) {
		m.lastHeard = heard
	}
	if old.State == Dead && r.State != Dead || old.Incarnation != r.Incarnation {
		m.aliveSince = now
		t.setHomeEligible(m, false)
	}
	if old.State == r.State && old.Incarnation == r.Incarnation {
		return false
	}
	t.noteChange(m)
	// Lost messages cause short suspicions, in proportion to the size of the
	// fleet. Suspicions and their ends wait for the next ordinary round, so that
	// the traffic stays constant.
	return r.State == Dead || r.State != Suspect && old.State != Suspect
}

// fillAddress takes zone and address from the register, which is newer than any
// record.
func (t *Table) fillAddress(m *remoteMember) {
	if v, ok := t.registered[m.rec.VM]; ok {
		m.rec.Zone, m.rec.PeerAddress = v.Zone, v.PeerAddress
	}
}
