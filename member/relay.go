package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFresh is the number of records in a heartbeat that are chosen for their
// freshness. The others take turns: a daemon far away is never among the
// freshest, but its record must come by from time to time.
const maxFresh = MaxRelayedRecords - 4

// maxZones is the number of records in a heartbeat that show a zone as alive.
// Without them, news and near members pushed far zones out, and one in sixty
// pairs of daemon and zone was falsely suspect each second at 390 members.
const maxZones = MaxRelayedRecords / 2

// differsAfter is how long a daemon may differ from all its peers before it asks
// one for all records. News travels faster than that; only after a change of
// many members at once is more needed.
const differsAfter = 3 * time.Second

// RelayRecords returns the records about other members for a heartbeat to a peer, at
// most MaxRelayedRecords. If there are more, they are the freshest of each zone, then
// news, then the freshest of all, then some in turn. Zone and address are left
// out if the register has them.
func (t *Table) RelayRecords(to string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	chosen := t.inTurn(to, t.freshest(to))
	records := make([]Record, len(chosen))
	for i, m := range chosen {
		m.news = max(0, m.news-1)
		records[i] = m.record(now)
		if _, ok := t.known[m.rec.VM]; ok {
			records[i] = records[i].WithoutAddress()
		}
	}
	return records
}

// worth reports whether a peer should hear of a member. It knows about itself,
// except that others doubt it.
func worth(m *entry, to string) bool {
	if m.rec.VM == to {
		return m.rec.verdict()
	}
	return m.news > 0 || m.rec.State != Dead
}

// freshest returns the freshest members of each zone, then those with news,
// then the freshest of all, at most MaxRelayedRecords.
func (t *Table) freshest(to string) []*entry {
	best := make([]*entry, 0, MaxRelayedRecords+1)
	zones := map[string]*entry{}
	for _, m := range t.members {
		if !worth(m, to) {
			continue
		}
		if z := zones[m.rec.Zone]; !m.rec.verdict() && (z == nil || m.heard.After(z.heard)) {
			zones[m.rec.Zone] = m
		}
		if len(best) == MaxRelayedRecords && !before(m, best[MaxRelayedRecords-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, m, order)
		best = slices.Insert(best, i, m)
		best = best[:min(len(best), MaxRelayedRecords)]
	}
	chosen := make([]*entry, 0, MaxRelayedRecords)
	for _, z := range slices.SortedFunc(maps.Values(zones), order) {
		if len(chosen) < maxZones {
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

// order sorts members by urgency.
func order(a, b *entry) int {
	if before(a, b) {
		return -1
	}
	return 1
}

// before reports whether a member's record is more urgent than another's.
func before(a, b *entry) bool {
	if a.news != b.news {
		return a.news > b.news
	}
	if !a.heard.Equal(b.heard) {
		return a.heard.After(b.heard)
	}
	return a.rec.VM < b.rec.VM
}

// inTurn replaces the last of the chosen members, unless they have news, by
// some whose turn it is.
func (t *Table) inTurn(to string, chosen []*entry) []*entry {
	if t.relaysAll() || len(chosen) < MaxRelayedRecords {
		return chosen
	}
	keep := maxFresh
	for keep < MaxRelayedRecords && chosen[keep].news > 0 {
		keep++
	}
	chosen = chosen[:keep]
	names := t.names()
	for range names {
		if len(chosen) == MaxRelayedRecords {
			break
		}
		t.turn++
		m := t.members[names[t.turn%len(names)]]
		if worth(m, to) && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// names returns the other members, sorted.
func (t *Table) names() []string {
	if t.sorted == nil {
		t.sorted = slices.Sorted(maps.Keys(t.members))
	}
	return t.sorted
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
	if t.summed {
		return t.sum
	}
	sum := mark(t.self)
	for _, m := range t.members {
		if m.rec.State != Dead {
			sum ^= mark(m.rec)
		}
	}
	t.sum, t.summed = uint32(sum), true
	return t.sum
}

// mark returns a member's part in the digest.
func mark(r Record) uint64 {
	return xxhash.Sum64String(r.VM + "/" + r.Incarnation)
}

// CompareDigest notes the digest of a peer.
func (t *Table) CompareDigest(digest uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest == t.digest() {
		t.differs = time.Time{}
		return
	}
	if t.differs.IsZero() {
		t.differs = time.Now()
	}
}

// NeedsAllRecords reports whether this daemon should ask a peer for all records: its
// digest has differed from that of every peer for differsAfter. It asks once in
// that time.
func (t *Table) NeedsAllRecords() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.differs.IsZero() || now.Sub(t.differs) < differsAfter {
		return false
	}
	t.differs = now
	return true
}
