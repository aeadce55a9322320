package member

import "time"

// MergeHeartbeat takes over the record of a peer that was heard directly and the records
// that it relays. It reports whether there is news that should spread soon.
func (t *Table) MergeHeartbeat(from Record, relayed []Record) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	from.Age = 0
	urgent = t.learn(from, true, now)
	for _, r := range relayed {
		if t.learn(r, false, now) {
			urgent = true
		}
	}
	t.refresh(now)
	return urgent
}

// KnowsIncarnation reports whether the incarnation of a peer is the known one.
func (t *Table) KnowsIncarnation(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[r.VM]
	return m != nil && m.rec.Incarnation == r.Incarnation && m.rec.State != Dead
}

// learn takes over one record. Only the member's own word or a higher sequence
// shows that it is alive.
func (t *Table) learn(r Record, direct bool, now time.Time) (urgent bool) {
	if r.VM == t.self.VM {
		return t.defend(r)
	}
	m := t.members[r.VM]
	if m == nil {
		return t.join(r, now)
	}
	if direct && r.Incarnation == m.rec.Incarnation && r.Sequence == m.rec.Sequence && !m.rec.verdict() {
		m.heard = now
	}
	if !r.beats(m.rec) {
		if r.verdict() && r.Sequence < m.rec.Sequence && !m.rec.verdict() {
			m.news = t.newsCount()
		}
		return false
	}
	return t.update(m, r, now)
}

// defend answers records about this daemon's own VM: those of an earlier
// incarnation and verdicts of others are outrun by a higher sequence.
func (t *Table) defend(r Record) (urgent bool) {
	if r.Sequence < t.self.Sequence || r.Incarnation == t.self.Incarnation && !r.verdict() {
		return false
	}
	t.self.Sequence = r.Sequence + 1
	return true
}

// join adds a member that was not known. Dead strangers are of no interest.
func (t *Table) join(r Record, now time.Time) (urgent bool) {
	if r.State == Dead {
		return false
	}
	m := &entry{rec: r, heard: now.Add(-r.Age), since: now, draining: r.State == Draining}
	t.locate(m)
	t.members[r.VM] = m
	t.changed(m)
	return true
}

// update takes over a newer record of a known member.
func (t *Table) update(m *entry, r Record, now time.Time) (urgent bool) {
	old := m.rec
	m.rec = r
	if r.Zone == "" {
		m.rec.Zone = old.Zone
	}
	if r.PeerAddress == "" {
		m.rec.PeerAddress = old.PeerAddress
	}
	t.locate(m)
	if !r.verdict() && m.draining != (r.State == Draining) {
		m.draining = !m.draining
		t.stale = true
	}
	if heard := now.Add(-r.Age); !r.verdict() && heard.After(m.heard) {
		m.heard = heard
	}
	if old.State == Dead && r.State != Dead || old.Incarnation != r.Incarnation {
		m.since = now
		t.count(m, false)
	}
	if old.State == r.State && old.Incarnation == r.Incarnation {
		return false
	}
	t.changed(m)
	// Suspicions come and go with lost messages, in proportion to the fleet;
	// they travel with the ordinary rounds, so that the traffic stays constant.
	return r.State == Dead || r.State != Suspect && old.State != Suspect
}

// locate fills zone and address from the register, which is newer than any
// record.
func (t *Table) locate(m *entry) {
	if v, ok := t.known[m.rec.VM]; ok {
		m.rec.Zone, m.rec.PeerAddress = v.Zone, v.PeerAddress
	}
}
