package contract

import "time"

// ExpiringSet is a set that forgets its members some time after they were added: not
// before its life is over, and not later than at the second addition after twice
// that time. The zero value with a life is empty and ready.
type ExpiringSet[K comparable] struct {
	// MinRetention is the least time for which a member is kept.
	MinRetention time.Duration

	young, old map[K]bool
	turned     time.Time
}

// Add adds a member.
func (r *ExpiringSet[K]) Add(k K, now time.Time) {
	if r.young == nil || now.Sub(r.turned) > r.MinRetention {
		r.old = r.young
		r.young = map[K]bool{}
		r.turned = now
	}
	r.young[k] = true
}

// Has reports whether a member is kept.
func (r *ExpiringSet[K]) Has(k K) bool { return r.young[k] || r.old[k] }
