package fair

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// debtExpiry is the idle time after which the debt of a workspace is
	// dropped.
	debtExpiry = 10 * time.Second
	// deficitRetention is how long a workspace keeps its deficit while it has
	// no backlog and receives no service. It covers two exchanges, so that a
	// workspace does not lose its turn when one home sees no demand from it for
	// a moment.
	deficitRetention = 2 * time.Second
	// noBacklogDelay is the time without any backlog after which no workspace
	// is owed service and V follows the service that is given.
	noBacklogDelay = time.Second
	// debtCapPeriod is the period for which the debt cap is computed: the cap is
	// the service that a backlogged workspace receives in this period, or
	// debtCapCharges charges if that is more.
	debtCapPeriod = 60 * time.Second
	// debtCapCharges is the number of largest charges for which the debt cap
	// leaves room. With one, wrong cost hints took a small workspace to the cap
	// 17 times in 700 s, without any network partition.
	debtCapCharges = 4
)

// Options configures Counters.
type Options struct {
	// HomeIncarnation is the incarnation of the home that charges.
	HomeIncarnation string
	// Rules returns the rules in force. Without it all weights are 1. Counters
	// reads the shares again when Rules returns a different slice of them.
	Rules func() wigeonladder.Rules
	// Slots returns the number of slots that the home grants. Without it, or
	// when it returns 0, nothing is extrapolated.
	Slots func() int
	// ServiceRate returns the fleet's rate for a service in cost units per
	// second. The debt cap is computed from it. Without it the rate is derived
	// from the charges of this home and its peers.
	ServiceRate func(service string) float64
	// NoExtrapolation switches extrapolation off, for comparisons with and
	// without it.
	NoExtrapolation bool
}

// Counters is the fair-share state of one home: the service that workspaces
// received, as far as the home knows it. It implements wigeonladder.FairShares
// and wigeonladder.ChargeExchange and is safe for concurrent use.
type Counters struct {
	options Options

	mu       sync.Mutex
	services map[string]*service
	shares   shares
	peers    map[string]*peer
	// adoptedPeer is the incarnation whose counters this home adopted after its
	// start.
	adoptedPeer string
	exportCount int
	// dirty holds the rows that the next export names.
	dirty map[*row]struct{}
}

var (
	_ wigeonladder.FairShares     = (*Counters)(nil)
	_ wigeonladder.ChargeExchange = (*Counters)(nil)
)

// NewCounters returns counters without any services.
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
	r.ownCharges += cost
	c.dirty[r] = struct{}{}
	r.service.raiseToServed(r, now)
	c.extrapolate(r, cost)
	r.addService(float64(cost), now)
	r.applyDebtCap(c.debtCap(r.service, now))
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
		r.leaveBacklog(now)
		return
	}
	r.enterBacklog(now)
	r.applyDebtCap(c.debtCap(r.service, now))
}

// Next implements wigeonladder.FairShares. It calls accept with the lock held,
// so accept must not call the counters. Each refusal adds one step of
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

// row returns the row of a workspace and creates it if it does not exist.
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

// refresh applies changed rules. Debt and credit keep their value in cost
// units.
func (c *Counters) refresh() {
	if !c.shares.update(c.options.Rules().Shares) {
		return
	}
	for _, s := range c.services {
		v := s.virtualTime()
		for _, r := range s.rows {
			r.setShare(c.shares.of(r.workspace), v)
		}
	}
}

// debtCap returns how far the counter of a workspace may be above V: the
// service divided by weight that a backlogged workspace receives in
// debtCapPeriod. It is at least debtCapCharges times the largest charge, so
// that wrong hints of concurrent requests do not reach it. It is 0, which means
// no cap, while the rate is unknown.
func (c *Counters) debtCap(s *service, now time.Time) float64 {
	rate := s.rate.perSecond(now)
	if c.options.ServiceRate != nil {
		rate = c.options.ServiceRate(s.name)
	}
	if rate <= 0 {
		return 0
	}
	limit := rate * debtCapPeriod.Seconds() / max(s.backloggedWeight, 1)
	return max(limit, debtCapCharges*s.largestCharge)
}
