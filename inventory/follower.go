package inventory

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// callWithin bounds a call beyond the time that it waits.
	callWithin = 900 * time.Millisecond
	// lostAfter is the time without an answer after which the store counts as
	// lost.
	lostAfter = 2 * time.Second
)

// Options are what a Follower needs.
type Options struct {
	Store Store
	// KeyPrefix begins the keys that are followed; empty for all.
	KeyPrefix string
	// WatchTimeout is how long one watch waits for a change, WatchPause the time between
	// two watches, in which changes gather.
	WatchTimeout, WatchPause time.Duration
	// Reset takes all items, Apply the changes in their order. A change may be
	// applied twice.
	Reset func(items []Item)
	Apply func(items []Item)
	// OnConfirmed is called after each answer with the time at which its call began,
	// on the clock Now; nil for none.
	OnConfirmed func(at time.Duration)
	Now         func() time.Duration
	// OnStoreRegained is called when the store answers again after it was lost, before
	// the answer is applied; nil for none.
	OnStoreRegained func()
	Journal         wigeonladder.Journal
}

// Follower follows the items below one prefix.
type Follower struct {
	o    Options
	seen time.Time
	lost bool
	wait *backoff.ExponentialBackOff
}

// Follow follows the items until the context ends.
func Follow(ctx context.Context, o Options) {
	f := &Follower{o: o, seen: time.Now(), wait: backoff.NewExponentialBackOff()}
	f.wait.InitialInterval, f.wait.MaxInterval = retryMin, retryMax
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.watch(ctx, revision)
	}
}

// list reads all items and returns the revision from which to watch. Pages are
// no snapshot, so that the first page's revision is taken: later changes come
// again.
func (f *Follower) list(ctx context.Context) (int64, error) {
	began := f.o.Now()
	var items []Item
	revision, after := int64(0), ""
	for {
		call, cancel := context.WithTimeout(ctx, callWithin)
		p, err := f.o.Store.Range(call, f.o.KeyPrefix, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	f.answered()
	f.o.Reset(items)
	f.confirm(began)
	return revision, nil
}

// watch applies changes until history is missing or the context ends.
func (f *Follower) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		began := f.o.Now()
		call, cancel := context.WithTimeout(ctx, f.o.WatchTimeout+callWithin)
		p, err := f.o.Store.Watch(call, f.o.KeyPrefix, revision, f.o.WatchTimeout)
		cancel()
		if errors.Is(err, ErrCompacted) {
			f.o.Journal.Note("", "store_compacted", "after", revision)
			return
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered()
		if len(p.Items) > 0 {
			f.o.Apply(p.Items)
		}
		revision = max(revision, p.Revision)
		f.confirm(began)
		sleep(ctx, f.o.WatchPause)
	}
}

// confirm tells that the items were the newest.
func (f *Follower) confirm(began time.Duration) {
	if f.o.OnConfirmed != nil {
		f.o.OnConfirmed(began)
	}
}

// answered notes an answer of the store.
func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		f.o.Journal.Note("", "store_regained", "after", time.Since(f.seen))
		if f.o.OnStoreRegained != nil {
			f.o.OnStoreRegained()
		}
	}
	f.seen = time.Now()
	f.wait.Reset()
}

// failed notes a failed call and waits before the next.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost && time.Since(f.seen) > lostAfter {
		f.lost = true
		f.o.Journal.Note("", "store_lost", "age", time.Since(f.seen), "error", err)
	}
	sleep(ctx, f.wait.NextBackOff())
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
