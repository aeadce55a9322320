package entry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// settleTime is how long the home of a server must be the same in the view of
// this daemon before the entry answers its takeover. After two ticks the home
// role of this daemon has also stopped to grant slots of the server.
const settleTime = 2 * tick

// answer is the state of the answer to the home of one server. A home that took
// the server over may grant once every entry has listed its contracts.
type answer struct {
	home  string
	since time.Time
	done  bool
}

// settle follows the homes of the servers; it reports whether an answer is due.
func (q *Queue) settle(now time.Time) (due bool) {
	for name, s := range q.view.servers {
		a := q.answers[name]
		if a == nil || a.home != s.home {
			a = &answer{home: s.home, since: now, done: s.home == ""}
			q.answers[name] = a
		}
		due = due || a.due(now)
	}
	for name := range q.answers {
		if _, ok := q.view.servers[name]; !ok {
			delete(q.answers, name)
		}
	}
	return due
}

// due reports whether the answer is to be sent.
func (a *answer) due(now time.Time) bool {
	return !a.done && now.Sub(a.since) >= settleTime
}

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
	q.o.Journal.Note(h.request, "released", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
		"cost", u.Cost, "unused", unused)
	q.release(home, wigeonladder.Release{ID: c.ID, Usage: u, Unused: unused})
}

// giveBack returns a contract that no request used.
func (q *Queue) giveBack(c wigeonladder.Contract, reason string) {
	q.mu.Lock()
	home := q.view.servers[c.Server].home
	q.mu.Unlock()
	q.o.Journal.Note("", "returned", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
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

// renew renews the contracts in use, in one call for each home, and adds the
// answers that are due: rows that name a server without a contract. With
// answersOnly it calls only the homes that get such a row.
func (q *Queue) renew(answersOnly bool) {
	now := time.Now()
	held := map[string][]wigeonladder.HeldContract{}
	answers := map[string][]string{}
	q.mu.Lock()
	for _, h := range q.held {
		vm := q.view.servers[h.contract.Server].home
		held[vm] = append(held[vm], wigeonladder.HeldContract{Contract: h.contract, Cost: h.cost})
	}
	for name, a := range q.answers {
		if a.due(now) {
			answers[a.home] = append(answers[a.home], name)
		}
	}
	for vm := range held {
		if vm == "" || (answersOnly && answers[vm] == nil) {
			delete(held, vm)
		}
	}
	q.mu.Unlock()
	for vm := range answers {
		held[vm] = append(held[vm], answerRows(answers[vm])...)
	}
	for vm, rows := range held {
		go q.sendRenewal(vm, rows, answers[vm])
	}
}

// answerRows returns the rows that name servers without a contract.
func answerRows(servers []string) []wigeonladder.HeldContract {
	rows := make([]wigeonladder.HeldContract, len(servers))
	for i, s := range servers {
		rows[i].Contract.Server = s
	}
	return rows
}

// sendRenewal sends one batch.
func (q *Queue) sendRenewal(vm string, rows []wigeonladder.HeldContract, answers []string) {
	call, cancel := context.WithTimeout(q.ctx, wigeonladder.ContractRenewInterval)
	defer cancel()
	err := q.o.Fleet.Home(vm).Renew(call, wigeonladder.Renewal{Entry: q.self, Held: rows})
	if err != nil {
		q.o.Journal.Note("", "renewal failed", "home", vm, "contracts", len(rows)-len(answers), "error", err.Error())
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range answers {
		if a := q.answers[name]; a != nil && a.home == vm {
			a.done = true
		}
	}
}
