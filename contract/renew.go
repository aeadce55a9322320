package contract

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Renew implements wigeonladder.Home: it extends contracts, raises their
// charges and takes over those of an earlier home.
func (l *Ledger) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.wake()
	if l.strangers(r) {
		l.refresh()
	}
	now := time.Now()
	l.mu.Lock()
	for _, h := range r.Held {
		if !isAnswer(h) {
			l.extend(h, now)
		}
	}
	var out outbox
	for _, h := range r.Held {
		if isAnswer(h) {
			l.answer(h.Contract.Server, r.Entry, &out)
		}
	}
	l.mu.Unlock()
	l.send(out)
	return nil
}

// isAnswer reports whether a row of a renewal is the answer to a takeover: a
// server without a contract id. It says that the entry takes this daemon for
// the home of the server and that the renewal lists all contracts of the server
// that the entry holds.
func isAnswer(h wigeonladder.HeldContract) bool { return h.Contract.ID == wigeonladder.ContractID{} }

// strangers reports whether a renewal names a server that is not an own one.
// The entry may have learned of a new home before this daemon did.
func (l *Ledger) strangers(r wigeonladder.Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range r.Held {
		if l.servers[h.Contract.Server] == nil {
			return true
		}
	}
	return false
}

// extend renews one contract, or takes it over.
func (l *Ledger) extend(h wigeonladder.HeldContract, now time.Time) {
	t := l.leases[h.Contract.ID]
	if t == nil {
		t = l.takeOver(h)
	}
	if t == nil {
		return
	}
	t.renewed = now
	t.inUse = true
	if h.Cost > t.cost {
		l.heard(t.server, t.contract.Entry, now)
	}
	l.raise(t, h.Cost)
}

// takeOver counts a contract that this ledger does not hold: of an earlier
// home, or one that lapsed here. Who granted it has charged the larger of the
// estimate and the cost so far.
func (l *Ledger) takeOver(h wigeonladder.HeldContract) *lease {
	c := h.Contract
	s := l.servers[c.Server]
	if s == nil || l.ended.Has(c.ID) {
		return nil
	}
	t := &lease{contract: c, server: s, charged: max(c.Estimate, h.Cost)}
	l.leases[c.ID] = t
	s.inUse++
	s.fix()
	l.note("takeover", c, "reason", "renewed, not held here", "cost", h.Cost)
	return t
}

// raise charges the cost so far as far as it exceeds what was charged.
func (l *Ledger) raise(t *lease, cost int64) {
	t.cost = max(t.cost, cost)
	if more := t.cost - t.charged; more > 0 {
		t.charged += more
		l.o.Shares.Charge(t.contract.Service, t.contract.Workspace, more)
	}
}

// Release implements wigeonladder.Home. Repeated and late releases free
// nothing.
func (l *Ledger) Release(ctx context.Context, rs []wigeonladder.Release) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.wake()
	now := time.Now()
	l.mu.Lock()
	changed := map[*pool]bool{}
	for _, r := range rs {
		t := l.leases[r.ID]
		l.ended.Add(r.ID, now)
		if t == nil {
			continue
		}
		l.settle(t, r)
		l.observe(t, r, now)
		l.free(t)
		changed[t.server.pool] = true
	}
	var out outbox
	for p := range changed {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
	return nil
}

// settle corrects the charge to the true cost and tells the limiter.
func (l *Ledger) settle(t *lease, r wigeonladder.Release) {
	cost := r.Usage.Cost
	if r.Unused {
		cost = 0
	}
	if cost != t.charged {
		l.o.Shares.Charge(t.contract.Service, t.contract.Workspace, cost-t.charged)
		t.charged = cost
	}
	if !r.Unused {
		if !r.Usage.Failed {
			l.o.Shares.RecordCost(t.contract.Service, t.contract.Workspace, cost)
		}
		t.server.limiter.Observe(r.Usage, t.server.inUse)
		t.server.limit = t.server.limiter.Slots()
		t.server.released[0]++
	}
	l.note("released", t.contract, "cost", cost, "unused", r.Unused)
}

// free takes a contract off its server.
func (l *Ledger) free(t *lease) {
	delete(l.leases, t.contract.ID)
	t.server.inUse--
	t.server.byEntry[t.contract.Entry].ended(t.contract.ID)
	t.server.all.ended(t.contract.ID)
	t.server.fix()
}

// expire ends what was not refreshed: contracts and demands.
func (l *Ledger) expire() {
	now := time.Now()
	l.mu.Lock()
	for _, t := range l.leases {
		if now.Sub(t.renewed) < wigeonladder.ContractExpiry {
			continue
		}
		l.free(t)
		l.note("lapsed", t.contract, "reason", "not renewed")
	}
	for vm, e := range l.entries {
		if now.Sub(e.seen) >= demandLife {
			l.silence(vm, "not refreshed")
		}
	}
	var out outbox
	for _, p := range l.pools {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
}
