package entry

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// longQueueLength is the number of waiting requests of a row from which on
	// a home does not need the exact count at once.
	longQueueLength = 8
	// minKnownWaiting is the number of slots that a home may grant to the
	// requests of one row before the next report arrives. The report may wait
	// only while the home knows of more waiting requests than this.
	minKnownWaiting = 4
	// fullReportRepeats is the number of repeats, one a second, between two
	// reports of all rows.
	fullReportRepeats = 10
)

// knownDemand is what a home knows of one row: the number of waiting requests
// that was last reported, less the contracts that it granted since, and the
// highest urgency.
type knownDemand struct {
	waiting int
	urgency wigeonladder.Urgency
}

// markChanged marks a row for the next report to every home that could serve
// it. A change that a home need not know at once waits for the next repeat.
func (q *Queue) markChanged(k demandKey) {
	for _, vm := range q.view.homes(k.service, k.model) {
		c := q.home(vm)
		if vm != q.self && q.mayDefer(c, k) {
			c.deferredRows[k] = true
			continue
		}
		c.changedRows[k] = true
		c.signalReport()
	}
}

// mayDefer reports whether the report of a row to a home may wait for the next
// repeat: many requests wait, the home knows of more than it can grant before
// then, and nothing more urgent arrived. An exact count would change none of
// its decisions.
func (q *Queue) mayDefer(c *homeState, k demandKey) bool {
	n := q.modelQueue(k)
	if n == nil || n.length < longQueueLength {
		return false
	}
	t := c.knownDemands[k]
	return t.waiting > minKnownWaiting && t.urgency >= wigeonladder.Urgency(n.head().urgency)
}

// countGrant subtracts a granted contract from what its home knows of the row.
func (q *Queue) countGrant(c wigeonladder.Contract, k demandKey) {
	home := q.homes[q.view.servers[c.Server].home]
	if home == nil {
		return
	}
	t := home.knownDemands[k]
	t.waiting--
	home.knownDemands[k] = t
}

// modelQueue returns the waiting requests of a row, or nil if none wait.
func (q *Queue) modelQueue(k demandKey) *modelQueue {
	l := q.services[k.service]
	if l == nil || l.workspaces[k.workspace] == nil {
		return nil
	}
	return l.workspaces[k.workspace].models[k.model]
}

// markWorkspaceChanged marks all rows of a workspace as changed.
func (q *Queue) markWorkspaceChanged(service, workspace string) {
	l := q.services[service]
	if l == nil || l.workspaces[workspace] == nil {
		return
	}
	for _, n := range l.workspaces[workspace].models {
		q.markChanged(n.demandKey)
	}
}

// markAllChanged marks all rows as changed.
func (q *Queue) markAllChanged() {
	for _, l := range q.services {
		for _, s := range l.workspaces {
			for _, n := range s.models {
				q.markChanged(n.demandKey)
			}
		}
	}
}

// repeatReports makes a report due to each home that may hold demands of this
// entry. The report contains the deferred and the changed rows; without any it
// is a keep-alive. At every fullReportRepeats-th call it contains all rows.
func (q *Queue) repeatReports() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportRepeats++
	for _, c := range q.homes {
		if !c.mayHoldDemands {
			continue
		}
		c.reportAll = c.reportAll || q.reportRepeats%fullReportRepeats == 0
		c.keepAlive = true
		for k := range c.deferredRows {
			c.changedRows[k] = true
		}
		c.signalReport()
	}
}

// sendReport sends the report that is due to one home.
func (q *Queue) sendReport(ctx context.Context, c *homeState) {
	r, ok := q.composeReport(c)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	err := q.options.Fleet.Home(c.vm).ReportDemand(call, r)
	if err == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c.reportAll = true
	c.mayHoldDemands = true
	if CodeOf(err) == wigeonladder.CodeNotFound {
		// The home was restarted without memory or has only just become the
		// home of some servers. It needs all rows at once.
		c.signalReport()
		return
	}
	c.lastFailure = time.Now()
}

// composeReport returns the report that is due to a home and marks its rows as
// known there. It returns false if none is due.
func (q *Queue) composeReport(c *homeState) (r wigeonladder.DemandReport, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = wigeonladder.DemandReport{Entry: q.self, Full: c.reportAll}
	if c.reportAll {
		r.Demands = q.demandsFor(c.vm)
	} else {
		for k := range c.changedRows {
			r.Demands = append(r.Demands, q.demandOf(k))
		}
	}
	for _, d := range r.Demands {
		c.knownDemands[demandKey{d.Service, d.Workspace, d.Model}] = knownDemand{d.Waiting, d.Urgency}
	}
	due := len(r.Demands) > 0 || (c.reportAll && c.mayHoldDemands) || c.keepAlive
	if c.reportAll {
		c.mayHoldDemands = len(r.Demands) > 0
	}
	c.mayHoldDemands = c.mayHoldDemands || len(r.Demands) > 0
	if c.reportAll {
		clear(c.deferredRows)
	}
	for k := range c.changedRows {
		delete(c.deferredRows, k)
	}
	c.reportAll, c.keepAlive = false, false
	clear(c.changedRows)
	if due {
		c.lastUsed = time.Now()
	}
	return r, due
}

// demandsFor returns all rows that a home could serve.
func (q *Queue) demandsFor(vm string) []wigeonladder.Demand {
	var rows []wigeonladder.Demand
	for _, l := range q.services {
		for _, s := range l.workspaces {
			for _, n := range s.models {
				if slices.Contains(q.view.homes(n.service, n.model), vm) {
					rows = append(rows, q.demandOf(n.demandKey))
				}
			}
		}
	}
	return rows
}

// demandOf returns the row of a demand report. If no request waits, it has
// Waiting 0, which withdraws the demand.
func (q *Queue) demandOf(k demandKey) wigeonladder.Demand {
	d := wigeonladder.Demand{Service: k.service, Workspace: k.workspace, Model: k.model}
	l := q.services[k.service]
	if l == nil || l.workspaces[k.workspace] == nil {
		return d
	}
	n := l.workspaces[k.workspace].models[k.model]
	if n == nil {
		return d
	}
	w := n.head()
	d.Waiting = n.length
	d.Urgency = wigeonladder.Urgency(w.urgency)
	d.OldestWaitMs = time.Since(w.arrived).Milliseconds()
	d.Estimate = w.request.Estimate
	d.PrefixHash = w.request.PrefixHash
	d.Avoid = w.request.Avoid
	return d
}
