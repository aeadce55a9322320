package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// homePools are the members that may be homePools, and the homePools that were computed
// from them.
type homePools struct {
	zones map[string][]string
	all   []string
	cache map[string]string
}

// refreshHomePools counts members for homes and recomputes the pools if they changed.
//
// Rule of the hysteresis: a member counts once it was seen alive for
// HomeEligibleAfter, and then until it dies. The first daemons of a fleet have nobody
// older to leave the homes to: while no counted member is known at the end of
// the listening time, all members known alive count at once. A started daemon
// listens until it hears of a counted member, has heard all VMs of the
// register, or DiscoveryTimeout has passed; until then it names no homes.
func (t *Table) refreshHomePools(now time.Time) {
	t.updateDiscovery(now)
	if t.discovering || !t.eligibilityPending && !t.poolsStale {
		return
	}
	noneEligible := !t.anyHomeEligible()
	if !t.self.HomeEligible && (noneEligible || now.Sub(t.started) >= HomeEligibleAfter) {
		t.self.HomeEligible = true
		t.poolsStale = true
	}
	t.eligibilityPending = !t.self.HomeEligible
	for _, m := range t.members {
		if m.rec.State != Dead && (noneEligible || now.Sub(m.aliveSince) >= HomeEligibleAfter || t.reportedEligible(m, now)) {
			t.setHomeEligible(m, true)
		}
		if m.rec.State == Dead {
			t.setHomeEligible(m, false)
		}
		if m.rec.State != Dead && !m.homeEligible {
			t.eligibilityPending = true
		}
	}
	if t.poolsStale {
		t.poolsStale = false
		t.rebuildHomePools()
	}
}

// setHomeEligible notes whether a member takes homes.
func (t *Table) setHomeEligible(m *remoteMember, counted bool) {
	if m.homeEligible != counted {
		m.homeEligible = counted
		t.poolsStale = true
	}
}

// updateDiscovery ends the listening time.
func (t *Table) updateDiscovery(now time.Time) {
	if !t.discovering {
		return
	}
	heard := len(t.seeds) == 0 || len(t.members) > 0
	for name := range t.registered {
		if t.members[name] == nil {
			heard = false
		}
	}
	if heard && len(t.registered) == 0 && len(t.members) == 0 && len(t.seeds) == 0 {
		// Nothing is known yet, so nothing can be heard: wait for the register.
		heard = false
	}
	t.discovering = !heard && now.Sub(t.started) < DiscoveryTimeout && !t.anyHomeEligible()
}

// anyHomeEligible reports whether a member counts, by this daemon's own judgement
// or, while it is new, by the word of others.
func (t *Table) anyHomeEligible() bool {
	if t.self.HomeEligible {
		return true
	}
	for _, m := range t.members {
		if m.rec.State != Dead && (m.homeEligible || m.rec.HomeEligible) {
			return true
		}
	}
	return false
}

// reportedEligible reports whether a daemon that is new itself may rely on the word of
// others that a member counts. Later its own observation decides, so that a
// zone that rejoins does not take its homes at once.
func (t *Table) reportedEligible(m *remoteMember, now time.Time) bool {
	return m.rec.HomeEligible && now.Sub(t.started) < HomeEligibleAfter
}

// rebuildHomePools recomputes the members that may be homes.
func (t *Table) rebuildHomePools() {
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
		if m.homeEligible && !m.draining && m.rec.State != Dead {
			add(m.rec)
		}
	}
	slices.Sort(all)
	if slices.Equal(all, t.homes.all) && t.homes.cache != nil {
		return
	}
	t.homes = homePools{zones: zones, all: all, cache: map[string]string{}}
	t.version++
}

// HomeOf returns the home of a backend server by rendezvous hashing over the
// counted members of its zone, or over all if the zone has none; ok is false if
// nobody counts.
func (t *Table) HomeOf(s wigeonladder.Server) (vm string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.discovering {
		t.refreshHomePools(time.Now())
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
