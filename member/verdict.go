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
	t.forgive(now)
	t.watch(now)
	zones := t.zonesHeard()
	for name, m := range t.members {
		if t.judge(m, zones[m.rec.Zone], now) {
			urgent = true
		}
		if _, ok := t.known[name]; !ok && m.rec.State == Dead && now.Sub(m.heard) > keepDead {
			delete(t.members, name)
			t.touch()
		}
	}
	t.refresh(now)
	return urgent
}

// forgive makes up for a pause of this process: silence during it says nothing
// about others.
func (t *Table) forgive(now time.Time) {
	gap := now.Sub(t.ticked)
	t.ticked = now
	if gap < pauseAfter {
		return
	}
	for _, m := range t.members {
		m.heard = m.heard.Add(gap)
		if m.heard.After(now) {
			m.heard = now
		}
	}
}

// watch notes for whom this daemon is a watcher.
func (t *Table) watch(now time.Time) {
	near := t.watchedBy()
	for name, m := range t.members {
		switch {
		case !near[name]:
			m.watched = time.Time{}
		case m.watched.IsZero():
			m.watched = now
		}
	}
}

// zonesHeard returns when any member of each zone was last heard of.
func (t *Table) zonesHeard() map[string]time.Time {
	heard := map[string]time.Time{}
	for _, m := range t.members {
		if m.heard.After(heard[m.rec.Zone]) {
			heard[m.rec.Zone] = m.heard
		}
	}
	return heard
}

// judge makes a silent member suspect or dead.
func (t *Table) judge(m *entry, zone, now time.Time) (urgent bool) {
	if m.rec.State == Dead {
		return false
	}
	verdict := t.verdict(m, zone, now)
	if m.rec.State == Suspect && t.leaving(m.rec.VM) {
		verdict = Dead
	}
	if verdict <= m.rec.State {
		return false
	}
	m.rec.State = verdict
	t.changed(m)
	return verdict == Dead
}

// verdict returns what a member's silence says.
func (t *Table) verdict(m *entry, zone, now time.Time) State {
	silence := now.Sub(m.heard)
	if t.relaysAll() {
		return bySilence(silence)
	}
	if !m.watched.IsZero() {
		return bySilence(min(silence, now.Sub(m.watched)))
	}
	return max(bySilence(now.Sub(zone)), bySilence(silence-t.patience()))
}

// bySilence returns the state after a time without a sign of life.
func bySilence(d time.Duration) State {
	switch {
	case d >= DeadAfter:
		return Dead
	case d >= SuspectAfter:
		return Suspect
	}
	return Alive
}

// relaysAll reports whether every heartbeat can carry all records.
func (t *Table) relaysAll() bool {
	return len(t.members) <= MaxRelayedRecords
}

// patience is the silence that is usual for a member that is not watched here,
// in a fleet whose records do not fit in a heartbeat. It grows with the time in
// which each record comes by in turn. Beyond it the member is suspect first, so
// that those who know better can refute it.
func (t *Table) patience() time.Duration {
	return DeadAfter * time.Duration(2+len(t.members)/MaxRelayedRecords)
}

// leaving reports whether the platform's list lacks a VM or calls it leaving.
// An empty list says nothing.
func (t *Table) leaving(vm string) bool {
	if len(t.live.VMs) == 0 {
		return false
	}
	s, ok := t.live.State(vm)
	return !ok || s == wigeonladder.StateLeaving
}
