package inventory

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// maxFeedItems bounds the changes that a Feed keeps.
	maxFeedItems = 4096
	// shortWatchTimeout is how long a watch of the store waits for a change if an answer
	// is needed also if there is none: other daemons wait for it, or one call has just
	// failed, so that another lost one must be noticed soon. After further failures the
	// answer may be slow, and gets the usual time.
	shortWatchTimeout = 100 * time.Millisecond
	// feedUsedTime is the time since the last call of Watch for which a feed counts as
	// used. It is longer than the time between two attempts of a daemon that got no
	// answer.
	feedUsedTime = 2 * relayRetryDelay
)

// ErrNoFeed is the error of a Feed that cannot tell all changes after a revision.
var ErrNoFeed = errors.New("the daemon does not have all changes after this revision")

// Feed lets other daemons follow the store over this one, so that not each of them
// has to read the store. It tells only what this daemon has read from the store
// itself, and when it read it: a daemon that follows a feed never takes its state for
// newer than it is.
type Feed struct {
	now func() time.Duration

	mu sync.Mutex
	// open is true while the history contains all changes after the revision start.
	open            bool
	start, revision int64
	// era is the era of the store in which the changes were read.
	era     int64
	history []Item
	// reads counts the reads of the store, readAt is when the last one began, on the
	// clock now.
	reads  int
	readAt time.Duration
	// usedAt is when Watch was last called, on the clock now; everUsed is false before.
	usedAt   time.Duration
	everUsed bool
	// updated is closed and replaced after each read.
	updated chan struct{}
}

// NewFeed returns a feed that offers nothing yet. The clock must count the time for
// which the machine was suspended.
func NewFeed(now func() time.Duration) *Feed {
	return &Feed{now: now, updated: make(chan struct{})}
}

// add records a read of the store that began at the given time: the changes in it and
// its revision and era. A closed feed is open from this revision on.
func (f *Feed) add(changes []Item, revision, era int64, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open || f.era != era {
		f.open, f.start, f.era, f.history = true, revision, era, nil
	} else {
		f.history = append(f.history, changes...)
		slices.SortStableFunc(f.history, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	}
	if drop := len(f.history) - maxFeedItems; drop > 0 {
		f.start = f.history[drop-1].Revision
		f.history = slices.Clone(f.history[drop:])
	}
	f.reads++
	f.revision, f.readAt = revision, began
	close(f.updated)
	f.updated = make(chan struct{})
}

// close ends the feed until the next read of the store. A daemon that has listed all
// items, or has got changes from another one, may lack some of the history.
func (f *Feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open, f.history = false, nil
}

// isUsed reports whether other daemons follow the store over this one.
func (f *Feed) isUsed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everUsed && f.now()-f.usedAt < feedUsedTime
}

// Watch returns the changes after a revision of an era once this daemon has read the store
// the next time. Page.ReadOffset counts from the call. The error is ErrNoFeed if there is
// no such read before the wait ends, or if the history does not reach back to the
// revision, or is that of another era.
func (f *Feed) Watch(ctx context.Context, after, era int64, wait time.Duration) (Page, error) {
	f.mu.Lock()
	called, reads := f.now(), f.reads
	f.usedAt, f.everUsed = called, true
	f.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		p, updated, err := f.page(after, era, called, reads)
		if err != nil || updated == nil {
			return p, err
		}
		select {
		case <-updated:
		case <-t.C:
			return Page{}, ErrNoFeed
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// page returns the answer to a call of Watch before which there was a number of reads,
// or a channel that is closed by the next read if the answer has to wait for it.
func (f *Feed) page(after, era int64, called time.Duration, reads int) (Page, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open || era != f.era || after < f.start {
		return Page{}, nil, ErrNoFeed
	}
	if after > f.revision || f.reads == reads {
		return Page{}, f.updated, nil
	}
	p := Page{Revision: f.revision, Era: f.era, ReadOffset: f.readAt - called, Relayed: true}
	for _, i := range f.history {
		if i.Revision > after {
			p.Items = append(p.Items, i)
		}
	}
	return p, nil, nil
}
