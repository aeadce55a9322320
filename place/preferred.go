package place

import "time"

const (
	// homeCount is the number of homes of a subject. The first is used before the
	// others, which take over when it is busy, so that all daemons put further
	// copies of a part on the same few servers.
	homeCount = 4
	// homeStep is how much each home counts beyond the one before it, as a part of
	// the time to read what it lacks.
	homeStep = 2.5
	// localTokens is the length up to which a subject has homes in every zone.
	localTokens = 2000
)

// homes are the servers on which a subject is expected, the first one first.
// Rendezvous hashing gives all daemons the same ones, without messages and after a
// restart.
type homes struct {
	servers [homeCount]*server
	weights [homeCount]uint64
	count   int
}

// homes returns the homes of the subject of a job; none for a job without one.
func (p *Pool) homes(g *group, j *Job, now time.Time) homes {
	var h homes
	subject := j.chain.subject()
	if subject == 0 || g.engine == nil {
		return h
	}
	local := j.chain.local()
	for _, s := range g.order {
		if local && s.instance.Zone != p.o.Zone || !s.open(now) || j.ExcludedServers[s.instance.ID] {
			continue
		}
		h.insert(s, mix(subject^s.hash))
	}
	return h
}

// insert adds a server if its weight is among the largest.
func (h *homes) insert(s *server, weight uint64) {
	i := h.count
	if i == homeCount {
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

// position is the place of a server among the homes; homeCount for any other.
func (h *homes) position(s *server) int {
	for i, x := range h.servers[:h.count] {
		if x == s {
			return i
		}
	}
	return homeCount
}

// mix spreads the bits of a number: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
