package entry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// takeoverAnswerDelay is how long this daemon must see the same home of a
// server before the entry answers the takeover of that home. After two
// refreshes the home role of this daemon has also stopped granting slots of the
// server.
const takeoverAnswerDelay = 2 * refreshInterval

// takeoverAnswer is the state of the answer to the takeover of one server. The
// new home may grant its slots early once every entry has listed its contracts.
type takeoverAnswer struct {
	home  string
	since time.Time
	sent  bool
}

// updateTakeoverAnswers follows changes of the homes of the servers. It reports
// whether an answer is due.
func (q *Queue) updateTakeoverAnswers(now time.Time) (due bool) {
	for name, s := range q.view.servers {
		a := q.takeoverAnswers[name]
		if a == nil || a.home != s.home {
			a = &takeoverAnswer{home: s.home, since: now, sent: s.home == ""}
			q.takeoverAnswers[name] = a
		}
		due = due || a.due(now)
	}
	for name := range q.takeoverAnswers {
		if _, ok := q.view.servers[name]; !ok {
			delete(q.takeoverAnswers, name)
		}
	}
	return due
}

// due reports whether the answer is to be sent now.
func (a *takeoverAnswer) due(now time.Time) bool {
	return !a.sent && now.Sub(a.since) >= takeoverAnswerDelay
}

// Progress implements wigeonladder.Placer: it records the cost so far for the
// next renewal.
func (q *Queue) Progress(c wigeonladder.Contract, cost int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if h := q.held[c.ID]; h != nil {
		h.used = true
		h.costSoFar = max(h.costSoFar, cost)
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
		q.affinityOf(c.Service).Set(h.prefix, c.Server)
	}
	home := q.view.servers[c.Server].home
	q.mu.Unlock()
	q.options.Journal.Note(h.request, "released", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
		"cost", u.Cost, "unused", unused)
	q.release(home, wigeonladder.Release{ID: c.ID, Usage: u, Unused: unused})
}

// giveBack returns a contract that no request used to its home.
func (q *Queue) giveBack(c wigeonladder.Contract, reason string) {
	q.mu.Lock()
	home := q.view.servers[c.Server].home
	q.mu.Unlock()
	q.options.Journal.Note("", "returned", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
		"server", c.Server, "reason", reason)
	q.release(home, wigeonladder.Release{ID: c.ID, Unused: true})
}

// release sends releases to a home: at once if it is this daemon, else in the
// next batch.
func (q *Queue) release(vm string, rs ...wigeonladder.Release) {
	if vm == "" {
		return
	}
	if vm == q.self {
		if err := q.options.Fleet.Home(vm).Release(q.ctx, rs); err != nil {
			q.options.Journal.Note("", "release failed", "home", vm, "error", err.Error())
		}
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.home(vm)
	c.pendingReleases = append(c.pendingReleases, rs...)
	select {
	case c.releaseSignal <- struct{}{}:
	default:
	}
}

// renew renews the held contracts, in one call for each home, and adds the
// takeover answers that are due, which are rows that name a server without a
// contract ID. With answersOnly it calls only the homes that get an answer.
func (q *Queue) renew(answersOnly bool) {
	now := time.Now()
	held := map[string][]wigeonladder.HeldContract{}
	answers := map[string][]string{}
	q.mu.Lock()
	for _, h := range q.held {
		vm := q.view.servers[h.contract.Server].home
		held[vm] = append(held[vm], wigeonladder.HeldContract{Contract: h.contract, Cost: h.costSoFar})
	}
	for name, a := range q.takeoverAnswers {
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

// answerRows returns the takeover answers for servers.
func answerRows(servers []string) []wigeonladder.HeldContract {
	rows := make([]wigeonladder.HeldContract, len(servers))
	for i, s := range servers {
		rows[i].Contract.Server = s
	}
	return rows
}

// sendRenewal sends the rows for one home and marks its takeover answers as
// sent.
func (q *Queue) sendRenewal(vm string, rows []wigeonladder.HeldContract, answers []string) {
	call, cancel := context.WithTimeout(q.ctx, wigeonladder.ContractRenewInterval)
	defer cancel()
	err := q.options.Fleet.Home(vm).Renew(call, wigeonladder.Renewal{Entry: q.self, Held: rows})
	if err != nil {
		q.options.Journal.Note("", "renewal failed", "home", vm, "contracts", len(rows)-len(answers), "error", err.Error())
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range answers {
		if a := q.takeoverAnswers[name]; a != nil && a.home == vm {
			a.sent = true
		}
	}
}
