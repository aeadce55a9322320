package member

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Tick marks silent members as suspect or dead. It must be called before every
// round of heartbeats. It reports whether this daemon should send its next
// heartbeats early to spread a change.
func (t *Table) Tick() (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.discountPause(now)
	t.updateWatched(now)
	zones := t.zonesLastHeard()
	for name, m := range t.members {
		if t.updateState(m, zones[m.rec.Zone], now) {
			urgent = true
		}
		if _, ok := t.registered[name]; !ok && m.rec.State == Dead && now.Sub(m.lastHeard) > deadRetention {
			delete(t.members, name)
			t.invalidateCaches()
		}
	}
	t.refreshHomePools(now)
	return urgent
}

// discountPause compensates for a pause of this process: that nothing was
// received during it does not show that others failed.
func (t *Table) discountPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < pauseThreshold {
		return
	}
	for _, m := range t.members {
		m.lastHeard = m.lastHeard.Add(gap)
		if m.lastHeard.After(now) {
			m.lastHeard = now
		}
	}
}

// updateWatched records which members this daemon watches for failure.
func (t *Table) updateWatched(now time.Time) {
	watched := t.watchedNeighbours()
	for name, m := range t.members {
		switch {
		case !watched[name]:
			m.watchedSince = time.Time{}
		case m.watchedSince.IsZero():
			m.watchedSince = now
		}
	}
}

// zonesLastHeard returns, for each zone, when any of its members last gave a
// sign of life.
func (t *Table) zonesLastHeard() map[string]time.Time {
	heard := map[string]time.Time{}
	for _, m := range t.members {
		if m.lastHeard.After(heard[m.rec.Zone]) {
			heard[m.rec.Zone] = m.lastHeard
		}
	}
	return heard
}

// updateState marks a silent member as suspect or dead. A suspect that the live
// list lacks or lists as leaving is dead at once.
func (t *Table) updateState(m *remoteMember, zoneHeard, now time.Time) (urgent bool) {
	if m.rec.State == Dead {
		return false
	}
	state := t.observedState(m, zoneHeard, now)
	if m.rec.State == Suspect && t.notLive(m.rec.VM) {
		state = Dead
	}
	if state <= m.rec.State {
		return false
	}
	m.rec.State = state
	t.noteChange(m)
	return state == Dead
}

// observedState returns the state that a member's silence indicates.
func (t *Table) observedState(m *remoteMember, zoneHeard, now time.Time) State {
	silence := now.Sub(m.lastHeard)
	if t.relaysAllRecords() {
		return stateAfterSilence(silence)
	}
	if !m.watchedSince.IsZero() {
		return stateAfterSilence(min(silence, now.Sub(m.watchedSince)))
	}
	return max(stateAfterSilence(now.Sub(zoneHeard)), stateAfterSilence(silence-t.relayAllowance()))
}

// stateAfterSilence returns the state after a time without a sign of life.
func stateAfterSilence(d time.Duration) State {
	switch {
	case d >= DeadAfter:
		return Dead
	case d >= SuspectAfter:
		return Suspect
	}
	return Alive
}

// relaysAllRecords reports whether every heartbeat can carry all records.
func (t *Table) relaysAllRecords() bool {
	return len(t.members) <= MaxRelayedRecords
}

// relayAllowance is the silence that is normal for a member that this daemon
// does not watch, in a fleet whose records do not fit into one heartbeat. It
// grows with the time in which each record is relayed in turn. A member that is
// silent for longer becomes suspect before it becomes dead, so that daemons
// with a newer record can refute the suspicion.
func (t *Table) relayAllowance() time.Duration {
	return DeadAfter * time.Duration(2+len(t.members)/MaxRelayedRecords)
}

// notLive reports whether the platform's list lacks a VM or lists it as
// leaving. It is false for every VM if the list is empty.
func (t *Table) notLive(vm string) bool {
	if len(t.liveList.VMs) == 0 {
		return false
	}
	s, ok := t.liveList.State(vm)
	return !ok || s == wigeonladder.StateLeaving
}
