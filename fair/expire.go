package fair

import "time"

const (
	// rowLifetime is how long a row is kept after its last use. peerTotalsLifetime is
	// how long the totals of another daemon are kept. It is shorter, so that a daemon
	// that counts a workspace from zero again is not compared with what it counted
	// before.
	rowLifetime        = time.Minute
	peerTotalsLifetime = 30 * time.Second
	// expiryPeriod is the time between two searches for unused rows.
	expiryPeriod = windowStep * windowSteps
)

// peerTotals are the last totals of one incarnation of another daemon for one
// workspace.
type peerTotals struct {
	demand, service int64
	at              time.Time
}

// expire removes the rows of workspaces that nobody used for a while, and the totals
// of daemons that say nothing more of a workspace. It must be called with the lock
// held.
func (w *Window) expire(now time.Time) {
	if now.Sub(w.expiredAt) < expiryPeriod {
		return
	}
	w.expiredAt = now
	for name, r := range w.rows {
		if now.Sub(r.usedAt) > rowLifetime && !w.dirty[name] {
			delete(w.rows, name)
			continue
		}
		for incarnation, t := range r.peerTotals {
			if now.Sub(t.at) > peerTotalsLifetime {
				delete(r.peerTotals, incarnation)
			}
		}
	}
}
