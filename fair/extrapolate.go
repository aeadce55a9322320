package fair

import "time"

// peerSilence is how long a peer's charges are extrapolated without news from
// it. A peer that is gone charges nothing.
const peerSilence = 3 * time.Second

// extrapolate assumes that every other home charges the row as this home does,
// scaled by slots. Only homes that charged for the service before count. The
// assumption about one peer is replaced when its next exchange arrives. A
// correction of an estimate concerns one request of this home; scaled by the
// slots of the others it would put the workspace far in front for a period.
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
		if !p.serves[r.service] {
			continue
		}
		if now.Sub(p.heard) > peerSilence {
			p.drop()
			continue
		}
		part := float64(cost) / r.weight * float64(p.slots) / float64(own)
		p.ahead[r] += part
		r.assume(part)
	}
}

// drop ends the assumption about a peer.
func (p *peer) drop() {
	for r, part := range p.ahead {
		r.assume(-part)
	}
	clear(p.ahead)
}
