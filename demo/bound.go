package demo

import (
	"sort"
	"time"
)

// GapBoundTerms are the terms of the bound on the fairness gap of section 4.
type GapBoundTerms struct {
	// LargestCharge is C, the largest charge of one request in cost units.
	LargestCharge float64
	// Undelivered is U: the difference between what the running requests of one
	// workspace were charged at their grants and what they were delivered, either
	// way, in cost units. It covers all of them, not only one.
	Undelivered float64
	// ChargeRate is R, the rate of charging over the fleet in cost units per second.
	ChargeRate float64
	// ExchangePeriod is T, the time between two exchanges of charges.
	ExchangePeriod time.Duration
	// ExchangeDelay is d, the largest delay of an exchange.
	ExchangeDelay time.Duration
	// SmallestWeight is w, the smallest weight.
	SmallestWeight float64
}

// GapBound returns the bound on the gap over an interval, in cost units per unit
// weight: (2C + 2U + R(T+d))/w. At its start one workspace may be ahead by a
// charge and have all its charges delivered, while the other has none delivered;
// at its end it may be the other way round. So C and U count once for each
// workspace of a pair.
func GapBound(b GapBoundTerms) float64 {
	stale := b.ChargeRate * (b.ExchangePeriod + b.ExchangeDelay).Seconds()
	return (2*b.LargestCharge + 2*b.Undelivered + stale) / b.SmallestWeight
}

// learnedPart is how much a server's learned limit is above its slots with the
// targets of section 5 and the times of fake.Backend.
const learnedPart = 1.25

// GapBoundTerms returns the terms for the site's model service when all workspaces are
// backlogged. C is the largest cost: a grant is charged a mean of true costs, and
// the rest as it is delivered. U is taken at its mean, not at its worst case: the
// smallest workspace's part of the slots, each with the mean cost of long work
// undelivered. In the worst case one workspace holds all slots, and U is
// AllUndelivered.
func (s Site) GapBoundTerms(period time.Duration) GapBoundTerms {
	return GapBoundTerms{
		LargestCharge:  MaxCost,
		Undelivered:    s.TotalUndelivered() / s.weights(),
		ChargeRate:     s.Capacity(),
		ExchangePeriod: period,
		ExchangeDelay:  s.ZoneDelay,
		SmallestWeight: 1,
	}
}

// TotalUndelivered returns the charged but undelivered work of all workspaces, if
// every slot holds long work of which nothing is delivered.
func (s Site) TotalUndelivered() float64 {
	return learnedPart * modelServers * serverSlots * s.LongCost
}

// weights returns the sum of the weights of all workspaces.
func (s Site) weights() float64 {
	sum := 0.0
	for i := range workspaceSize {
		sum += float64(weightOf(i))
	}
	return sum
}

// WaitBound returns how long a backlogged workspace of the given weight waits at
// most for a grant. Before it is chosen, every other workspace j is charged at
// most C for the grant that began ahead of it, w_j*C/weight for the workspace's
// own lead of one charge, w_j*U/w for its lead by requests that cost more than
// was charged, and w_j*R(T+d)/w by homes that have not heard of it. Charging lags
// behind R by at most the work that was charged before and is delivered
// meanwhile. The sum of w_j*U/w over the workspaces is AllUndelivered, so that
// term counts twice. Like U it is a mean.
func (s Site) WaitBound(b GapBoundTerms, weight float64) time.Duration {
	stale := b.ChargeRate * (b.ExchangePeriod + b.ExchangeDelay).Seconds() / b.SmallestWeight
	others := workspaceSize*b.LargestCharge + s.weights()*(b.LargestCharge/weight+stale)
	return time.Duration((others + 2*s.TotalUndelivered()) / b.ChargeRate * float64(time.Second))
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
