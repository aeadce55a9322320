package admission

import "time"

// returns is the schedule by which refused calls come back.
type returns struct {
	// next is the time from which the next refused call may come back.
	next time.Time
}

// add returns the time after which a call that is refused now is to come back, between
// earliest and latest. The one after it comes back later by spacing. A call for which
// there is no room in the schedule comes back at the latest time: such calls keep the
// order and the spacing in which they were refused.
func (r *returns) add(now time.Time, earliest, latest, spacing time.Duration) time.Duration {
	if first := now.Add(earliest); r.next.Before(first) {
		r.next = first
	}
	d := r.next.Sub(now)
	if d >= latest {
		return latest
	}
	// A schedule beyond the latest time would outlast a short lack of room.
	r.next = r.next.Add(min(spacing, latest-d))
	return d
}
