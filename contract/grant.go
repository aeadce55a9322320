package contract

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// outbox collects the grants and recalls to send once the lock is released, by
// entry.
type outbox struct {
	grants  map[string][]pendingGrant
	recalls map[string][]wigeonladder.ContractID
}

// pendingGrant is a contract that is to be handed over, with the demand that it
// answers and the version of the demand at the time of the grant.
type pendingGrant struct {
	contract wigeonladder.Contract
	demand   *demand
	version  uint64
}

// addGrant adds a contract to hand over to its entry.
func (o *outbox) addGrant(g pendingGrant) {
	if o.grants == nil {
		o.grants = map[string][]pendingGrant{}
	}
	vm := g.contract.Entry
	o.grants[vm] = append(o.grants[vm], g)
}

// addRecall adds a contract to recall from its entry.
func (o *outbox) addRecall(c wigeonladder.Contract) {
	if o.recalls == nil {
		o.recalls = map[string][]wigeonladder.ContractID{}
	}
	o.recalls[c.Entry] = append(o.recalls[c.Entry], c.ID)
}

// RequestSlot implements wigeonladder.Home: it grants a slot at once if a free
// one fits.
func (l *Ledger) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	if err := ctx.Err(); err != nil {
		return wigeonladder.SlotOffer{}, err
	}
	l.refreshIfPaused()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := a.Demand
	p := l.pools[d.Service]
	if p == nil {
		return wigeonladder.SlotOffer{}, nil
	}
	preferred := a.Server
	if preferred == "" {
		preferred = p.affinity.Server(d.PrefixHash)
	}
	s, reason := p.pick(requirement{model: d.Model, entry: a.Entry, avoid: d.Avoid, preferred: preferred})
	if s == nil || l.paused() {
		l.options.Journal.Note("", "refused", "entry", a.Entry, "service", d.Service,
			"workspace", d.Workspace, "reason", "no free slot")
		return wigeonladder.SlotOffer{}, nil
	}
	c := l.grant(s, d.Workspace, a.Entry, d.Estimate)
	p.affinity.Set(d.PrefixHash, s.Name)
	l.noteContract("granted", c, "reason", "asked, "+reason, "inUse", s.slotsInUse, "limit", s.limit)
	return wigeonladder.SlotOffer{Contract: c, OK: true, Free: p.freeFor(d.Model)}, nil
}

// grant lends a slot of a server and charges the estimated cost of the request
// to the workspace.
func (l *Ledger) grant(s *server, workspace, vm string, estimate int64) wigeonladder.Contract {
	l.lastNumber++
	estimate = l.options.Shares.EstimateCost(s.pool.service, workspace, estimate)
	c := wigeonladder.Contract{
		ID:        wigeonladder.ContractID{HomeIncarnation: l.options.Incarnation, Number: l.lastNumber},
		Server:    s.Name,
		Service:   s.pool.service,
		Workspace: workspace,
		Entry:     vm,
		Estimate:  estimate,
	}
	l.leases[c.ID] = &lease{contract: c, server: s, charged: estimate, lastRenewed: time.Now()}
	s.slotsInUse++
	s.entryBreakers[vm].startProbe(c.ID)
	if s.probeAllowed {
		s.breaker.startProbe(c.ID)
		s.probeAllowed = false
	}
	s.fixHeaps()
	l.options.Shares.Charge(c.Service, workspace, estimate)
	return c
}

// dispatch grants free slots of a service until no slot is free or no demand
// fits a free slot.
func (l *Ledger) dispatch(p *pool, out *outbox) {
	for p.canGrant() && !l.paused() {
		w, ok := l.options.Shares.Next(p.service, func(w string) bool { return p.nextDemand(w) != nil })
		if !ok {
			return
		}
		d := p.nextDemand(w)
		if d == nil {
			return
		}
		s, reason := p.pick(d.requirement(p.affinity.Server(d.prefix)))
		c := l.grant(s, w, d.entry, d.estimate)
		p.affinity.Set(d.prefix, s.Name)
		d.grantsInFlight++
		p.updateHeap(d)
		out.addGrant(pendingGrant{c, d, d.version})
		l.noteContract("granted", c, "reason", "lowest counter, "+reason, "inUse", s.slotsInUse, "limit", s.limit)
	}
}

// canGrant reports whether a free slot exists for the model of some grantable
// demand.
func (p *pool) canGrant() bool {
	for m, n := range p.grantableDemands {
		if n > 0 && p.best(m) != nil {
			return true
		}
	}
	return false
}

// send sends the collected grants and recalls in the background, one call for
// each entry, without waiting to batch further ones.
func (l *Ledger) send(out outbox) {
	for vm, gs := range out.grants {
		go l.deliverGrants(vm, gs)
	}
	for vm, ids := range out.recalls {
		go l.sendRecall(vm, ids)
	}
}

// deliverGrants calls Grant of one entry and settles the demands that the
// contracts answer. If the call fails it ends the demands of the entry and
// recalls the contracts.
func (l *Ledger) deliverGrants(vm string, gs []pendingGrant) {
	cs := make([]wigeonladder.Contract, len(gs))
	ids := make([]wigeonladder.ContractID, len(gs))
	for i, g := range gs {
		cs[i] = g.contract
		ids[i] = g.contract.ID
	}
	ctx, cancel := context.WithTimeout(l.ctx, entryCallTimeout)
	defer cancel()
	err := l.options.Fleet.Entry(vm).Grant(ctx, cs)
	l.mu.Lock()
	var out outbox
	for _, g := range gs {
		l.settleGrant(g, err == nil)
	}
	if err != nil {
		l.endDemands(vm, "grant failed: "+err.Error())
	}
	for _, g := range gs {
		l.dispatch(l.pools[g.demand.service], &out)
	}
	l.mu.Unlock()
	l.send(out)
	if err != nil {
		l.sendRecall(vm, ids)
	}
}

// settleGrant updates the demand after a grant was delivered or failed. Unless
// a report came since the grant was decided, the waiting number still includes
// the request that got the contract. A report that came since may or may not
// include the request; the ledger assumes that it does not. A request that is
// counted although it got a contract costs one more contract, which is returned
// unused. A waiting request that is not counted would leave a slot idle.
func (l *Ledger) settleGrant(g pendingGrant, ok bool) {
	d := g.demand
	d.grantsInFlight--
	waiting := d.waiting
	if ok && d.version == g.version {
		waiting = max(0, waiting-1)
	}
	l.setWaiting(d, waiting)
}

// endDemands ends the demands of an entry until it reports again.
func (l *Ledger) endDemands(vm, reason string) {
	e := l.entries[vm]
	if e == nil {
		return
	}
	if len(e.demands) > 0 {
		l.options.Journal.Note("", "demand ended", "entry", vm, "reason", reason)
	}
	l.endUnnamedDemands(e, nil)
	if len(e.demands) == 0 {
		delete(l.entries, vm)
	}
}

// sendRecall recalls contracts from an entry. The entry releases those that
// were not used; a contract without a release expires. After a failed grant it
// is unknown whether the entry has the contract, so that only a release or the
// expiry frees the slot.
func (l *Ledger) sendRecall(vm string, ids []wigeonladder.ContractID) {
	ctx, cancel := context.WithTimeout(l.ctx, entryCallTimeout)
	defer cancel()
	err := l.options.Fleet.Entry(vm).Recall(ctx, ids)
	for _, id := range ids {
		l.options.Journal.Note("", "recalled", "contract", id.HomeIncarnation, "number", id.Number, "entry", vm, "failed", err != nil)
	}
}
