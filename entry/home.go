package entry

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Intervals and timeouts of calls to homes.
const (
	// reportInterval is the least time between two demand reports to one home
	// in another process.
	reportInterval = 10 * time.Millisecond
	// releaseInterval is how long releases to one home are collected after a
	// batch was sent.
	releaseInterval = 2 * time.Millisecond
	// homeCallTimeout bounds one call to a home.
	homeCallTimeout = 500 * time.Millisecond
	// homeStateRetention is how long the state of a home that is no longer a
	// member is kept after its last use.
	homeStateRetention = 30 * time.Second
)

// homeState holds what the queue knows of one home and what it has yet to send
// to it.
type homeState struct {
	vm     string
	cancel context.CancelFunc
	// changedRows names the rows to report now, deferredRows those that may
	// wait for the next repeat. reportAll requests a report of all rows,
	// keepAlive one that is sent even if no row changed.
	changedRows  map[demandKey]bool
	deferredRows map[demandKey]bool
	reportAll    bool
	keepAlive    bool
	// knownDemands is what the home knows of each row.
	knownDemands map[demandKey]knownDemand
	// mayHoldDemands is true while the home may hold demands of this entry.
	mayHoldDemands  bool
	pendingReleases []wigeonladder.Release
	// freeSlots holds, by service and model, what the home last stated of its
	// free slots. Its keys name no workspace.
	freeSlots map[demandKey]slotCount
	// lastFailure is when a slot request or demand report last failed. It is
	// zero if the home has answered a slot request since.
	lastFailure time.Time
	// lastUsed is the time of the last report or batch of releases.
	lastUsed time.Time
	// reportSignal and releaseSignal wake the goroutines that send reports and
	// releases.
	reportSignal  chan struct{}
	releaseSignal chan struct{}
}

// slotCount is what a home last stated of its free slots. none is true if it
// offered no slot.
type slotCount struct {
	slots int
	none  bool
	at    time.Time
}

// mayOfferSlot reports whether a home is likely to answer and to have a free
// slot.
func (c *homeState) mayOfferSlot(k demandKey, now time.Time) bool {
	if !c.lastFailure.IsZero() && now.Sub(c.lastFailure) < failedHomeDelay {
		return false
	}
	f := c.freeSlots[k]
	return !f.none || now.Sub(f.at) >= noFreeSlotDelay
}

// signalReport wakes the goroutine that sends the reports to the home.
func (c *homeState) signalReport() {
	select {
	case c.reportSignal <- struct{}{}:
	default:
	}
}

// home returns the state of a home and creates it if necessary.
func (q *Queue) home(vm string) *homeState {
	c := q.homes[vm]
	if c == nil {
		c = q.newHomeState(vm)
		q.homes[vm] = c
	}
	return c
}

// newHomeState returns the state of a home and starts its goroutines, which end
// when the state is pruned or the context of the queue ends.
func (q *Queue) newHomeState(vm string) *homeState {
	ctx, cancel := context.WithCancel(q.ctx)
	c := &homeState{
		vm:            vm,
		cancel:        cancel,
		changedRows:   map[demandKey]bool{},
		deferredRows:  map[demandKey]bool{},
		knownDemands:  map[demandKey]knownDemand{},
		reportAll:     true,
		freeSlots:     map[demandKey]slotCount{},
		lastUsed:      time.Now(),
		reportSignal:  make(chan struct{}, 1),
		releaseSignal: make(chan struct{}, 1),
	}
	go func() {
		for waitForSignal(ctx, c.reportSignal) {
			q.sendReport(ctx, c)
			if vm != q.self && !sleep(ctx, reportInterval) {
				return
			}
		}
	}()
	go func() {
		for waitForSignal(ctx, c.releaseSignal) {
			batch := q.takeReleases(c)
			go q.sendReleases(ctx, c, batch)
			if !sleep(ctx, releaseInterval) {
				return
			}
		}
	}()
	return c
}

// waitForSignal waits for a signal. It returns false when the context ends.
func waitForSignal(ctx context.Context, signal <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}

// sleep waits for some time. It returns false when the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// takeReleases removes and returns the releases that are to be sent to a home.
func (q *Queue) takeReleases(c *homeState) []wigeonladder.Release {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := c.pendingReleases
	c.pendingReleases = nil
	c.lastUsed = time.Now()
	return batch
}

// sendReleases sends releases and repeats them once after a failure. If both
// calls fail, the contracts expire at the home, as they are no longer renewed.
func (q *Queue) sendReleases(ctx context.Context, c *homeState, batch []wigeonladder.Release) {
	if len(batch) == 0 {
		return
	}
	for range 2 {
		call, cancel := context.WithTimeout(ctx, homeCallTimeout)
		err := q.options.Fleet.Home(c.vm).Release(call, batch)
		cancel()
		if err == nil {
			return
		}
		q.options.Journal.Note("", "release failed", "home", c.vm, "contracts", len(batch), "error", err.Error())
	}
}

// pruneHomes drops the state of homes that are no longer members.
func (q *Queue) pruneHomes(now time.Time) {
	for vm, c := range q.homes {
		if now.Sub(c.lastUsed) < homeStateRetention || slices.Contains(q.view.members, vm) {
			continue
		}
		c.cancel()
		delete(q.homes, vm)
	}
}
