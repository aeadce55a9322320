package demo

import (
	"sort"
	"time"
)

// BoundTerms are the terms of the bound on the fairness gap of section 4.
type BoundTerms struct {
	// Largest is C, the largest charge of one request in cost units.
	Largest float64
	// Undelivered is U: the largest difference between what one workspace was
	// charged and what it was delivered, in cost units. With wrong hints it
	// covers all running requests of the workspace, not only one.
	Undelivered float64
	// Rate is R, the fleet's service rate in cost units per second.
	Rate float64
	// Period is T, the time between two exchanges of charges.
	Period time.Duration
	// Delay is d, the largest delay of an exchange.
	Delay time.Duration
	// Weight is w, the smallest weight.
	Weight float64
}

// Bound returns B = (C + U + R·(T+d))/w in cost units per unit weight.
func Bound(b BoundTerms) float64 {
	stale := b.Rate * (b.Period + b.Delay).Seconds()
	return (b.Largest + b.Undelivered + stale) / b.Weight
}

// Bound returns the terms for the site's model service when all workspaces are
// backlogged. The slots that a workspace holds are its share of the learned
// limits at most, and each of them may hold a request whose hint is wrong by
// the largest cost.
func (s Site) Bound(period time.Duration) BoundTerms {
	sum := 0
	for i := range workspaceSize {
		sum += weightOf(i)
	}
	held := float64(modelServers*serverMost) / float64(sum)
	return BoundTerms{
		Largest:     MostCost,
		Undelivered: held * MostCost,
		Rate:        s.Capacity(),
		Period:      period,
		Delay:       s.Delay,
		Weight:      1,
	}
}

// Claim is what one workspace wants of a service.
type Claim struct {
	Workspace string
	Weight    float64
	// Demand is the service wanted in cost units; negative for no limit.
	Demand float64
}

// FairShares divides a total by weighted max-min fairness: no workspace gets
// more than its demand, and what it leaves is divided over the others by
// weight.
func FairShares(total float64, claims []Claim) map[string]float64 {
	left := append([]Claim(nil), claims...)
	sort.Slice(left, func(i, j int) bool { return left[i].level() < left[j].level() })
	weight := 0.0
	for _, c := range left {
		weight += c.Weight
	}
	out := make(map[string]float64, len(left))
	for _, c := range left {
		share := total * c.Weight / weight
		if c.Demand >= 0 {
			share = min(share, c.Demand)
		}
		out[c.Workspace] = share
		total -= share
		weight -= c.Weight
	}
	return out
}

// level is the demand per weight; claims without limit come last.
func (c Claim) level() float64 {
	if c.Demand < 0 {
		return 1e300
	}
	return c.Demand / c.Weight
}
