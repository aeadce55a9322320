package contract

import (
	"cmp"
	"container/heap"
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// demandKey identifies one row of a demand report. An entry reports one row for
// each model, so that a request for a busy model does not hide requests for
// other models.
type demandKey struct {
	service, workspace, model string
}

// demand is what one entry reported of the waiting requests of one workspace
// for one model.
type demand struct {
	demandKey
	entry          string
	waiting        int
	grantsInFlight int
	urgency        wigeonladder.Urgency
	oldestArrival  time.Time
	estimate       int64
	prefix         uint64
	avoid          []string
	// version counts the reports of the row and the times when the ledger ended
	// the demand. It tells whether a report came after a grant was decided and
	// may therefore already take the grant into account.
	version uint64
	// index is the position in the demandHeap, -1 outside of it.
	index int
}

// requirement returns what a grant for the demand must fit.
func (d *demand) requirement(preferred string) requirement {
	return requirement{model: d.model, entry: d.entry, avoid: d.avoid, preferred: preferred}
}

// grantable returns how many more grants the demand may get: its waiting
// requests less the grants in flight.
func (d *demand) grantable() int { return max(0, d.waiting-d.grantsInFlight) }

// compare orders demands: the more urgent one first, then the one with fewer
// grants in flight (a grant in flight already serves the head request that was
// reported), then the one that waits longer.
func (d *demand) compare(e *demand) int {
	return cmp.Or(
		cmp.Compare(e.urgency, d.urgency),
		cmp.Compare(d.grantsInFlight, e.grantsInFlight),
		d.oldestArrival.Compare(e.oldestArrival),
		cmp.Compare(d.entry, e.entry),
	)
}

// demandHeap is a heap of the grantable demands of one workspace for one model.
type demandHeap []*demand

// Len implements heap.Interface.
func (l demandHeap) Len() int { return len(l) }

// Less implements heap.Interface.
func (l demandHeap) Less(i, j int) bool { return l[i].compare(l[j]) < 0 }

// Swap implements heap.Interface.
func (l demandHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *demandHeap) Push(x any) {
	d := x.(*demand)
	d.index = len(*l)
	*l = append(*l, d)
}

// Pop implements heap.Interface.
func (l *demandHeap) Pop() any {
	last := len(*l) - 1
	d := (*l)[last]
	*l = (*l)[:last]
	d.index = -1
	return d
}

// workspaceDemand is the demand of one workspace for one service.
type workspaceDemand struct {
	byModel map[string]*demandHeap
	// waiting is the sum over entries and models, as reported.
	waiting int
	// demands is the number of rows, including those with only grants in
	// flight.
	demands int
}

// nextDemand returns the first demand of a workspace that fits a free slot, or
// nil.
func (p *pool) nextDemand(workspace string) *demand {
	q := p.workspaces[workspace]
	if q == nil {
		return nil
	}
	var first *demand
	for model, n := range q.byModel {
		if n.Len() == 0 || p.best(model) == nil {
			continue
		}
		i, ok := firstAccepted(*n, 0, n.Less, func(d *demand) int {
			if s, _ := p.pick(d.requirement("")); s == nil {
				return skipElement
			}
			return acceptElement
		})
		if !ok {
			continue
		}
		d := (*n)[i]
		if first == nil || d.compare(first) < 0 {
			first = d
		}
	}
	return first
}

// updateHeap adds a changed demand to its heap, moves it within the heap, or
// removes it, and keeps grantableDemands up to date.
func (p *pool) updateHeap(d *demand) {
	n := p.workspaces[d.workspace].byModel[d.model]
	switch {
	case d.grantable() > 0 && d.index < 0:
		heap.Push(n, d)
		p.grantableDemands[d.model]++
	case d.grantable() > 0:
		heap.Fix(n, d.index)
	case d.index >= 0:
		heap.Remove(n, d.index)
		p.grantableDemands[d.model]--
	}
}

// setWaiting changes the number of waiting requests of a demand. It tells
// FairShares when the workspace becomes backlogged or stops being so.
func (l *Ledger) setWaiting(d *demand, waiting int) {
	p := l.pools[d.service]
	q := p.workspaces[d.workspace]
	before := q.waiting
	q.waiting += waiting - d.waiting
	d.waiting = waiting
	p.updateHeap(d)
	if (before > 0) != (q.waiting > 0) {
		l.options.Shares.SetBacklogged(d.service, d.workspace, q.waiting > 0)
	}
	l.dropIfEmpty(d)
}

// dropIfEmpty drops a demand that has neither waiting requests nor grants in
// flight.
func (l *Ledger) dropIfEmpty(d *demand) {
	if d.waiting > 0 || d.grantsInFlight > 0 {
		return
	}
	delete(l.entries[d.entry].demands, d.demandKey)
	p := l.pools[d.service]
	q := p.workspaces[d.workspace]
	q.demands--
	if q.demands == 0 {
		delete(p.workspaces, d.workspace)
	}
}

// ReportDemand implements wigeonladder.Home. A report without rows that is not
// full is a keep-alive: it repeats the demands that the entry reported before.
func (l *Ledger) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.refreshIfPaused()
	now := time.Now()
	if !r.Full && len(r.Demands) == 0 {
		return l.keepAlive(r.Entry, now)
	}
	l.mu.Lock()
	e := l.entryState(r.Entry)
	e.lastSeen = now
	changed := map[*pool]bool{}
	named := map[demandKey]bool{}
	for _, d := range r.Demands {
		k := demandKey{d.Service, d.Workspace, d.Model}
		named[k] = true
		l.applyDemand(e, r.Entry, k, d, now)
		changed[l.pool(d.Service)] = true
	}
	if r.Full {
		l.endUnnamedDemands(e, named)
	}
	var out outbox
	for p := range changed {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
	return nil
}

// keepAlive keeps the demands of an entry from expiring. It returns an error if
// none are known, as after a restart of this daemon; the entry then reports all
// its demands.
func (l *Ledger) keepAlive(vm string, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[vm]
	if e == nil || len(e.demands) == 0 {
		return wigeonladder.Errorf(wigeonladder.CodeNotFound, vm, "no demands of this entry are known")
	}
	e.lastSeen = now
	return nil
}

// entryState returns the state of an entry daemon and creates it if necessary.
func (l *Ledger) entryState(vm string) *entryState {
	e := l.entries[vm]
	if e == nil {
		e = &entryState{demands: map[demandKey]*demand{}}
		l.entries[vm] = e
	}
	return e
}

// applyDemand applies one row of a demand report.
func (l *Ledger) applyDemand(e *entryState, vm string, k demandKey, r wigeonladder.Demand, now time.Time) {
	d := e.demands[k]
	if d == nil {
		if r.Waiting <= 0 {
			return
		}
		d = l.addDemand(e, vm, k)
	}
	d.version++
	d.urgency = r.Urgency
	d.oldestArrival = now.Add(-time.Duration(r.OldestWaitMs) * time.Millisecond)
	d.estimate = r.Estimate
	d.prefix = r.PrefixHash
	d.avoid = r.Avoid
	l.setWaiting(d, max(0, r.Waiting))
}

// addDemand adds a demand without waiting requests.
func (l *Ledger) addDemand(e *entryState, vm string, k demandKey) *demand {
	d := &demand{demandKey: k, entry: vm, index: -1}
	e.demands[k] = d
	p := l.pool(k.service)
	q := p.workspaces[k.workspace]
	if q == nil {
		q = &workspaceDemand{byModel: map[string]*demandHeap{}}
		p.workspaces[k.workspace] = q
	}
	if q.byModel[k.model] == nil {
		q.byModel[k.model] = &demandHeap{}
	}
	q.demands++
	return d
}

// endUnnamedDemands ends the demands of an entry that a full report does not
// name.
func (l *Ledger) endUnnamedDemands(e *entryState, named map[demandKey]bool) {
	for k, d := range e.demands {
		if !named[k] {
			d.version++
			l.setWaiting(d, 0)
		}
	}
}
