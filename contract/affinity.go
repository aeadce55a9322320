package contract

import "sync"

// affinityGenerationSize bounds each of the two generations of an Affinity, in
// prefixes. The caches of the engines hold fewer prefixes than this.
const affinityGenerationSize = 4096

// Affinity remembers which server last served a prompt prefix, so that later
// requests with the same prefix find it in the cache of that server. It holds
// two generations: when the current one is full it becomes the previous one,
// and the one before that is dropped. It is safe for concurrent use.
type Affinity struct {
	mu                sync.Mutex
	current, previous map[uint64]string
}

// NewAffinity returns an empty Affinity.
func NewAffinity() *Affinity {
	return &Affinity{current: map[uint64]string{}}
}

// Set records the server that served a prefix. The prefix 0 stands for none and
// is ignored.
func (a *Affinity) Set(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.current) >= affinityGenerationSize {
		a.current, a.previous = map[uint64]string{}, a.current
	}
	a.current[prefix] = server
}

// Server returns the server that last served a prefix, or the empty string if
// it is unknown.
func (a *Affinity) Server(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.current[prefix]; ok {
		return s
	}
	return a.previous[prefix]
}
