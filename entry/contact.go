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
