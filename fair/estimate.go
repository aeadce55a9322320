package fair

// learnMost is the number of ended requests that a learned mean covers. Costs
// vary by about their mean, so a mean of 32 is wrong by about a sixth, and it
// follows a workspace that changes its kind of work within 32 requests.
const learnMost = 32

// priorWeight is the number of ended requests of a workspace that weigh as much
// as those of all workspaces. The requests that end first are short ones, so few
// of them say little.
const priorWeight = 4

// average is an exponentially weighted mean of the true costs of requests. Up
// to learnMost values it is their arithmetic mean.
type average struct {
	value float64
	seen  int
}

// learn takes over the true cost of one ended request.
func (a *average) learn(cost float64) {
	a.seen = min(a.seen+1, learnMost)
	a.value += (cost - a.value) / float64(a.seen)
}

// EstimateCost implements wigeonladder.FairShares. The learned mean cost of the
// workspace's requests counts by the number that ended, that of the service's
// requests as often as priorWeight. Until the first request of the service ends,
// the mean of all hints stands for it, so that all workspaces are charged alike.
//
// The hint of the request itself is not charged: its error would stand in the
// counter for as long as the request runs, and the workspace chooses it. A
// request that costs more than the mean is charged as it runs.
func (c *Counters) EstimateCost(service, workspace string, hint int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(service, workspace)
	s := r.service
	s.hints.learn(float64(max(1, hint)))
	prior := s.hints.value
	if s.costs.seen > 0 {
		prior = s.costs.value
	}
	seen := float64(r.costs.seen)
	mean := (seen*r.costs.value + priorWeight*prior) / (seen + priorWeight)
	return max(1, int64(mean+0.5))
}

// RecordCost implements wigeonladder.FairShares.
func (c *Counters) RecordCost(service, workspace string, cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(service, workspace)
	r.costs.learn(float64(cost))
	r.service.costs.learn(float64(cost))
}
