package entry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// greetingLife is how long after the last message an entry without contracts
// still tells a home that it holds none.
const greetingLife = 10 * time.Second

// Progress implements wigeonladder.Placer: it keeps the cost for the next
// renewal.
func (q *Queue) Progress(c wigeonladder.Contract, cost int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if h := q.held[c.ID]; h != nil {
		h.used = true
		h.cost = max(h.cost, cost)
	}
}

// Release implements wigeonladder.Placer. A second release of a contract does
// nothing.
func (q *Queue) Release(c wigeonladder.Contract, u wigeonladder.Usage) {
	q.mu.Lock()
	h := q.held[c.ID]
	if h == nil {
		q.mu.Unlock()
		return
	}
	delete(q.held, c.ID)
	unused := !h.used && u == (wigeonladder.Usage{})
	if !unused && !u.Failed {
		q.prefixes(c.Service).Set(h.prefix, c.Server)
	}
	home := q.view.servers[c.Server].home
	q.mu.Unlock()
	q.o.Journal.Note(h.request, "released", "contract", c.ID.Home, "number", c.ID.Number,
		"cost", u.Cost, "unused", unused)
	q.release(home, wigeonladder.Release{ID: c.ID, Usage: u, Unused: unused})
}

// giveBack returns a contract that no request used.
func (q *Queue) giveBack(c wigeonladder.Contract, reason string) {
	q.mu.Lock()
	home := q.view.servers[c.Server].home
	q.mu.Unlock()
	q.o.Journal.Note("", "returned", "contract", c.ID.Home, "number", c.ID.Number,
		"server", c.Server, "reason", reason)
	q.release(home, wigeonladder.Release{ID: c.ID, Unused: true})
}

// release sends releases to a home: at once to the own one, else in a batch.
func (q *Queue) release(vm string, rs ...wigeonladder.Release) {
	if vm == "" {
		return
	}
	if vm == q.self {
		if err := q.o.Fleet.Home(vm).Release(q.ctx, rs); err != nil {
			q.o.Journal.Note("", "release failed", "home", vm, "error", err.Error())
		}
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.contact(vm)
	c.releases = append(c.releases, rs...)
	select {
	case c.ended <- struct{}{}:
	default:
	}
}

// renew renews the contracts in use, in one call for each home. Without any
// contract it tells the homes so; they take that as the answer that a takeover
// waits for. An entry that holds contracts elsewhere sends no empty renewal, as
// it may take another daemon for the home of their servers.
func (q *Queue) renew() {
	now := time.Now()
	batches := map[string][]wigeonladder.Held{}
	q.mu.Lock()
	for _, h := range q.held {
		home := q.view.servers[h.contract.Server].home
		if home != "" {
			batches[home] = append(batches[home], wigeonladder.Held{Contract: h.contract, Cost: h.cost})
		}
	}
	if len(q.held) == 0 {
		for _, vm := range q.greet(now) {
			batches[vm] = nil
		}
	}
	for vm, batch := range batches {
		if c := q.contact(vm); len(batch) > 0 {
			c.used = now
		}
	}
	q.mu.Unlock()
	for vm, batch := range batches {
		go q.sendRenewal(vm, batch)
	}
}

// greet returns the homes that are told that this entry holds no contract:
// those with recent contact, and once each other member.
func (q *Queue) greet(now time.Time) []string {
	var homes []string
	for _, vm := range q.view.members {
		c := q.contact(vm)
		if !c.greeted || now.Sub(c.used) < greetingLife {
			homes = append(homes, vm)
		}
	}
	return homes
}

// sendRenewal sends one batch.
func (q *Queue) sendRenewal(vm string, batch []wigeonladder.Held) {
	call, cancel := context.WithTimeout(q.ctx, wigeonladder.ContractRenew)
	defer cancel()
	err := q.o.Fleet.Home(vm).Renew(call, wigeonladder.Renewal{Entry: q.self, Held: batch})
	if err != nil {
		q.o.Journal.Note("", "renewal failed", "home", vm, "contracts", len(batch), "error", err.Error())
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.contact(vm).greeted = true
}
