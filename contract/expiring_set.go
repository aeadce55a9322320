package contract

import "time"

// ExpiringSet is a set that keeps its members for at least MinRetention. It
// holds two generations: an addition that comes more than MinRetention after the
// start of the current generation drops the previous one, makes the current one
// the previous one and starts another. Only an addition drops members. The zero
// value with a MinRetention is ready to use. It is not safe for concurrent use.
type ExpiringSet[K comparable] struct {
	// MinRetention is the least time for which a member is kept.
	MinRetention time.Duration

	current, previous map[K]bool
	// rotated is when the current generation was started.
	rotated time.Time
}

// Add adds a member.
func (r *ExpiringSet[K]) Add(k K, now time.Time) {
	if r.current == nil || now.Sub(r.rotated) > r.MinRetention {
		r.previous = r.current
		r.current = map[K]bool{}
		r.rotated = now
	}
	r.current[k] = true
}

// Has reports whether a member is kept.
func (r *ExpiringSet[K]) Has(k K) bool { return r.current[k] || r.previous[k] }
