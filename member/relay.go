package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFreshRecords is the number of records in a heartbeat that are chosen for their
// freshness. The others take turns: a daemon far away is never among the
// freshest, but its record must come by from time to time.
const maxFreshRecords = MaxRelayedRecords - 4

// maxZoneRecords is the number of records in a heartbeat that show a zone as alive.
// Without them, news and near members pushed far zones out, and one in sixty
// pairs of daemon and zone was falsely suspect each second at 390 members.
const maxZoneRecords = MaxRelayedRecords / 2

// digestDiffersLimit is how long a daemon may differ from all its peers before it asks
// one for all records. News travels faster than that; only after a change of
// many members at once is more needed.
const digestDiffersLimit = 3 * time.Second

// RelayRecords returns the records about other members for a heartbeat to a peer, at
// most MaxRelayedRecords. If there are more, they are the freshest of each zone, then
// news, then the freshest of all, then some in turn. Zone and address are left
// out if the register has them.
func (t *Table) RelayRecords(to string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	chosen := t.rotateLast(to, t.freshestMembers(to))
	records := make([]Record, len(chosen))
	for i, m := range chosen {
		m.transmitsLeft = max(0, m.transmitsLeft-1)
		records[i] = m.record(now)
		if _, ok := t.registered[m.rec.VM]; ok {
			records[i] = records[i].WithoutAddress()
		}
	}
	return records
}

// worthRelaying reports whether a peer should hear of a member. It knows about itself,
// except that others doubt it.
func worthRelaying(m *remoteMember, to string) bool {
	if m.rec.VM == to {
		return m.rec.isAccusation()
	}
	return m.transmitsLeft > 0 || m.rec.State != Dead
}

// freshestMembers returns the freshestMembers members of each zone, then those with news,
// then the freshestMembers of all, at most MaxRelayedRecords.
func (t *Table) freshestMembers(to string) []*remoteMember {
	best := make([]*remoteMember, 0, MaxRelayedRecords+1)
	zones := map[string]*remoteMember{}
	for _, m := range t.members {
		if !worthRelaying(m, to) {
			continue
		}
		if z := zones[m.rec.Zone]; !m.rec.isAccusation() && (z == nil || m.lastHeard.After(z.lastHeard)) {
			zones[m.rec.Zone] = m
		}
		if len(best) == MaxRelayedRecords && !moreUrgent(m, best[MaxRelayedRecords-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, m, compareUrgency)
		best = slices.Insert(best, i, m)
		best = best[:min(len(best), MaxRelayedRecords)]
	}
	chosen := make([]*remoteMember, 0, MaxRelayedRecords)
	for _, z := range slices.SortedFunc(maps.Values(zones), compareUrgency) {
		if len(chosen) < maxZoneRecords {
			chosen = append(chosen, z)
		}
	}
	for _, m := range best {
		if len(chosen) < MaxRelayedRecords && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// compareUrgency sorts members by urgency.
func compareUrgency(a, b *remoteMember) int {
	if moreUrgent(a, b) {
		return -1
	}
	return 1
}

// moreUrgent reports whether a member's record is more urgent than another's.
func moreUrgent(a, b *remoteMember) bool {
	if a.transmitsLeft != b.transmitsLeft {
		return a.transmitsLeft > b.transmitsLeft
	}
	if !a.lastHeard.Equal(b.lastHeard) {
		return a.lastHeard.After(b.lastHeard)
	}
	return a.rec.VM < b.rec.VM
}

// rotateLast replaces the last of the chosen members, unless they have news, by
// some whose turn it is.
func (t *Table) rotateLast(to string, chosen []*remoteMember) []*remoteMember {
	if t.relaysAllRecords() || len(chosen) < MaxRelayedRecords {
		return chosen
	}
	keep := maxFreshRecords
	for keep < MaxRelayedRecords && chosen[keep].transmitsLeft > 0 {
		keep++
	}
	chosen = chosen[:keep]
	names := t.memberNames()
	for range names {
		if len(chosen) == MaxRelayedRecords {
			break
		}
		t.relayTurn++
		m := t.members[names[t.relayTurn%len(names)]]
		if worthRelaying(m, to) && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// memberNames returns the other members, sorted.
func (t *Table) memberNames() []string {
	if t.namesCache == nil {
		t.namesCache = slices.Sorted(maps.Keys(t.members))
	}
	return t.namesCache
}

// AllRecords returns the records of all members, for a peer that is new. It includes
// what is known about the peer's own VM, so that a new incarnation can continue
// above the sequence of the previous one.
func (t *Table) AllRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := make([]Record, 0, len(t.members))
	for _, m := range t.members {
		l = append(l, m.record(now))
	}
	return l
}

// Digest returns a digest of the members that are not dead and of their
// incarnations. It is equal at daemons that agree.
func (t *Table) Digest() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest()
}

// digest returns the digest, computed anew after a change.
func (t *Table) digest() uint32 {
	if t.digestValid {
		return t.digestCache
	}
	sum := digestPart(t.self)
	for _, m := range t.members {
		if m.rec.State != Dead {
			sum ^= digestPart(m.rec)
		}
	}
	t.digestCache, t.digestValid = uint32(sum), true
	return t.digestCache
}

// digestPart returns a member's part in the digest.
func digestPart(r Record) uint64 {
	return xxhash.Sum64String(r.VM + "/" + r.Incarnation)
}

// CompareDigest notes the digest of a peer.
func (t *Table) CompareDigest(digest uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest == t.digest() {
		t.digestDiffersSince = time.Time{}
		return
	}
	if t.digestDiffersSince.IsZero() {
		t.digestDiffersSince = time.Now()
	}
}

// NeedsAllRecords reports whether this daemon should ask a peer for all records: its
// digest has differed from that of every peer for differsAfter. It asks once in
// that time.
func (t *Table) NeedsAllRecords() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.digestDiffersSince.IsZero() || now.Sub(t.digestDiffersSince) < digestDiffersLimit {
		return false
	}
	t.digestDiffersSince = now
	return true
}
