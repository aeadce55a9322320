package fair

import "time"

// peerSilence is how long a peer's charges are extrapolated after its last
// export. A peer that is gone charges nothing.
const peerSilence = 3 * time.Second

// extrapolate assumes that every other home charges the row as this home does,
// in proportion to its slots. Only homes that have charged for the service
// before count. The next export of a peer replaces the assumption about it.
// Negative costs, which correct an estimate, are not extrapolated: a correction
// concerns one request of this home, and scaled by the slots of the others it
// would put the workspace far in front in the order of service until the next
// exchange.
func (c *Counters) extrapolate(r *row, cost int64) {
	if c.options.NoExtrapolation || cost < 0 {
		return
	}
	own := c.options.Slots()
	if own <= 0 {
		return
	}
	now := time.Now()
	for _, p := range c.peers {
		if !p.chargedServices[r.service] {
			continue
		}
		if now.Sub(p.lastHeard) > peerSilence {
			p.dropExtrapolation()
			continue
		}
		part := float64(cost) / r.weight * float64(p.slots) / float64(own)
		p.extrapolated[r] += part
		r.addExtrapolated(part)
	}
}

// dropExtrapolation removes the assumption about the charges of a peer.
func (p *peer) dropExtrapolation() {
	for r, part := range p.extrapolated {
		r.addExtrapolated(-part)
	}
	clear(p.extrapolated)
}
