package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// homes are the members that may be homes, and the homes that were computed
// from them.
type homes struct {
	zones map[string][]string
	all   []string
	cache map[string]string
}

// refresh counts members for homes and recomputes the pools if they changed.
//
// Rule of the hysteresis: a member counts once it was seen alive for
// HomeEligibleAfter, and then until it dies. The first daemons of a fleet have nobody
// older to leave the homes to: while no counted member is known at the end of
// the listening time, all members known alive count at once. A started daemon
// listens until it hears of a counted member, has heard all VMs of the
// register, or DiscoveryTimeout has passed; until then it names no homes.
func (t *Table) refresh(now time.Time) {
	t.listen(now)
	if t.listening || !t.settling && !t.stale {
		return
	}
	young := !t.anyCounted()
	if !t.self.HomeEligible && (young || now.Sub(t.started) >= HomeEligibleAfter) {
		t.self.HomeEligible = true
		t.stale = true
	}
	t.settling = !t.self.HomeEligible
	for _, m := range t.members {
		if m.rec.State != Dead && (young || now.Sub(m.since) >= HomeEligibleAfter || t.vouched(m, now)) {
			t.count(m, true)
		}
		if m.rec.State == Dead {
			t.count(m, false)
		}
		if m.rec.State != Dead && !m.counted {
			t.settling = true
		}
	}
	if t.stale {
		t.stale = false
		t.pool()
	}
}

// count notes whether a member takes homes.
func (t *Table) count(m *entry, counted bool) {
	if m.counted != counted {
		m.counted = counted
		t.stale = true
	}
}

// listen ends the listening time.
func (t *Table) listen(now time.Time) {
	if !t.listening {
		return
	}
	heard := len(t.seeds) == 0 || len(t.members) > 0
	for name := range t.known {
		if t.members[name] == nil {
			heard = false
		}
	}
	if heard && len(t.known) == 0 && len(t.members) == 0 && len(t.seeds) == 0 {
		// Nothing is known yet, so nothing can be heard: wait for the register.
		heard = false
	}
	t.listening = !heard && now.Sub(t.started) < DiscoveryTimeout && !t.anyCounted()
}

// anyCounted reports whether a member counts, by this daemon's own judgement
// or, while it is new, by the word of others.
func (t *Table) anyCounted() bool {
	if t.self.HomeEligible {
		return true
	}
	for _, m := range t.members {
		if m.rec.State != Dead && (m.counted || m.rec.HomeEligible) {
			return true
		}
	}
	return false
}

// vouched reports whether a daemon that is new itself may rely on the word of
// others that a member counts. Later its own observation decides, so that a
// zone that rejoins does not take its homes at once.
func (t *Table) vouched(m *entry, now time.Time) bool {
	return m.rec.HomeEligible && now.Sub(t.started) < HomeEligibleAfter
}

// pool recomputes the members that may be homes.
func (t *Table) pool() {
	zones := map[string][]string{}
	var all []string
	add := func(r Record) {
		zones[r.Zone] = append(zones[r.Zone], r.VM)
		all = append(all, r.VM)
	}
	if t.self.HomeEligible && t.self.State == Alive {
		add(t.self)
	}
	for _, m := range t.members {
		// A suspect keeps its homes until it is dead.
		if m.counted && !m.draining && m.rec.State != Dead {
			add(m.rec)
		}
	}
	slices.Sort(all)
	if slices.Equal(all, t.homes.all) && t.homes.cache != nil {
		return
	}
	t.homes = homes{zones: zones, all: all, cache: map[string]string{}}
	t.version++
}

// HomeOf returns the home of a backend server by rendezvous hashing over the
// counted members of its zone, or over all if the zone has none; ok is false if
// nobody counts.
func (t *Table) HomeOf(s wigeonladder.Server) (vm string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listening {
		t.refresh(time.Now())
	}
	key := s.Zone + "/" + s.Name
	if vm, ok = t.homes.cache[key]; ok {
		return vm, true
	}
	pool := t.homes.zones[s.Zone]
	if len(pool) == 0 {
		pool = t.homes.all
	}
	if len(pool) == 0 {
		return "", false
	}
	vm = rendezvous(pool, s.Name)
	t.homes.cache[key] = vm
	return vm, true
}

// rendezvous returns the member with the highest hash for a server.
func rendezvous(pool []string, server string) string {
	best := ""
	var top uint64
	for _, vm := range pool {
		h := xxhash.Sum64String(vm + "/" + server)
		if best == "" || h > top || h == top && vm < best {
			best, top = vm, h
		}
	}
	return best
}
