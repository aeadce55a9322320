package contract

import "sync"

// affinityLimit bounds each of the two generations of an Affinity. The caches
// of the engines hold fewer prefixes than this.
const affinityLimit = 4096

// Affinity remembers which server last served a prompt prefix. It holds two
// generations and drops the older one when the younger one is full. It is safe
// for concurrent use.
type Affinity struct {
	mu         sync.Mutex
	young, old map[uint64]string
}

// NewAffinity returns an empty Affinity.
func NewAffinity() *Affinity {
	return &Affinity{young: map[uint64]string{}}
}

// Set remembers the server of a prefix; 0 stands for no prefix.
func (a *Affinity) Set(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.young) >= affinityLimit {
		a.young, a.old = map[uint64]string{}, a.young
	}
	a.young[prefix] = server
}

// Server returns the server that last served a prefix, empty if unknown.
func (a *Affinity) Server(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.young[prefix]; ok {
		return s
	}
	return a.old[prefix]
}
