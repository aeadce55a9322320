package fair

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// fullEvery is the number of exports after which one names all rows. It
	// bounds how long the charge of a lost message is missing.
	fullEvery = 10
	// maxPeers bounds the incarnations that are remembered. A daemon hears at
	// most a few peers, so the rest are dead incarnations.
	maxPeers = 64
)

// peer is what is known of one incarnation of another home.
type peer struct {
	heard time.Time
	// messages is the number of exports that arrived. All rows were named
	// after fullEvery of them.
	messages int
	slots    int
	// totals are the last known charges of the peer.
	totals map[*row]int64
	// serves names the services for which the peer charged something.
	serves map[*service]bool
	// ahead is the part of each row's extrapolation that stands for the peer.
	ahead map[*row]float64
}

// Export implements wigeonladder.ChargeExchange. One export per period goes to all
// peers: a second export would not name the rows of the first.
func (c *Counters) Export() wigeonladder.ChargeReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	if c.exports%fullEvery == 0 {
		c.markAll()
	}
	c.exports++
	out := wigeonladder.ChargeReport{HomeIncarnation: c.options.HomeIncarnation, Slots: c.options.Slots()}
	for r := range c.dirty {
		out.Rows = append(out.Rows, r.charge())
	}
	clear(c.dirty)
	sortRows(out.Rows)
	return out
}

// markAll marks every row that this home charged for the next export.
func (c *Counters) markAll() {
	for _, s := range c.services {
		for _, r := range s.rows {
			c.dirty[r] = struct{}{}
		}
	}
}

func (r *row) charge() wigeonladder.Charge {
	return wigeonladder.Charge{
		Service:   r.service.name,
		Workspace: r.workspace,
		Total:     r.own,
		Counter:   r.level(),
	}
}

// Import implements wigeonladder.ChargeExchange.
func (c *Counters) Import(m wigeonladder.ChargeReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.HomeIncarnation == c.options.HomeIncarnation {
		return
	}
	now := time.Now()
	p := c.peer(m.HomeIncarnation, now)
	p.messages++
	p.heard = now
	p.slots = m.Slots
	p.drop()
	c.adopt(m, p)
	lowest := map[*service]float64{}
	for _, x := range m.Rows {
		r := c.row(x.Service, x.Workspace)
		if !c.take(p, r, x.Total, now) {
			continue
		}
		if low, ok := lowest[r.service]; !ok || r.e < low {
			lowest[r.service] = r.e
		}
	}
	for s, low := range lowest {
		s.hear(low)
	}
}

// take adds what a peer charged since its last message; served is false if that
// is nothing. A row that was not named yet sets the baseline while rows from
// before the first contact may still come; later it is a new one that starts at
// 0.
func (c *Counters) take(p *peer, r *row, total int64, now time.Time) (served bool) {
	before, known := p.totals[r]
	p.totals[r] = total
	if !known && p.messages <= fullEvery {
		before = total
	}
	if total == before {
		return false
	}
	p.serves[r.service] = true
	r.receive(float64(total-before), now)
	r.settle(c.debtCap(r.service, now))
	return true
}

// adopt takes over the levels of the first peer that a home without memory
// hears, row by row until all rows were named once. Rows of the same service
// that are backlogged and not named yet are lifted to the lowest level named.
func (c *Counters) adopt(m wigeonladder.ChargeReport, p *peer) {
	if c.adopted == "" {
		c.adopted = m.HomeIncarnation
	}
	if c.adopted != m.HomeIncarnation || p.messages > fullEvery {
		return
	}
	floor := map[*service]float64{}
	for _, x := range m.Rows {
		r := c.row(x.Service, x.Workspace)
		if _, known := p.totals[r]; known {
			continue
		}
		r.lift(x.Counter)
		r.moved()
		low, ok := floor[r.service]
		if !ok || x.Counter < low {
			floor[r.service] = x.Counter
		}
	}
	if p.messages > 1 {
		return
	}
	for s, low := range floor {
		s.raise(low)
	}
}

// raise lifts all rows and V to a floor.
func (s *service) raise(floor float64) {
	for _, r := range s.rows {
		r.lift(floor)
		r.moved()
	}
	s.last = max(s.last, floor)
}

// peer returns the record of an incarnation. The one that was not heard of for
// the longest time makes room for a new one.
func (c *Counters) peer(home string, now time.Time) *peer {
	if p := c.peers[home]; p != nil {
		return p
	}
	if len(c.peers) >= maxPeers {
		c.evict()
	}
	p := &peer{
		heard:  now,
		totals: map[*row]int64{},
		serves: map[*service]bool{},
		ahead:  map[*row]float64{},
	}
	c.peers[home] = p
	return p
}

func (c *Counters) evict() {
	oldest := ""
	for home, p := range c.peers {
		if oldest == "" || p.heard.Before(c.peers[oldest].heard) {
			oldest = home
		}
	}
	c.peers[oldest].drop()
	delete(c.peers, oldest)
}
