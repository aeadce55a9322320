package member

import "time"

// MergeHeartbeat takes over the record of a peer that was heard directly and the records
// that it relays. It reports whether there is news that should spread soon.
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

// KnowsIncarnation reports whether the incarnation of a peer is the known one.
func (t *Table) KnowsIncarnation(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[r.VM]
	return m != nil && m.rec.Incarnation == r.Incarnation && m.rec.State != Dead
}

// mergeRecord takes over one record. Only the member's own word or a higher sequence
// shows that it is alive.
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
			m.transmitsLeft = t.transmitLimit()
		}
		return false
	}
	return t.updateMember(m, r, now)
}

// refute answers records about this daemon's own VM: those of an earlier
// incarnation and verdicts of others are outrun by a higher sequence.
func (t *Table) refute(r Record) (urgent bool) {
	if r.Sequence < t.self.Sequence || r.Incarnation == t.self.Incarnation && !r.isAccusation() {
		return false
	}
	t.self.Sequence = r.Sequence + 1
	return true
}

// addMember adds a member that was not known. Dead strangers are of no interest.
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

// updateMember takes over a newer record of a known member.
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
	// Suspicions come and go with lost messages, in proportion to the fleet;
	// they travel with the ordinary rounds, so that the traffic stays constant.
	return r.State == Dead || r.State != Suspect && old.State != Suspect
}

// fillAddress fills zone and address from the register, which is newer than any
// record.
func (t *Table) fillAddress(m *remoteMember) {
	if v, ok := t.registered[m.rec.VM]; ok {
		m.rec.Zone, m.rec.PeerAddress = v.Zone, v.PeerAddress
	}
}
