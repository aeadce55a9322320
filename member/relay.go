package member

import (
	"cmp"
	"slices"
	"time"
)

// Relay returns the records about other members for a heartbeat to a peer: at
// most MaxRelay, news first, then the freshest. Zone and address are left out
// if the register has them.
func (t *Table) Relay(to string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.relayable(to)
	if len(l) > MaxRelay {
		l = l[:MaxRelay]
	}
	now := time.Now()
	records := make([]Record, len(l))
	for i, m := range l {
		m.news = max(0, m.news-1)
		records[i] = m.record(now)
		if _, ok := t.known[m.rec.VM]; ok {
			records[i] = records[i].WithoutAddress()
		}
	}
	return records
}

// relayable returns the members worth telling a peer about, in order.
func (t *Table) relayable(to string) []*entry {
	l := make([]*entry, 0, len(t.members))
	for name, m := range t.members {
		// A peer knows about itself, except that others doubt it.
		if name == to && !m.rec.verdict() {
			continue
		}
		if m.news > 0 || m.rec.State != Dead || name == to {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(b.news, a.news),
			b.heard.Compare(a.heard),
			cmp.Compare(a.rec.VM, b.rec.VM),
		)
	})
	return l
}

// All returns the records of all members, for a peer that is new. It includes
// what is known about the peer's own VM, so that a new incarnation can continue
// above the sequence of the previous one.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := make([]Record, 0, len(t.members))
	for _, m := range t.members {
		l = append(l, m.record(now))
	}
	return l
}
