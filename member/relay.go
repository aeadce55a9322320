package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFreshRecords is the number of records in a heartbeat that are chosen for
// their freshness. The others are chosen in turn: the record of a distant
// daemon is never among the freshest, but must be relayed from time to time.
const maxFreshRecords = MaxRelayedRecords - 4

// maxZoneRecords is the number of records in a heartbeat that show a zone as
// alive. Without them, records of recent changes and of nearby members displace
// those of distant zones; at 390 members one in sixty pairs of daemon and zone
// was then falsely suspect each second.
const maxZoneRecords = MaxRelayedRecords / 2

// digestDiffersLimit is how long a daemon's digest may differ from those of all
// its peers before it asks one of them for all records. Relayed changes
// normally arrive sooner, except when many members change at once.
const digestDiffersLimit = 3 * time.Second

// RelayRecords returns the records about other members for a heartbeat to a
// peer, at most MaxRelayedRecords. If there are more, it takes the freshest
// record of each zone, then recent changes, then the freshest of all, and
// replaces the last ones by records in turn. Zone and address are omitted if
// the register has them.
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

// worthRelaying reports whether a peer should get the record of a member. The
// record of a dead member is worth relaying only after a recent change. The
// peer's own record is worth relaying only if it calls the peer suspect or
// dead, so that the peer can refute it.
func worthRelaying(m *remoteMember, to string) bool {
	if m.rec.VM == to {
		return m.rec.isAccusation()
	}
	return m.transmitsLeft > 0 || m.rec.State != Dead
}

// freshestMembers returns the freshest member of each zone, then those with
// recent changes, then the freshest of all, at most MaxRelayedRecords.
func (t *Table) freshestMembers(to string) []*remoteMember {
	inRelayOrder := make([]*remoteMember, 0, MaxRelayedRecords+1)
	zones := map[string]*remoteMember{}
	for _, m := range t.members {
		if !worthRelaying(m, to) {
			continue
		}
		if z := zones[m.rec.Zone]; !m.rec.isAccusation() && (z == nil || m.lastHeard.After(z.lastHeard)) {
			zones[m.rec.Zone] = m
		}
		if len(inRelayOrder) == MaxRelayedRecords && !relayedBefore(m, inRelayOrder[MaxRelayedRecords-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(inRelayOrder, m, compareRelayOrder)
		inRelayOrder = slices.Insert(inRelayOrder, i, m)
		inRelayOrder = inRelayOrder[:min(len(inRelayOrder), MaxRelayedRecords)]
	}
	chosen := make([]*remoteMember, 0, MaxRelayedRecords)
	for _, z := range slices.SortedFunc(maps.Values(zones), compareRelayOrder) {
		if len(chosen) < maxZoneRecords {
			chosen = append(chosen, z)
		}
	}
	for _, m := range inRelayOrder {
		if len(chosen) < MaxRelayedRecords && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// compareRelayOrder compares two members for sorting in the order of
// relayedBefore.
func compareRelayOrder(a, b *remoteMember) int {
	if relayedBefore(a, b) {
		return -1
	}
	return 1
}

// relayedBefore reports whether the record of a should be relayed before that
// of b: the one with more transmissions left comes first, then the fresher one.
func relayedBefore(a, b *remoteMember) bool {
	if a.transmitsLeft != b.transmitsLeft {
		return a.transmitsLeft > b.transmitsLeft
	}
	if !a.lastHeard.Equal(b.lastHeard) {
		return a.lastHeard.After(b.lastHeard)
	}
	return a.rec.VM < b.rec.VM
}

// rotateLast replaces the last of the chosen members, except those with recent
// changes, by other members in turn.
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

// memberNames returns the names of the other members, sorted.
func (t *Table) memberNames() []string {
	if t.namesCache == nil {
		t.namesCache = slices.Sorted(maps.Keys(t.members))
	}
	return t.namesCache
}

// AllRecords returns the records of all other members, for a peer that is new
// or lacks records. It includes the record of the peer's own VM, so that a new
// incarnation can continue above the sequence of the previous one.
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
// incarnations. Daemons with the same view of the membership have the same
// digest.
func (t *Table) Digest() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest()
}

// digest returns the cached digest, or computes it after a change.
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

// digestPart returns the hash of one member; the digest combines these hashes.
func digestPart(r Record) uint64 {
	return xxhash.Sum64String(r.VM + "/" + r.Incarnation)
}

// CompareDigest compares the digest of a peer with that of this daemon, for
// NeedsAllRecords.
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

// NeedsAllRecords reports whether this daemon should ask a peer for all
// records, because its digest has differed from those of all peers for
// digestDiffersLimit. After a true result it returns false for
// digestDiffersLimit.
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
