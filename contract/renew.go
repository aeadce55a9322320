package contract

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Renew implements wigeonladder.Home: it renews contracts, raises their charges
// and takes over those that an earlier home granted.
func (l *Ledger) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.refreshIfPaused()
	if l.namesUnknownServer(r) {
		l.refresh()
	}
	now := time.Now()
	l.mu.Lock()
	for _, h := range r.Held {
		if !isTakeoverAnswer(h) {
			l.renewContract(h, now)
		}
	}
	var out outbox
	for _, h := range r.Held {
		if isTakeoverAnswer(h) {
			l.recordTakeoverAnswer(h.Contract.Server, r.Entry, &out)
		}
	}
	l.mu.Unlock()
	l.send(out)
	return nil
}

// isTakeoverAnswer reports whether a row of a renewal answers a takeover: it
// names a server and no contract ID. Such a row states that the entry considers
// this daemon the home of the server and that the renewal lists all contracts
// of the server that the entry holds.
func isTakeoverAnswer(h wigeonladder.HeldContract) bool {
	return h.Contract.ID == wigeonladder.ContractID{}
}

// namesUnknownServer reports whether a renewal names a server that is not an
// own one. The entry may have learned of a new home before this daemon did.
func (l *Ledger) namesUnknownServer(r wigeonladder.Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range r.Held {
		if l.servers[h.Contract.Server] == nil {
			return true
		}
	}
	return false
}

// renewContract renews one contract, or takes it over if the ledger does not
// hold it.
func (l *Ledger) renewContract(h wigeonladder.HeldContract, now time.Time) {
	t := l.leases[h.Contract.ID]
	if t == nil {
		t = l.takeOverContract(h)
	}
	if t == nil {
		return
	}
	t.lastRenewed = now
	t.renewed = true
	if h.Cost > t.costSoFar {
		l.recordReached(t.server, t.contract.Entry, now)
	}
	l.raiseCharge(t, h.Cost)
}

// takeOverContract adds a contract that this ledger does not hold: one of an
// earlier home, or one that expired here. The home that granted it has charged
// the larger of the estimate and the cost so far.
func (l *Ledger) takeOverContract(h wigeonladder.HeldContract) *lease {
	c := h.Contract
	s := l.servers[c.Server]
	if s == nil || l.ended.Has(c.ID) {
		return nil
	}
	t := &lease{contract: c, server: s, charged: max(c.Estimate, h.Cost)}
	l.leases[c.ID] = t
	s.slotsInUse++
	s.fixHeaps()
	l.noteContract("takeover", c, "reason", "renewed, not held here", "cost", h.Cost)
	return t
}

// raiseCharge charges the part of the cost so far that exceeds what was
// charged.
func (l *Ledger) raiseCharge(t *lease, cost int64) {
	t.costSoFar = max(t.costSoFar, cost)
	if more := t.costSoFar - t.charged; more > 0 {
		t.charged += more
		l.options.Shares.Charge(t.contract.Service, t.contract.Workspace, more)
	}
}

// Release implements wigeonladder.Home. It is idempotent: repeated and late
// releases free nothing.
func (l *Ledger) Release(ctx context.Context, rs []wigeonladder.Release) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.refreshIfPaused()
	now := time.Now()
	l.mu.Lock()
	changed := map[*pool]bool{}
	for _, r := range rs {
		t := l.leases[r.ID]
		l.ended.Add(r.ID, now)
		if t == nil {
			continue
		}
		l.settleCharge(t, r)
		l.recordRelease(t, r, now)
		l.freeSlot(t)
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

// settleCharge corrects the charge to the true cost and passes the usage to the
// limiter.
func (l *Ledger) settleCharge(t *lease, r wigeonladder.Release) {
	cost := r.Usage.Cost
	if r.Unused {
		cost = 0
	}
	if cost != t.charged {
		l.options.Shares.Charge(t.contract.Service, t.contract.Workspace, cost-t.charged)
		t.charged = cost
	}
	if !r.Unused {
		if !r.Usage.Failed {
			l.options.Shares.RecordCost(t.contract.Service, t.contract.Workspace, cost)
		}
		t.server.limiter.Observe(r.Usage, t.server.slotsInUse)
		t.server.limit = t.server.limiter.Slots()
		t.server.recentReleases[0]++
	}
	l.noteContract("released", t.contract, "cost", cost, "unused", r.Unused)
}

// freeSlot removes a contract and frees its slot.
func (l *Ledger) freeSlot(t *lease) {
	delete(l.leases, t.contract.ID)
	t.server.slotsInUse--
	t.server.entryBreakers[t.contract.Entry].endProbe(t.contract.ID)
	t.server.breaker.endProbe(t.contract.ID)
	t.server.fixHeaps()
}

// expire ends contracts that were not renewed in time and demands that were not
// reported again in time.
func (l *Ledger) expire() {
	now := time.Now()
	l.mu.Lock()
	for _, t := range l.leases {
		if now.Sub(t.lastRenewed) < wigeonladder.ContractExpiry {
			continue
		}
		l.freeSlot(t)
		l.noteContract("lapsed", t.contract, "reason", "not renewed")
	}
	for vm, e := range l.entries {
		if now.Sub(e.lastSeen) >= demandExpiry {
			l.endDemands(vm, "not refreshed")
		}
	}
	var out outbox
	for _, p := range l.pools {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
}
