package entry

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// plenty is the number of waiting requests of a row from which on its exact
	// count is not urgent, scarce what a home must know of at least: it may use
	// up so many before the next report arrives.
	plenty = 8
	scarce = 4
	// repeatFull is the number of repeats, one a second, between two reports of
	// all rows.
	repeatFull = 10
)

// told is what a home knows of one row: the waiting requests that were last
// reported, less the contracts that came from it since, and the highest urgency.
type told struct {
	waiting int
	urgency wigeonladder.Urgency
}

// dirty marks a row for the next report to every home that could serve it. A
// change that no home needs to know now waits for the next repeat.
func (q *Queue) dirty(k laneKey) {
	for _, vm := range q.view.homes(k.service, k.model) {
		c := q.contact(vm)
		if vm != q.self && q.routine(c, k) {
			c.later[k] = true
			continue
		}
		c.dirty[k] = true
		c.wake()
	}
}

// routine reports whether a home knows enough of a row: much waits, it knows of
// more work than it can grant before the next repeat, and nothing more urgent
// came. Then an exact count changes none of its decisions.
func (q *Queue) routine(c *contact, k laneKey) bool {
	n := q.lane(k)
	if n == nil || n.length < plenty {
		return false
	}
	t := c.told[k]
	return t.waiting > scarce && t.urgency >= wigeonladder.Urgency(n.head().level)
}

// granted counts a contract down from what its home knows of the row.
func (q *Queue) granted(c wigeonladder.Contract, k laneKey) {
	home := q.contacts[q.view.servers[c.Server].home]
	if home == nil {
		return
	}
	t := home.told[k]
	t.waiting--
	home.told[k] = t
}

// lane returns the lane of a row; nil if nothing waits there.
func (q *Queue) lane(k laneKey) *lane {
	l := q.lines[k.service]
	if l == nil || l.shelves[k.workspace] == nil {
		return nil
	}
	return l.shelves[k.workspace].lanes[k.model]
}

// dirtyShelf marks all rows of a workspace.
func (q *Queue) dirtyShelf(service, workspace string) {
	l := q.lines[service]
	if l == nil || l.shelves[workspace] == nil {
		return
	}
	for _, n := range l.shelves[workspace].lanes {
		q.dirty(n.laneKey)
	}
}

// dirtyAll marks all rows.
func (q *Queue) dirtyAll() {
	for _, l := range q.lines {
		for _, s := range l.shelves {
			for _, n := range s.lanes {
				q.dirty(n.laneKey)
			}
		}
	}
}

// repeat reports the rows that could wait, or sends a sign of life, to the homes
// that hold demands of this entry. Every repeatFull times it reports all rows.
func (q *Queue) repeat() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.repeats++
	for _, c := range q.contacts {
		if !c.reported {
			continue
		}
		c.full = c.full || q.repeats%repeatFull == 0
		c.alive = true
		for k := range c.later {
			c.dirty[k] = true
		}
		c.wake()
	}
}

// report sends the changed rows to one home.
func (q *Queue) report(ctx context.Context, c *contact) {
	r, ok := q.compose(c)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	err := q.o.Fleet.Home(c.vm).ReportDemand(call, r)
	if err == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c.full = true
	c.reported = true
	if CodeOf(err) == wigeonladder.CodeNotFound {
		// The home restarted without memory or took its servers over.
		c.wake()
		return
	}
	c.failed = time.Now()
}

// compose returns the report that is due; ok is false if none is.
func (q *Queue) compose(c *contact) (r wigeonladder.DemandReport, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = wigeonladder.DemandReport{Entry: q.self, Full: c.full}
	if c.full {
		r.Demands = q.rows(c.vm)
	} else {
		for k := range c.dirty {
			r.Demands = append(r.Demands, q.row(k))
		}
	}
	for _, d := range r.Demands {
		c.told[laneKey{d.Service, d.Workspace, d.Model}] = told{d.Waiting, d.Urgency}
	}
	due := len(r.Demands) > 0 || (c.full && c.reported) || c.alive
	if c.full {
		c.reported = len(r.Demands) > 0
	}
	c.reported = c.reported || len(r.Demands) > 0
	if c.full {
		clear(c.later)
	}
	for k := range c.dirty {
		delete(c.later, k)
	}
	c.full, c.alive = false, false
	clear(c.dirty)
	if due {
		c.used = time.Now()
	}
	return r, due
}

// rows returns all rows that one home could serve.
func (q *Queue) rows(vm string) []wigeonladder.Demand {
	var rows []wigeonladder.Demand
	for _, l := range q.lines {
		for _, s := range l.shelves {
			for _, n := range s.lanes {
				if slices.Contains(q.view.homes(n.service, n.model), vm) {
					rows = append(rows, q.row(n.laneKey))
				}
			}
		}
	}
	return rows
}

// row returns the demand of one lane; nothing waiting withdraws it.
func (q *Queue) row(k laneKey) wigeonladder.Demand {
	d := wigeonladder.Demand{Service: k.service, Workspace: k.workspace, Model: k.model}
	l := q.lines[k.service]
	if l == nil || l.shelves[k.workspace] == nil {
		return d
	}
	n := l.shelves[k.workspace].lanes[k.model]
	if n == nil {
		return d
	}
	w := n.head()
	d.Waiting = n.length
	d.Urgency = wigeonladder.Urgency(w.level)
	d.OldestWaitMs = time.Since(w.since).Milliseconds()
	d.Estimate = w.request.Estimate
	d.PrefixHash = w.request.PrefixHash
	d.Avoid = w.request.Avoid
	return d
}
