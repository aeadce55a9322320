package exchange

import (
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder/place"
)

// AliveCount returns the number of daemons with a valid report, plus this one.
func (m *Mesh) AliveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, o := range m.origins {
		if time.Now().Before(o.validUntil) {
			n++
		}
	}
	return n
}

// Members returns the other daemons with a valid report that are not stopping.
func (m *Mesh) Members() []place.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []place.Member
	now := time.Now()
	for name, o := range m.origins {
		if now.Before(o.validUntil) && !o.draining {
			l = append(l, place.Member{Name: name, Zone: o.zone})
		}
	}
	return l
}

// knownTime is the time after its last valid report for which a daemon may still be at
// work behind a partition.
const knownTime = time.Minute

// KnownMembers returns the other daemons that may be at work: those with a report that
// is valid, or was within knownTime.
func (m *Mesh) KnownMembers() []place.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []place.Member
	now := time.Now()
	for name, o := range m.origins {
		if now.Before(o.validUntil.Add(knownTime)) {
			l = append(l, place.Member{Name: name, Zone: o.zone})
		}
	}
	return l
}

// PeerAddresses returns the addresses of the daemons that this one connects to,
// sorted.
func (m *Mesh) PeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]string, 0, len(m.peers))
	for a := range m.peers {
		l = append(l, a)
	}
	slices.Sort(l)
	return l
}
