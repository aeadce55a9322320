package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// homePools holds the members that may be homes, by zone and in all, and caches
// the home of each backend server.
type homePools struct {
	zones map[string][]string
	all   []string
	cache map[string]string
}

// refreshHomePools updates which members are eligible as homes and rebuilds the
// pools if that changed.
//
// Eligibility has hysteresis: a member becomes eligible once it has been seen
// alive for HomeEligibleAfter, and stays so until it dies. The first daemons of
// a fleet have no older members that could be homes meanwhile: if no eligible
// member is known when discovery has ended, all members known to be alive
// become eligible at once. Discovery of a started daemon ends when it
// knows of an eligible member, has records of all VMs of the register, or
// DiscoveryTimeout has passed; until then it names no homes.
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

// setHomeEligible records whether a member may be a home.
func (t *Table) setHomeEligible(m *remoteMember, eligible bool) {
	if m.homeEligible != eligible {
		m.homeEligible = eligible
		t.poolsStale = true
	}
}

// updateDiscovery ends discovery once a condition stated at refreshHomePools
// holds.
func (t *Table) updateDiscovery(now time.Time) {
	if !t.discovering {
		return
	}
	allHeard := len(t.seeds) == 0 || len(t.members) > 0
	for name := range t.registered {
		if t.members[name] == nil {
			allHeard = false
		}
	}
	if allHeard && len(t.registered) == 0 && len(t.members) == 0 && len(t.seeds) == 0 {
		// No address is known yet, so no daemon can answer: wait for the
		// register.
		allHeard = false
	}
	t.discovering = !allHeard && now.Sub(t.started) < DiscoveryTimeout && !t.anyHomeEligible()
}

// anyHomeEligible reports whether some member is eligible as a home according
// to this daemon or to any received record.
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

// reportedEligible reports whether a member is eligible because a record says
// so. Only a daemon that has just started relies on records for this. Later its
// own observation decides, so that a zone that rejoins does not get its homes
// back at once.
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
		// A suspect member stays in the pools until it is dead.
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

// HomeOf returns the home of a backend server. It chooses by rendezvous hashing
// among the eligible members of the server's zone, or among all eligible
// members if the zone has none; ok is false if no member is eligible.
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

// rendezvous returns the member whose hash with the server's name is highest.
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
