package entry

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of messages to homes.
const (
	// reportGap is the least time between two demand reports to one home in
	// another process.
	reportGap = 10 * time.Millisecond
	// releaseGap is the time for which releases to one home are gathered after
	// a first one was sent.
	releaseGap = 2 * time.Millisecond
	// callLimit bounds one call of a home.
	callLimit = 500 * time.Millisecond
	// plenty is the number of waiting requests of a row from which on its exact
	// count is not urgent, scarce what a home must know of at least: it may use
	// up so many before the next report arrives.
	plenty = 8
	scarce = 4
	// repeatFull is the number of repeats, one a second, between two reports of
	// all rows.
	repeatFull = 10
	// contactLife is how long a contact that is no member is kept.
	contactLife = 30 * time.Second
)

// contact is what the queue keeps of one home.
type contact struct {
	vm     string
	cancel context.CancelFunc
	// dirty names the rows to report now, later those that the next repeat may
	// report. full asks for a report of all rows, alive for a sign of life.
	dirty map[laneKey]bool
	later map[laneKey]bool
	full  bool
	alive bool
	// told is what the home knows of each row.
	told map[laneKey]told
	// reported is true while the home may hold demands of this entry.
	reported bool
	releases []wigeonladder.Release
	free     map[laneKey]freeSlots
	failed   time.Time
	// used is the time of the last report or release.
	used time.Time
	// changed and ended wake the goroutines of the contact.
	changed chan struct{}
	ended   chan struct{}
}

// told is what a home knows of one row: the waiting requests that were last
// reported, less the contracts that came from it since, and the highest urgency.
type told struct {
	waiting int
	urgency wigeonladder.Urgency
}

// freeSlots is what a home last said of its free slots.
type freeSlots struct {
	slots int
	none  bool
	at    time.Time
}

// worthAsking reports whether a home may have a free slot and answer.
func (c *contact) worthAsking(k laneKey, now time.Time) bool {
	if !c.failed.IsZero() && now.Sub(c.failed) < failedLife {
		return false
	}
	f := c.free[k]
	return !f.none || now.Sub(f.at) >= noneLife
}

// wake lets the contact send its reports.
func (c *contact) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// contact returns the contact of a home.
func (q *Queue) contact(vm string) *contact {
	c := q.contacts[vm]
	if c == nil {
		c = q.newContact(vm)
		q.contacts[vm] = c
	}
	return c
}

// newContact returns a contact whose goroutines end with the context.
func (q *Queue) newContact(vm string) *contact {
	ctx, cancel := context.WithCancel(q.ctx)
	c := &contact{
		vm:      vm,
		cancel:  cancel,
		dirty:   map[laneKey]bool{},
		later:   map[laneKey]bool{},
		told:    map[laneKey]told{},
		full:    true,
		free:    map[laneKey]freeSlots{},
		used:    time.Now(),
		changed: make(chan struct{}, 1),
		ended:   make(chan struct{}, 1),
	}
	go func() {
		for listen(ctx, c.changed) {
			q.report(ctx, c)
			if vm != q.self && !pause(ctx, reportGap) {
				return
			}
		}
	}()
	go func() {
		for listen(ctx, c.ended) {
			batch := q.takeReleases(c)
			go q.sendReleases(ctx, c, batch)
			if !pause(ctx, releaseGap) {
				return
			}
		}
	}()
	return c
}

// listen waits for a signal; it is false when the context ends.
func listen(ctx context.Context, signal <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}

// pause waits for some time; it is false when the context ends.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
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
	err := q.o.Fleet.Home(c.vm).Demand(call, r)
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
	d.Oldest = time.Since(w.since).Milliseconds()
	d.Estimate = w.request.Estimate
	d.Prefix = w.request.Prefix
	d.Avoid = w.request.Avoid
	return d
}

// takeReleases returns the releases that wait for a home.
func (q *Queue) takeReleases(c *contact) []wigeonladder.Release {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := c.releases
	c.releases = nil
	c.used = time.Now()
	return batch
}

// sendReleases sends releases, once more after a failure. If both fail, the
// home ends the contracts when they are not renewed.
func (q *Queue) sendReleases(ctx context.Context, c *contact, batch []wigeonladder.Release) {
	if len(batch) == 0 {
		return
	}
	for range 2 {
		call, cancel := context.WithTimeout(ctx, callLimit)
		err := q.o.Fleet.Home(c.vm).Release(call, batch)
		cancel()
		if err == nil {
			return
		}
		q.o.Journal.Note("", "release failed", "home", c.vm, "contracts", len(batch), "error", err.Error())
	}
}

// prune drops contacts that are members no more.
func (q *Queue) prune(now time.Time) {
	for vm, c := range q.contacts {
		if now.Sub(c.used) < contactLife || slices.Contains(q.view.members, vm) {
			continue
		}
		c.cancel()
		delete(q.contacts, vm)
	}
}
