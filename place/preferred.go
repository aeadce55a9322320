package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferredCount is the number of preferred servers of an affinity key. The
	// first is used before the others, which take over when it is busy, so that
	// all daemons put further copies of a part on the same few servers.
	preferredCount = 4
	// zoneLocalTokens is the length up to which the last shared part has
	// preferred servers in every zone.
	zoneLocalTokens = 2000
)

// preferredSet contains the servers that are expected to cache the parts of an
// affinity key, in order of preference. Rendezvous hashing gives all daemons
// the same ones, without messages and after a restart.
type preferredSet struct {
	servers [preferredCount]*server
	weights [preferredCount]uint64
	count   int
}

// preferredServers returns the preferred servers for the affinity key of a job;
// none for a job without a shared part.
func (p *Pool) preferredServers(g *serviceState, j *Job, now time.Time) preferredSet {
	var h preferredSet
	key := j.chain.affinityKey()
	if key == 0 || g.engine == nil {
		return h
	}
	local := j.chain.zoneLocal()
	for _, s := range g.order {
		if local && s.instance.Zone != p.options.Zone || !s.available(now) || !j.accepts(s) {
			continue
		}
		h.insert(s, mix(key^s.hash))
	}
	return h
}

// insert adds a server if its weight is among the largest.
func (h *preferredSet) insert(s *server, weight uint64) {
	i := h.count
	if i == preferredCount {
		if weight <= h.weights[i-1] {
			return
		}
		i--
	} else {
		h.count++
	}
	for ; i > 0 && h.weights[i-1] < weight; i-- {
		h.servers[i], h.weights[i] = h.servers[i-1], h.weights[i-1]
	}
	h.servers[i], h.weights[i] = s, weight
}

// position returns the index of a server in the preference order;
// preferredCount for any other server.
func (h *preferredSet) position(s *server) int {
	for i, x := range h.servers[:h.count] {
		if x == s {
			return i
		}
	}
	return preferredCount
}

// mix distributes the bits of a number over the whole word: the finalizer of
// SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nameHash returns the hash of the name of a server or of a daemon.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
