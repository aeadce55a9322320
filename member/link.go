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

// StartRound starts a round of heartbeats: it raises the own sequence and returns the
// own record and the peers to send to, at most MaxHeartbeatTargets.
func (t *Table) StartRound() (Record, []HeartbeatTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	t.self.Sequence++
	names := t.links()
	targets := make([]HeartbeatTarget, len(names))
	for i, name := range names {
		targets[i] = HeartbeatTarget{VM: name, Address: t.members[name].rec.PeerAddress}
	}
	return t.self, t.probe(targets)
}

// links returns the members that get a heartbeat in this round: the next two of
// the own zone's ring, always the same, so that they notice silence; one at a
// distance of a power of two, in turn, so that news needs O(log n) rounds; and
// one of another zone, in turn.
func (t *Table) links() []string {
	zones := t.rings()
	others := 0
	for _, ring := range zones {
		others += len(ring)
	}
	others--
	if others <= MaxHeartbeatTargets {
		return t.everybody()
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
	add(t.abroad(zones, rank, 0))
	add(ring[(rank+finger(len(ring), t.round))%len(ring)])
	for i := 1; len(names) < MaxHeartbeatTargets && i <= len(ring)+len(zones); i++ {
		add(ring[(rank+i)%len(ring)])
		add(t.abroad(zones, rank, i))
	}
	return names
}

// finger returns a distance in a ring of the given size: 4, 8, 16 and so on, in
// turn. Smaller rings have none and get the next neighbour.
func finger(size, round int) int {
	count := 0
	for d := 4; d < size; d *= 2 {
		count++
	}
	if count == 0 {
		return 3
	}
	return 4 << (round % count)
}

// abroad returns the member of another zone that stands where this daemon
// stands in its own. Rank and round choose the zone, so that every pair of
// zones is linked in every round if the zones are large enough, and each daemon
// keeps only one peer per zone.
func (t *Table) abroad(zones map[string][]string, rank, skip int) string {
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
// together, and a ring heals fastest if they are not neighbours.
func (t *Table) rings() map[string][]string {
	if t.zones != nil {
		return t.zones
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
	t.zones = zones
	return zones
}

// everybody returns the other members that are not dead, sorted.
func (t *Table) everybody() []string {
	var names []string
	for name, m := range t.members {
		if m.rec.State != Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// watchedBy returns the members who send a heartbeat to this daemon in every
// round: the two before it in the own zone's ring.
func (t *Table) watchedBy() map[string]bool {
	ring := t.rings()[t.self.Zone]
	rank := slices.Index(ring, t.self.VM)
	near := map[string]bool{}
	for d := range min(2, len(ring)-1) {
		near[ring[(rank-1-d+len(ring))%len(ring)]] = true
	}
	return near
}

// probeEvery is the number of rounds between probes in a fleet that has enough
// members to fill the links.
const probeEvery = 3

// probe adds daemons that are not known to be alive. In a small fleet they fill
// free links. In a large one a probe takes the last link in every third round:
// this bounds the load of a rejoin after a partition, and finds everybody
// because all daemons do it. A suspect that this daemon watches is asked at
// once.
func (t *Table) probe(targets []HeartbeatTarget) []HeartbeatTarget {
	for _, c := range t.suspects() {
		if len(targets) == MaxHeartbeatTargets {
			targets[MaxHeartbeatTargets-1] = c
			return targets
		}
	}
	if len(targets) == MaxHeartbeatTargets && t.round%probeEvery == 0 {
		targets = targets[:MaxHeartbeatTargets-1]
	}
	if len(targets) == MaxHeartbeatTargets {
		return targets
	}
	for _, c := range t.candidates() {
		if len(targets) >= MaxHeartbeatTargets {
			break
		}
		targets = append(targets, c)
		t.tried[c.Address] = time.Now()
	}
	return targets
}

// suspects returns the watched members that are suspect.
func (t *Table) suspects() []HeartbeatTarget {
	var l []HeartbeatTarget
	for name, m := range t.members {
		if m.rec.State == Suspect && !m.watched.IsZero() {
			l = append(l, HeartbeatTarget{VM: name, Address: m.rec.PeerAddress})
		}
	}
	slices.SortFunc(l, func(a, b HeartbeatTarget) int { return cmp.Compare(a.VM, b.VM) })
	return l
}

// candidates returns the addresses to try: VMs of the register that are not
// known to be alive, dead members, and seeds that belong to no known member.
// The one tried longest ago comes first; those that the live list lacks last.
func (t *Table) candidates() []HeartbeatTarget {
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
	for name, v := range t.known {
		add(name, v.PeerAddress)
	}
	for name, m := range t.members {
		add(name, m.rec.PeerAddress)
	}
	for address := range t.seeds {
		add("", address)
	}
	for address := range t.tried {
		if used[address] && !wanted[address] {
			delete(t.tried, address)
		}
	}
	slices.SortFunc(l, func(a, b HeartbeatTarget) int {
		return cmp.Or(
			cmp.Compare(t.unlisted(a.VM), t.unlisted(b.VM)),
			t.tried[a.Address].Compare(t.tried[b.Address]),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return l
}

// unlisted returns 1 for a VM that the live list lacks or calls leaving and
// that was tried before, otherwise 0.
func (t *Table) unlisted(vm string) int {
	if vm != "" && t.leaving(vm) {
		return 1
	}
	return 0
}
