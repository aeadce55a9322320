package fair

// maxSamples is the number of ended requests that an average covers. The
// standard deviation of costs is about their mean, so an average of 32 is off
// by about a sixth, and it follows a workspace whose kind of work changes
// within 32 requests.
const maxSamples = 32

// priorWeight is the number of ended requests of a workspace that count as much
// as the average of the whole service. The requests that end first are short
// ones, so the first few of a workspace are not representative.
const priorWeight = 4

// average is an exponentially weighted mean of request costs. Up to maxSamples
// values it is their arithmetic mean.
type average struct {
	value   float64
	samples int
}

// add adds one value.
func (a *average) add(cost float64) {
	a.samples = min(a.samples+1, maxSamples)
	a.value += (cost - a.value) / float64(a.samples)
}

// EstimateCost implements wigeonladder.FairShares. The estimate combines the
// average cost of the workspace's requests, weighted by the number that ended,
// with the average of the service, weighted by priorWeight. Until the first
// request of the service ends, the average of all hints takes the place of the
// service's average, so that all workspaces are charged alike.
//
// The hint of the request itself is not charged: its error would stay in the
// counter for as long as the request runs, and the workspace chooses it. A
// request that costs more than the estimate is charged for the rest while it
// runs.
func (c *Counters) EstimateCost(service, workspace string, hint int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(service, workspace)
	s := r.service
	s.averageHint.add(float64(max(1, hint)))
	prior := s.averageHint.value
	if s.averageCost.samples > 0 {
		prior = s.averageCost.value
	}
	samples := float64(r.averageCost.samples)
	mean := (samples*r.averageCost.value + priorWeight*prior) / (samples + priorWeight)
	return max(1, int64(mean+0.5))
}

// RecordCost implements wigeonladder.FairShares.
func (c *Counters) RecordCost(service, workspace string, cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(service, workspace)
	r.averageCost.add(float64(cost))
	r.service.averageCost.add(float64(cost))
}
