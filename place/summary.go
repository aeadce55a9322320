package place

import "time"

// summaryPeriod is the time for which a summary of the servers is used, so that not every call
// walks all servers.
const summaryPeriod = 100 * time.Millisecond

// serviceSummary is the state of all servers of a service.
type serviceSummary struct {
	// unavailable counts the servers that take no calls.
	unavailable unavailableServers
	// running is the number of requests at the available servers, slots the number
	// that these run concurrently.
	running, slots int
}

// summarize returns the present summary.
func (g *serviceState) summarize(now time.Time) serviceSummary {
	var x serviceSummary
	for _, s := range g.order {
		x.unavailable[s.occupancy(now)]++
		if s.available(now) {
			x.running += s.total().running
			x.slots += s.slots()
		}
	}
	return x
}

// recentSummary returns a recent summary.
func (g *serviceState) recentSummary(now time.Time) serviceSummary {
	if now.Sub(g.summaryAt) >= summaryPeriod {
		g.summary, g.summaryAt = g.summarize(now), now
	}
	return g.summary
}

// hasSpareCapacity reports whether less than half of the slots are taken and no call
// waits here. A workspace that is ahead of a starved one may then use servers that are
// less than half full, up to a bound (fair.IdleOnly): holding it back would leave them
// idle, and the calls of starved workspaces still find room.
func (g *serviceState) hasSpareCapacity(now time.Time) bool {
	x := g.recentSummary(now)
	return g.waiting == 0 && 2*x.running < x.slots
}
