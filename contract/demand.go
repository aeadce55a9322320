package contract

import (
	"cmp"
	"container/heap"
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// demandKey names one row of demand of an entry. An entry reports one row for
// each model, so that a request for a busy model does not hide others.
type demandKey struct {
	service, workspace, model string
}

// demand is the waiting work of one workspace for one model at one entry.
type demand struct {
	demandKey
	entry    string
	waiting  int
	inFlight int
	urgency  wigeonladder.Urgency
	head     time.Time
	estimate int64
	prefix   uint64
	avoid    []string
	// version counts the reports, to tell whether a report may already take a
	// grant into account.
	version uint64
	// index is the place in the lane, -1 outside.
	index int
}

// need returns what a grant for the demand must fit.
func (d *demand) need(preferred string) need {
	return need{model: d.model, vm: d.entry, avoid: d.avoid, preferred: preferred}
}

// open returns how many grants the demand may still get.
func (d *demand) open() int { return max(0, d.waiting-d.inFlight) }

// compare orders demands: more urgent first, then fewer grants in flight (the
// head that was reported is then already served), then the longer wait.
func (d *demand) compare(e *demand) int {
	return cmp.Or(
		cmp.Compare(e.urgency, d.urgency),
		cmp.Compare(d.inFlight, e.inFlight),
		d.head.Compare(e.head),
		cmp.Compare(d.entry, e.entry),
	)
}

// lane is a heap of the open demands of one workspace for one model.
type lane []*demand

// Len implements heap.Interface.
func (l lane) Len() int { return len(l) }

// Less implements heap.Interface.
func (l lane) Less(i, j int) bool { return l[i].compare(l[j]) < 0 }

// Swap implements heap.Interface.
func (l lane) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	d := x.(*demand)
	d.index = len(*l)
	*l = append(*l, d)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(*l) - 1
	d := (*l)[last]
	*l = (*l)[:last]
	d.index = -1
	return d
}

// queue is the demand of one workspace for one service.
type queue struct {
	lanes map[string]*lane
	// waiting is the sum over entries and models, as reported.
	waiting int
	// demands is the number of rows that are kept.
	demands int
}

// next returns the first demand that a free server fits.
func (p *pool) next(workspace string) *demand {
	q := p.queues[workspace]
	if q == nil {
		return nil
	}
	var first *demand
	for model, n := range q.lanes {
		if n.Len() == 0 || p.best(model) == nil {
			continue
		}
		i, ok := topmost(*n, 0, n.Less, func(d *demand) int {
			if s, _ := p.pick(d.need("")); s == nil {
				return skip
			}
			return take
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

// place puts a changed demand where it belongs in its lane.
func (p *pool) place(d *demand) {
	n := p.queues[d.workspace].lanes[d.model]
	switch {
	case d.open() > 0 && d.index < 0:
		heap.Push(n, d)
		p.open[d.model]++
	case d.open() > 0:
		heap.Fix(n, d.index)
	case d.index >= 0:
		heap.Remove(n, d.index)
		p.open[d.model]--
	}
}

// setWaiting changes the number that a demand reports as waiting and tells
// Shares when the workspace becomes backlogged or stops being so.
func (l *Ledger) setWaiting(d *demand, waiting int) {
	p := l.pools[d.service]
	q := p.queues[d.workspace]
	before := q.waiting
	q.waiting += waiting - d.waiting
	d.waiting = waiting
	p.place(d)
	if (before > 0) != (q.waiting > 0) {
		l.o.Shares.SetBacklogged(d.service, d.workspace, q.waiting > 0)
	}
	l.forget(d)
}

// forget drops a demand that has neither waiting work nor grants in flight.
func (l *Ledger) forget(d *demand) {
	if d.waiting > 0 || d.inFlight > 0 {
		return
	}
	delete(l.entries[d.entry].demands, d.demandKey)
	p := l.pools[d.service]
	q := p.queues[d.workspace]
	q.demands--
	if q.demands == 0 {
		delete(p.queues, d.workspace)
	}
}

// ReportDemand implements wigeonladder.Home.
func (l *Ledger) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.wake()
	now := time.Now()
	if !r.Full && len(r.Demands) == 0 {
		return l.alive(r.Entry, now)
	}
	l.mu.Lock()
	e := l.entry(r.Entry)
	e.seen = now
	changed := map[*pool]bool{}
	named := map[demandKey]bool{}
	for _, d := range r.Demands {
		k := demandKey{d.Service, d.Workspace, d.Model}
		named[k] = true
		l.report(e, r.Entry, k, d, now)
		changed[l.pool(d.Service)] = true
	}
	if r.Full {
		l.endOthers(e, named)
	}
	var out outbox
	for p := range changed {
		l.dispatch(p, &out)
	}
	l.mu.Unlock()
	l.send(out)
	return nil
}

// alive keeps the demands of an entry that repeats them by a sign of life. It is
// an error if there are none, as after a restart: the entry then reports all.
func (l *Ledger) alive(vm string, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[vm]
	if e == nil || len(e.demands) == 0 {
		return wigeonladder.Errorf(wigeonladder.CodeNotFound, vm, "no demands of this entry are known")
	}
	e.seen = now
	return nil
}

// entry returns the record of an entry daemon.
func (l *Ledger) entry(vm string) *entry {
	e := l.entries[vm]
	if e == nil {
		e = &entry{demands: map[demandKey]*demand{}}
		l.entries[vm] = e
	}
	return e
}

// report takes over one row of a demand report.
func (l *Ledger) report(e *entry, vm string, k demandKey, r wigeonladder.Demand, now time.Time) {
	d := e.demands[k]
	if d == nil {
		if r.Waiting <= 0 {
			return
		}
		d = l.open(e, vm, k)
	}
	d.version++
	d.urgency = r.Urgency
	d.head = now.Add(-time.Duration(r.OldestWaitMs) * time.Millisecond)
	d.estimate = r.Estimate
	d.prefix = r.PrefixHash
	d.avoid = r.Avoid
	l.setWaiting(d, max(0, r.Waiting))
}

// open adds a row of demand.
func (l *Ledger) open(e *entry, vm string, k demandKey) *demand {
	d := &demand{demandKey: k, entry: vm, index: -1}
	e.demands[k] = d
	p := l.pool(k.service)
	q := p.queues[k.workspace]
	if q == nil {
		q = &queue{lanes: map[string]*lane{}}
		p.queues[k.workspace] = q
	}
	if q.lanes[k.model] == nil {
		q.lanes[k.model] = &lane{}
	}
	q.demands++
	return d
}

// endOthers ends the demands of an entry that a full report does not name.
func (l *Ledger) endOthers(e *entry, named map[demandKey]bool) {
	for k, d := range e.demands {
		if !named[k] {
			d.version++
			l.setWaiting(d, 0)
		}
	}
}
