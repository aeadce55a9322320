package demo

import (
	"sort"
	"time"
)

// GapBoundTerms are the terms of the bound on the fairness gap in section 4 of
// docs/design.md.
type GapBoundTerms struct {
	// LargestCharge is C, the largest charge of one request, in cost units.
	LargestCharge float64
	// Undelivered is U, in cost units: the absolute difference between what the
	// running requests of one workspace were charged at their grants and what was
	// delivered to them, summed over all these requests.
	Undelivered float64
	// ChargeRate is R, the rate of charging over the fleet, in cost units per
	// second.
	ChargeRate float64
	// ExchangePeriod is T, the time between two exchanges of charges.
	ExchangePeriod time.Duration
	// ExchangeDelay is d, the largest delay of an exchange.
	ExchangeDelay time.Duration
	// SmallestWeight is w, the smallest weight of a workspace.
	SmallestWeight float64
}

// GapBound returns the bound on the gap over an interval, in cost units per
// unit weight: (2C + 2U + R(T+d))/w. At the start of the interval, one
// workspace of a pair may be ahead by one charge with all its charges
// delivered, while none of the other's are delivered. At the end it may be the
// other way round. So C and U count once for each workspace of the pair.
func GapBound(b GapBoundTerms) float64 {
	staleCharges := b.ChargeRate * (b.ExchangePeriod + b.ExchangeDelay).Seconds()
	return (2*b.LargestCharge + 2*b.Undelivered + staleCharges) / b.SmallestWeight
}

// learnedLimitFactor is the learned limit of a server divided by its slots,
// with the targets of section 5 of docs/design.md and the times of
// fake.Backend.
const learnedLimitFactor = 1.25

// GapBoundTerms returns the terms for the model service of the site when all
// workspaces are backlogged. C is the largest cost of a request: a grant is
// charged a mean of true costs, and what the request costs beyond that is
// charged as it is delivered. U is a mean and not the worst case: the part of
// the slots that the smallest workspace gets, each with the mean cost of a long
// request undelivered. In the worst case one workspace holds all slots, and U is
// TotalUndelivered.
func (s Site) GapBoundTerms(period time.Duration) GapBoundTerms {
	return GapBoundTerms{
		LargestCharge:  MaxCost,
		Undelivered:    s.TotalUndelivered() / s.sumOfWeights(),
		ChargeRate:     s.Capacity(),
		ExchangePeriod: period,
		ExchangeDelay:  s.ZoneDelay,
		SmallestWeight: 1,
	}
}

// TotalUndelivered returns the charged but undelivered cost of all workspaces
// if every slot runs a long request of which nothing is delivered.
func (s Site) TotalUndelivered() float64 {
	return learnedLimitFactor * modelServers * serverSlots * s.LongCost
}

// sumOfWeights returns the sum of the weights of all workspaces.
func (s Site) sumOfWeights() float64 {
	sum := 0.0
	for i := range workspaceCount {
		sum += float64(weightOf(i))
	}
	return sum
}

// WaitBound returns the longest time for which a backlogged workspace of the
// given weight waits for a grant. Before it is chosen, each other workspace j
// may be charged:
//
//   - C for the grant that began before it,
//   - w_j*C/weight, since this workspace may be ahead by one charge,
//   - w_j*U/w, since its requests may have cost more than they were charged,
//   - w_j*R(T+d)/w, since homes that had not yet received its charges may have
//     granted it more.
//
// The charges during the wait are less than R times the wait by at most the cost
// that was charged before the wait and is delivered in it. The sum of w_j*U/w
// over the workspaces is TotalUndelivered, so that term counts twice. Like U, it
// is a mean.
func (s Site) WaitBound(b GapBoundTerms, weight float64) time.Duration {
	staleChargesPerWeight := b.ChargeRate * (b.ExchangePeriod + b.ExchangeDelay).Seconds() / b.SmallestWeight
	others := workspaceCount*b.LargestCharge + s.sumOfWeights()*(b.LargestCharge/weight+staleChargesPerWeight)
	return time.Duration((others + 2*s.TotalUndelivered()) / b.ChargeRate * float64(time.Second))
}

// Claim is the demand of one workspace for a service.
type Claim struct {
	Workspace string
	Weight    float64
	// Demand is in cost units; a negative value means no limit.
	Demand float64
}

// FairShares divides a total by weighted max-min fairness: no workspace gets
// more than its demand, and what it does not use is divided among the others by
// weight.
func FairShares(total float64, claims []Claim) map[string]float64 {
	left := append([]Claim(nil), claims...)
	sort.Slice(left, func(i, j int) bool { return left[i].demandPerWeight() < left[j].demandPerWeight() })
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

// demandPerWeight returns the sort key of FairShares. Claims without a limit
// sort last.
func (c Claim) demandPerWeight() float64 {
	if c.Demand < 0 {
		return 1e300
	}
	return c.Demand / c.Weight
}
