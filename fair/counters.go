package fair

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// idleDrop is the idle time after which old debt is dropped.
	idleDrop = 10 * time.Second
	// deficitKeep is how long a workspace that neither waits nor is served keeps
	// the deficit that it had. It covers two exchanges, so that a short gap in the
	// demand that one home knows of does not cost a workspace its turn.
	deficitKeep = 2 * time.Second
	// calmAfter is the time without any waiting work after which nobody is
	// owed service, and V follows the service that is given.
	calmAfter = time.Second
	// capPeriod is the time whose share bounds the debt of a workspace.
	capPeriod = 60 * time.Second
	// capCharges is the number of largest charges that the debt cap leaves
	// room for. With one, the hints of a small workspace reached the cap 17
	// times in 700 s without any partition.
	capCharges = 4
)

// Options are the settings of Counters.
type Options struct {
	// HomeIncarnation is the incarnation of the home that charges.
	HomeIncarnation string
	// Rules returns the rules in force. Without it all weights are 1. The
	// shares are read again when their slice is another one.
	Rules func() wigeonladder.Rules
	// Slots returns the number of slots that the home grants. Without it, or
	// when it returns 0, there is no extrapolation.
	Slots func() int
	// ServiceRate returns the fleet's service rate for a service in cost units per
	// second, for the debt cap. Without it the rate is measured from the
	// charges of this home and its peers.
	ServiceRate func(service string) float64
	// NoExtrapolation switches extrapolation off, so that its effect can be
	// measured.
	NoExtrapolation bool
}

// Counters keeps the received service of workspaces as far as one home knows
// it. It implements wigeonladder.FairShares and wigeonladder.ChargeExchange and is safe
// for concurrent use.
type Counters struct {
	options Options

	mu       sync.Mutex
	services map[string]*service
	shares   shares
	peers    map[string]*peer
	adopted  string
	exports  int
	dirty    map[*row]struct{}
}

var (
	_ wigeonladder.FairShares     = (*Counters)(nil)
	_ wigeonladder.ChargeExchange = (*Counters)(nil)
)

// NewCounters returns counters that know of no service yet.
func NewCounters(o Options) *Counters {
	if o.Rules == nil {
		o.Rules = func() wigeonladder.Rules { return wigeonladder.Rules{} }
	}
	if o.Slots == nil {
		o.Slots = func() int { return 0 }
	}
	return &Counters{
		options:  o,
		services: map[string]*service{},
		peers:    map[string]*peer{},
		dirty:    map[*row]struct{}{},
	}
}

// Charge implements wigeonladder.FairShares.
func (c *Counters) Charge(service, workspace string, cost int64) {
	if cost == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r := c.row(service, workspace)
	r.own += cost
	c.dirty[r] = struct{}{}
	r.service.follow(r, now)
	c.extrapolate(r, cost)
	r.receive(float64(cost), now)
	r.settle(c.debtCap(r.service, now))
}

// SetBacklogged implements wigeonladder.FairShares.
func (c *Counters) SetBacklogged(service, workspace string, backlogged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(service, workspace)
	if r.backlogged() == backlogged {
		return
	}
	now := time.Now()
	if !backlogged {
		r.leave(now)
		return
	}
	r.enter(now)
	r.settle(c.debtCap(r.service, now))
}

// Next implements wigeonladder.FairShares. The function accept is called with the
// lock held and must not call the counters. Each refusal costs one more step of
// logarithmic cost.
func (c *Counters) Next(service string, accept func(workspace string) bool) (workspace string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		return "", false
	}
	r := s.heap.first(func(r *row) bool { return accept(r.workspace) })
	if r == nil {
		return "", false
	}
	return r.workspace, true
}

// row returns the row of a workspace and creates it at need.
func (c *Counters) row(name, workspace string) *row {
	c.refresh()
	s := c.services[name]
	if s == nil {
		s = newService(name)
		c.services[name] = s
	}
	r := s.rows[workspace]
	if r == nil {
		share := c.shares.of(workspace)
		r = newRow(s, workspace, share)
		s.rows[workspace] = r
	}
	return r
}

// refresh takes over changed rules. Debt and credit in cost units are kept.
func (c *Counters) refresh() {
	if !c.shares.changed(c.options.Rules().Shares) {
		return
	}
	for _, s := range c.services {
		v := s.v()
		for _, r := range s.rows {
			r.reweigh(c.shares.of(r.workspace), v)
		}
	}
}

// debtCap returns how far the counter of a workspace may be above V: the
// service by weight that a backlogged workspace gets in capPeriod. It is never
// below capCharges of the largest charges, so that wrong hints of requests that
// run at the same time do not reach it. It is 0, which means no cap, while the
// rate is not known.
func (c *Counters) debtCap(s *service, now time.Time) float64 {
	rate := s.rate.perSecond(now)
	if c.options.ServiceRate != nil {
		rate = c.options.ServiceRate(s.name)
	}
	if rate <= 0 {
		return 0
	}
	limit := rate * capPeriod.Seconds() / max(s.weight, 1)
	return max(limit, capCharges*s.largest)
}
