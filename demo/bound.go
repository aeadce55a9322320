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
	// Rate is R, the rate of charging over the fleet in cost units per second.
	Rate float64
	// Period is T, the time between two exchanges of charges.
	Period time.Duration
	// Delay is d, the largest delay of an exchange.
	Delay time.Duration
	// Weight is w, the smallest weight.
	Weight float64
}

// Bound returns the bound on the gap over an interval, in cost units per unit
// weight: (2C + 2U + R(T+d))/w. At its start one workspace may be ahead by a
// charge and have all its charges delivered, while the other has none delivered;
// at its end it may be the other way round. So C and U count once for each
// workspace of a pair.
func Bound(b BoundTerms) float64 {
	stale := b.Rate * (b.Period + b.Delay).Seconds()
	return (2*b.Largest + 2*b.Undelivered + stale) / b.Weight
}

// hintBias is the mean of a hint divided by the true cost, for hints that are
// wrong by a factor between 1/hintFactor and hintFactor, uniform in its
// logarithm: (f - 1/f) / (2 ln f).
const hintBias = (hintFactor - 1.0/hintFactor) / (2 * 1.3862943611198906)

// Bound returns the terms for the site's model service when all workspaces are
// backlogged. Charges are made from hints, so the largest charge is that of the
// largest hint, and what is charged in a period exceeds what is delivered by the
// mean error of the hints. U is taken at its mean: the smallest workspace's part
// of the slots at the mean hint of long work. Its worst case, all hints being the
// largest, is several times the gap of policy alone and would tell nothing.
func (s Site) Bound(period time.Duration) BoundTerms {
	sum := 0
	for i := range workspaceSize {
		sum += weightOf(i)
	}
	// With the targets of section 5 a server learns a limit of a quarter above
	// its slots.
	held := 1.25 * modelServers * serverSlots / float64(sum)
	return BoundTerms{
		Largest:     hintFactor * MostCost,
		Undelivered: held * hintBias * s.LongCost,
		Rate:        hintBias * s.Capacity(),
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
