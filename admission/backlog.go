package admission

import "time"

// Backlog contains the calls of one workspace that wait at one service. The zero value
// is an empty one.
type Backlog struct {
	waiting int64
	placed  Rate
	returns returns
}

// Enter adds the cost of a call that begins to wait, Leave removes that of one that
// ends to.
func (b *Backlog) Enter(cost int64) { b.waiting += cost }

// Leave removes the cost of a call that waits no longer.
func (b *Backlog) Leave(cost int64) { b.waiting -= cost }

// Place records that a call was placed, whether it had waited or not.
func (b *Backlog) Place(now time.Time, cost int64) { b.placed.Add(now, cost) }

// Idle reports whether the backlog is empty and nothing in it is worth keeping.
func (b *Backlog) Idle(now time.Time) bool {
	return b.waiting == 0 && b.placed.Idle(now) && now.After(b.returns.next)
}

// Service is what is known of a service when a call arrives there.
type Service struct {
	// Placed is the cost per second that this daemon has placed there lately for all
	// workspaces, MinRate a rate that the service would give this daemon at any time.
	Placed, MinRate float64
	// Backlogged is the number of workspaces whose calls wait, including that of the
	// call.
	Backlogged int
	// Turns is true if the workspace takes turns with the others that wait. A workspace
	// that has received its share gets what they leave.
	Turns bool
	// Oldest is the time for which the first waiting call of the workspace has waited.
	Oldest time.Duration
}

// Wait returns the time after which a call that arrives now is expected to be placed.
func (b *Backlog) Wait(now time.Time, s Service) time.Duration {
	wait := timeFor(b.waiting, b.rate(now, s))
	if s.Turns {
		return wait
	}
	return max(wait, s.Oldest)
}

// RetryDelay returns the time after which a call that is refused now is to come back:
// after those that wait and those that were refused before. It is at least the given
// earliest time, and at most the latest, after which callers return by themselves.
func (b *Backlog) RetryDelay(now time.Time, s Service, cost int64, earliest, latest time.Duration) time.Duration {
	rate := b.rate(now, s)
	return b.returns.add(now, max(earliest, timeFor(b.waiting, rate)), latest, timeFor(cost, rate))
}

// rate returns the cost per second at which the calls of the workspace are expected to
// be placed: at least the rate of late, since that is lower than possible while few
// calls come.
func (b *Backlog) rate(now time.Time, s Service) float64 {
	turn := s.MinRate
	if s.Turns {
		turn = max(turn, s.Placed)
	}
	return max(b.placed.PerSecond(now), turn/float64(max(s.Backlogged, 1)))
}

// maxTime is returned for what takes too long to tell.
const maxTime = time.Hour

// timeFor returns the time in which a cost is placed.
func timeFor(cost int64, perSecond float64) time.Duration {
	if cost <= 0 {
		return 0
	}
	seconds := float64(cost) / perSecond
	if perSecond <= 0 || seconds > maxTime.Seconds() {
		return maxTime
	}
	return time.Duration(seconds * float64(time.Second))
}
