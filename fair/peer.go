package fair

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// fullExportInterval is the number of exports after which one contains all
	// rows. It bounds how long a charge in a lost message is missing at the
	// peers.
	fullExportInterval = 10
	// maxPeers bounds the number of incarnations that are remembered. A daemon
	// has at most a few live peers; the rest are incarnations that have ended.
	maxPeers = 64
)

// peer is the state of one incarnation of another home.
type peer struct {
	lastHeard time.Time
	// importCount is the number of exports that arrived from the peer. After
	// fullExportInterval of them, one has contained all rows.
	importCount int
	slots       int
	// totals are the last reported charges of the peer.
	totals map[*row]int64
	// chargedServices contains the services for which the peer has charged.
	chargedServices map[*service]bool
	// extrapolated is the part of each row's extrapolation that is assumed for
	// the peer.
	extrapolated map[*row]float64
}

// Export implements wigeonladder.ChargeExchange. It must be called once per
// period and its result sent to all peers: a second call would not contain the
// rows of the first.
func (c *Counters) Export() wigeonladder.ChargeReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	if c.exportCount%fullExportInterval == 0 {
		c.markAllDirty()
	}
	c.exportCount++
	out := wigeonladder.ChargeReport{HomeIncarnation: c.options.HomeIncarnation, Slots: c.options.Slots()}
	for r := range c.dirty {
		out.Rows = append(out.Rows, r.exportRow())
	}
	clear(c.dirty)
	sortRows(out.Rows)
	return out
}

// markAllDirty adds every row of this home to the next export.
func (c *Counters) markAllDirty() {
	for _, s := range c.services {
		for _, r := range s.rows {
			c.dirty[r] = struct{}{}
		}
	}
}

func (r *row) exportRow() wigeonladder.Charge {
	return wigeonladder.Charge{
		Service:   r.service.name,
		Workspace: r.workspace,
		Total:     r.ownCharges,
		Counter:   r.counterOnReturn(),
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
	p.importCount++
	p.lastHeard = now
	p.slots = m.Slots
	p.dropExtrapolation()
	c.adoptCounters(m, p)
	lowest := map[*service]float64{}
	for _, x := range m.Rows {
		r := c.row(x.Service, x.Workspace)
		if !c.addCharges(p, r, x.Total, now) {
			continue
		}
		if low, ok := lowest[r.service]; !ok || r.counter < low {
			lowest[r.service] = r.counter
		}
	}
	for s, low := range lowest {
		s.raiseToPeer(low)
	}
}

// addCharges adds what a peer has charged since its last export; served is false
// if that is nothing. In the first fullExportInterval exports of a peer, the
// first total of a row is a baseline, since the charges may date from before
// the first contact. A row that appears later is new and starts at 0.
func (c *Counters) addCharges(p *peer, r *row, total int64, now time.Time) (served bool) {
	before, known := p.totals[r]
	p.totals[r] = total
	if !known && p.importCount <= fullExportInterval {
		before = total
	}
	if total == before {
		return false
	}
	p.chargedServices[r.service] = true
	r.addService(float64(total-before), now)
	r.applyDebtCap(c.debtCap(r.service, now))
	return true
}

// adoptCounters takes the counters of the first peer that this home hears after
// its start, row by row until all rows were received once. Rows of the same
// services that are not in the first export are raised to the lowest counter in
// it.
func (c *Counters) adoptCounters(m wigeonladder.ChargeReport, p *peer) {
	if c.adoptedPeer == "" {
		c.adoptedPeer = m.HomeIncarnation
	}
	if c.adoptedPeer != m.HomeIncarnation || p.importCount > fullExportInterval {
		return
	}
	floor := map[*service]float64{}
	for _, x := range m.Rows {
		r := c.row(x.Service, x.Workspace)
		if _, known := p.totals[r]; known {
			continue
		}
		r.raiseTo(x.Counter)
		r.restoreOrder()
		low, ok := floor[r.service]
		if !ok || x.Counter < low {
			floor[r.service] = x.Counter
		}
	}
	if p.importCount > 1 {
		return
	}
	for s, low := range floor {
		s.raiseAll(low)
	}
}

// raiseAll raises all rows and V to at least floor.
func (s *service) raiseAll(floor float64) {
	for _, r := range s.rows {
		r.raiseTo(floor)
		r.restoreOrder()
	}
	s.lastVirtualTime = max(s.lastVirtualTime, floor)
}

// peer returns the state of an incarnation and creates it if it does not exist.
// If there are too many, the one with the oldest last export is evicted.
func (c *Counters) peer(home string, now time.Time) *peer {
	if p := c.peers[home]; p != nil {
		return p
	}
	if len(c.peers) >= maxPeers {
		c.evictOldest()
	}
	p := &peer{
		lastHeard:       now,
		totals:          map[*row]int64{},
		chargedServices: map[*service]bool{},
		extrapolated:    map[*row]float64{},
	}
	c.peers[home] = p
	return p
}

func (c *Counters) evictOldest() {
	oldest := ""
	for home, p := range c.peers {
		if oldest == "" || p.lastHeard.Before(c.peers[oldest].lastHeard) {
			oldest = home
		}
	}
	c.peers[oldest].dropExtrapolation()
	delete(c.peers, oldest)
}
