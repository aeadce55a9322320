package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HeartbeatTarget is a peer that gets a heartbeat in one round.
type HeartbeatTarget struct {
	// VM is empty for a seed, of which only the address is known.
	VM      string
	Address string
}

// StartRound starts a round of heartbeats. It raises this daemon's sequence and
// returns its record and the peers to send it to, at most MaxHeartbeatTargets.
func (t *Table) StartRound() (Record, []HeartbeatTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	t.self.Sequence++
	names := t.chooseTargets()
	targets := make([]HeartbeatTarget, len(names))
	for i, name := range names {
		targets[i] = HeartbeatTarget{VM: name, Address: t.members[name].rec.PeerAddress}
	}
	return t.self, t.addProbes(targets)
}

// chooseTargets returns the members that get a heartbeat in this round: the
// next two of its zone's ring in every round, so that they can detect that this
// daemon has failed; one at a distance of a power of two, in turn, so that
// a change reaches all members in O(log n) rounds; and one of another zone, in
// turn.
func (t *Table) chooseTargets() []string {
	zones := t.rings()
	others := 0
	for _, ring := range zones {
		others += len(ring)
	}
	others--
	if others <= MaxHeartbeatTargets {
		return t.otherMembers()
	}
	ring := zones[t.self.Zone]
	rank := slices.Index(ring, t.self.VM)
	var names []string
	add := func(name string) {
		if len(names) < MaxHeartbeatTargets && name != t.self.VM && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	add(ring[(rank+1)%len(ring)])
	add(ring[(rank+2)%len(ring)])
	add(t.crossZonePeer(zones, rank, 0))
	add(ring[(rank+fingerDistance(len(ring), t.round))%len(ring)])
	for i := 1; len(names) < MaxHeartbeatTargets && i <= len(ring)+len(zones); i++ {
		add(ring[(rank+i)%len(ring)])
		add(t.crossZonePeer(zones, rank, i))
	}
	return names
}

// fingerDistance returns a distance in a ring of the given size: 4, 8, 16 and
// so on, in turn by round. A ring of at most 4 members has no such distance;
// there it returns 3.
func fingerDistance(size, round int) int {
	count := 0
	for d := 4; d < size; d *= 2 {
		count++
	}
	if count == 0 {
		return 3
	}
	return 4 << (round % count)
}

// crossZonePeer returns the member of another zone whose relative position in
// its ring is that of this daemon in its own, or this daemon's VM if there is
// no other zone. Rank and round choose the zone; skip chooses a later one.
// Every pair of zones is therefore connected in every round if the zones are
// large enough, and each daemon exchanges heartbeats with only one peer per
// zone.
func (t *Table) crossZonePeer(zones map[string][]string, rank, skip int) string {
	names := slices.Sorted(maps.Keys(zones))
	names = slices.DeleteFunc(names, func(z string) bool { return z == t.self.Zone })
	if len(names) == 0 {
		return t.self.VM
	}
	ring := zones[names[(rank+t.round+skip)%len(names)]]
	return ring[rank*len(ring)/len(zones[t.self.Zone])]
}

// rings returns the members that are not dead, this one included, by zone. A
// ring is ordered by the hash of the names: VMs with similar names often fail
// together, and a ring recovers fastest if they are not neighbours.
func (t *Table) rings() map[string][]string {
	if t.ringsCache != nil {
		return t.ringsCache
	}
	zones := map[string][]string{t.self.Zone: {t.self.VM}}
	for name, m := range t.members {
		if m.rec.State != Dead {
			zones[m.rec.Zone] = append(zones[m.rec.Zone], name)
		}
	}
	for _, ring := range zones {
		slices.SortFunc(ring, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
	}
	t.ringsCache = zones
	return zones
}

// otherMembers returns the names of the other members that are not dead,
// sorted.
func (t *Table) otherMembers() []string {
	var names []string
	for name, m := range t.members {
		if m.rec.State != Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// watchedNeighbours returns the members that this daemon watches for failure,
// because they send it a heartbeat in every round: the two before it in its
// zone's ring.
func (t *Table) watchedNeighbours() map[string]bool {
	ring := t.rings()[t.self.Zone]
	rank := slices.Index(ring, t.self.VM)
	watched := map[string]bool{}
	for d := range min(2, len(ring)-1) {
		watched[ring[(rank-1-d+len(ring))%len(ring)]] = true
	}
	return watched
}

// roundsPerProbe is the number of rounds between probes in a fleet that has
// enough members to use all heartbeats of a round.
const roundsPerProbe = 3

// addProbes adds targets that are not known to be alive. In a small fleet the
// probes use those heartbeats of a round that no member gets. In a large one a
// probe replaces the last target in every third round: this bounds the load
// when a partition heals, and all lost members are still found because every
// daemon probes. A suspect that this daemon watches gets a heartbeat in the
// same round.
func (t *Table) addProbes(targets []HeartbeatTarget) []HeartbeatTarget {
	for _, c := range t.watchedSuspects() {
		if len(targets) == MaxHeartbeatTargets {
			targets[MaxHeartbeatTargets-1] = c
			return targets
		}
	}
	if len(targets) == MaxHeartbeatTargets && t.round%roundsPerProbe == 0 {
		targets = targets[:MaxHeartbeatTargets-1]
	}
	if len(targets) == MaxHeartbeatTargets {
		return targets
	}
	for _, c := range t.probeCandidates() {
		if len(targets) >= MaxHeartbeatTargets {
			break
		}
		targets = append(targets, c)
		t.lastProbed[c.Address] = time.Now()
	}
	return targets
}

// watchedSuspects returns the suspect members that this daemon watches.
func (t *Table) watchedSuspects() []HeartbeatTarget {
	var l []HeartbeatTarget
	for name, m := range t.members {
		if m.rec.State == Suspect && !m.watchedSince.IsZero() {
			l = append(l, HeartbeatTarget{VM: name, Address: m.rec.PeerAddress})
		}
	}
	slices.SortFunc(l, func(a, b HeartbeatTarget) int { return cmp.Compare(a.VM, b.VM) })
	return l
}

// probeCandidates returns the addresses to probe: VMs of the register that are
// not known to be alive, dead members, and seeds that belong to no known
// member. VMs that the live list lacks or lists as leaving come last; among the
// others the one probed longest ago comes first.
func (t *Table) probeCandidates() []HeartbeatTarget {
	var l []HeartbeatTarget
	used := map[string]bool{t.self.PeerAddress: true}
	wanted := map[string]bool{}
	for _, m := range t.members {
		if m.rec.State != Dead {
			used[m.rec.PeerAddress] = true
		}
	}
	add := func(vm, address string) {
		if address != "" && !used[address] {
			used[address] = true
			wanted[address] = true
			l = append(l, HeartbeatTarget{VM: vm, Address: address})
		}
	}
	for name, v := range t.registered {
		add(name, v.PeerAddress)
	}
	for name, m := range t.members {
		add(name, m.rec.PeerAddress)
	}
	for address := range t.seeds {
		add("", address)
	}
	for address := range t.lastProbed {
		if used[address] && !wanted[address] {
			delete(t.lastProbed, address)
		}
	}
	slices.SortFunc(l, func(a, b HeartbeatTarget) int {
		return cmp.Or(
			cmp.Compare(t.notLiveRank(a.VM), t.notLiveRank(b.VM)),
			t.lastProbed[a.Address].Compare(t.lastProbed[b.Address]),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return l
}

// notLiveRank returns 1 for a VM that the live list lacks or lists as leaving,
// otherwise 0.
func (t *Table) notLiveRank(vm string) int {
	if vm != "" && t.notLive(vm) {
		return 1
	}
	return 0
}
