package contract

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// outbox collects what is sent once the lock is released, by entry.
type outbox struct {
	grants  map[string][]granted
	recalls map[string][]wigeonladder.ContractID
}

// granted is a contract with the demand that it answers.
type granted struct {
	contract wigeonladder.Contract
	demand   *demand
	version  uint64
}

// grant adds a contract to hand over.
func (o *outbox) grant(g granted) {
	if o.grants == nil {
		o.grants = map[string][]granted{}
	}
	vm := g.contract.Entry
	o.grants[vm] = append(o.grants[vm], g)
}

// recall adds a contract to withdraw.
func (o *outbox) recall(c wigeonladder.Contract) {
	if o.recalls == nil {
		o.recalls = map[string][]wigeonladder.ContractID{}
	}
	o.recalls[c.Entry] = append(o.recalls[c.Entry], c.ID)
}

// RequestSlot implements wigeonladder.Home: it grants a slot at once if one is free.
func (l *Ledger) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	if err := ctx.Err(); err != nil {
		return wigeonladder.SlotOffer{}, err
	}
	l.wake()
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
	s, reason := p.pick(need{model: d.Model, vm: a.Entry, avoid: d.Avoid, preferred: preferred})
	if s == nil || l.paused() {
		l.o.Journal.Note("", "refused", "entry", a.Entry, "service", d.Service,
			"workspace", d.Workspace, "reason", "no free slot")
		return wigeonladder.SlotOffer{}, nil
	}
	c := l.grant(s, d.Workspace, a.Entry, d.Estimate)
	p.affinity.Set(d.PrefixHash, s.Name)
	l.note("granted", c, "reason", "asked, "+reason, "inUse", s.inUse, "limit", s.limit)
	return wigeonladder.SlotOffer{Contract: c, OK: true, Free: p.freeFor(d.Model)}, nil
}

// grant lends a slot of a server and charges the cost that is expected
// of the request.
func (l *Ledger) grant(s *server, workspace, vm string, estimate int64) wigeonladder.Contract {
	l.number++
	estimate = l.o.Shares.EstimateCost(s.pool.name, workspace, estimate)
	c := wigeonladder.Contract{
		ID:        wigeonladder.ContractID{HomeIncarnation: l.o.Incarnation, Number: l.number},
		Server:    s.Name,
		Service:   s.pool.name,
		Workspace: workspace,
		Entry:     vm,
		Estimate:  estimate,
	}
	l.leases[c.ID] = &lease{contract: c, server: s, charged: estimate, renewed: time.Now()}
	s.inUse++
	s.byEntry[vm].granted(c.ID)
	if s.probing {
		s.all.granted(c.ID)
		s.probing = false
	}
	s.fix()
	l.o.Shares.Charge(c.Service, workspace, estimate)
	return c
}

// dispatch grants free slots of a service until no slot is free or no demand
// fits one.
func (l *Ledger) dispatch(p *pool, out *outbox) {
	for p.fits() && !l.paused() {
		w, ok := l.o.Shares.Next(p.name, func(w string) bool { return p.next(w) != nil })
		if !ok {
			return
		}
		d := p.next(w)
		if d == nil {
			return
		}
		s, reason := p.pick(d.need(p.affinity.Server(d.prefix)))
		c := l.grant(s, w, d.entry, d.estimate)
		p.affinity.Set(d.prefix, s.Name)
		d.inFlight++
		p.place(d)
		out.grant(granted{c, d, d.version})
		l.note("granted", c, "reason", "lowest counter, "+reason, "inUse", s.inUse, "limit", s.limit)
	}
}

// fits reports whether some open demand has a free slot.
func (p *pool) fits() bool {
	for m, n := range p.open {
		if n > 0 && p.best(m) != nil {
			return true
		}
	}
	return false
}

// send hands over contracts and recalls, one call for each entry. A call to an
// entry in this process takes no timer either.
func (l *Ledger) send(out outbox) {
	for vm, gs := range out.grants {
		go l.handOver(vm, gs)
	}
	for vm, ids := range out.recalls {
		go l.recall(vm, ids)
	}
}

// handOver calls one entry's Grant and settles the demands that it answers.
func (l *Ledger) handOver(vm string, gs []granted) {
	cs := make([]wigeonladder.Contract, len(gs))
	ids := make([]wigeonladder.ContractID, len(gs))
	for i, g := range gs {
		cs[i] = g.contract
		ids[i] = g.contract.ID
	}
	ctx, cancel := context.WithTimeout(l.ctx, callLimit)
	defer cancel()
	err := l.o.Fleet.Entry(vm).Grant(ctx, cs)
	l.mu.Lock()
	var out outbox
	for _, g := range gs {
		l.arrived(g, err == nil)
	}
	if err != nil {
		l.silence(vm, "grant failed: "+err.Error())
	}
	for _, g := range gs {
		l.dispatch(l.pools[g.demand.service], &out)
	}
	l.mu.Unlock()
	l.send(out)
	if err != nil {
		l.recall(vm, ids)
	}
}

// arrived settles the demand after a grant. Unless a report came since, the
// waiting number still includes the request that got the contract. A report
// that came since may or may not include it; counting it too often costs one
// contract that comes back unused, counting it too seldom would idle a slot.
func (l *Ledger) arrived(g granted, ok bool) {
	d := g.demand
	d.inFlight--
	waiting := d.waiting
	if ok && d.version == g.version {
		waiting = max(0, waiting-1)
	}
	l.setWaiting(d, waiting)
}

// silence ends the demands of an entry until it reports again.
func (l *Ledger) silence(vm, reason string) {
	e := l.entries[vm]
	if e == nil {
		return
	}
	if len(e.demands) > 0 {
		l.o.Journal.Note("", "demand ended", "entry", vm, "reason", reason)
	}
	l.endOthers(e, nil)
	if len(e.demands) == 0 {
		delete(l.entries, vm)
	}
}

// recall withdraws contracts. The entry answers with releases of those that
// were not used; a contract without an answer lapses. A failed grant leaves it
// open whether the entry has the contract, so only these two free the slot.
func (l *Ledger) recall(vm string, ids []wigeonladder.ContractID) {
	ctx, cancel := context.WithTimeout(l.ctx, callLimit)
	defer cancel()
	err := l.o.Fleet.Entry(vm).Recall(ctx, ids)
	for _, id := range ids {
		l.o.Journal.Note("", "recalled", "contract", id.HomeIncarnation, "number", id.Number, "entry", vm, "failed", err != nil)
	}
}
