package member

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Tick passes the verdicts that time brings. It is called before every round of
// heartbeats and reports whether there is news that should spread soon.
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

// discountPause makes up for a pause of this process: silence during it says nothing
// about others.
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

// updateWatched notes for whom this daemon is a watcher.
func (t *Table) updateWatched(now time.Time) {
	near := t.watchedNeighbours()
	for name, m := range t.members {
		switch {
		case !near[name]:
			m.watchedSince = time.Time{}
		case m.watchedSince.IsZero():
			m.watchedSince = now
		}
	}
}

// zonesLastHeard returns when any member of each zone was last heard of.
func (t *Table) zonesLastHeard() map[string]time.Time {
	heard := map[string]time.Time{}
	for _, m := range t.members {
		if m.lastHeard.After(heard[m.rec.Zone]) {
			heard[m.rec.Zone] = m.lastHeard
		}
	}
	return heard
}

// updateState makes a silent member suspect or dead.
func (t *Table) updateState(m *remoteMember, zone, now time.Time) (urgent bool) {
	if m.rec.State == Dead {
		return false
	}
	verdict := t.observedState(m, zone, now)
	if m.rec.State == Suspect && t.notLive(m.rec.VM) {
		verdict = Dead
	}
	if verdict <= m.rec.State {
		return false
	}
	m.rec.State = verdict
	t.noteChange(m)
	return verdict == Dead
}

// observedState returns what a member's silence says.
func (t *Table) observedState(m *remoteMember, zone, now time.Time) State {
	silence := now.Sub(m.lastHeard)
	if t.relaysAllRecords() {
		return stateAfterSilence(silence)
	}
	if !m.watchedSince.IsZero() {
		return stateAfterSilence(min(silence, now.Sub(m.watchedSince)))
	}
	return max(stateAfterSilence(now.Sub(zone)), stateAfterSilence(silence-t.relayAllowance()))
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

// relayAllowance is the silence that is usual for a member that is not watched here,
// in a fleet whose records do not fit in a heartbeat. It grows with the time in
// which each record comes by in turn. Beyond it the member is suspect first, so
// that those who know better can refute it.
func (t *Table) relayAllowance() time.Duration {
	return DeadAfter * time.Duration(2+len(t.members)/MaxRelayedRecords)
}

// notLive reports whether the platform's list lacks a VM or calls it notLive.
// An empty list says nothing.
func (t *Table) notLive(vm string) bool {
	if len(t.liveList.VMs) == 0 {
		return false
	}
	s, ok := t.liveList.State(vm)
	return !ok || s == wigeonladder.StateLeaving
}
