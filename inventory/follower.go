package inventory

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// retryDelayMin and retryDelayMax bound the backoff after a failed call.
	retryDelayMin = 50 * time.Millisecond
	retryDelayMax = 500 * time.Millisecond
	// callTimeout bounds a call of the store; a watch may take WatchTimeout
	// longer.
	callTimeout = 900 * time.Millisecond
	// storeLostAfter is the time without an answer after which the connection
	// to the store counts as lost.
	storeLostAfter = 2 * time.Second
)

// Options configure a Follower.
type Options struct {
	Store Store
	// KeyPrefix is the prefix of the keys to follow; empty for all keys.
	KeyPrefix string
	// WatchTimeout is how long one watch waits for a change. WatchPause is the
	// time between two watches; changes made meanwhile arrive together with
	// the next watch.
	WatchTimeout, WatchPause time.Duration
	// Reset gets all items. Apply gets changes in their order; it may get a
	// change twice.
	Reset func(items []Item)
	Apply func(items []Item)
	// OnConfirmed is called after the items of each answer were applied, with
	// the time on the clock Now at which the call began; nil for none.
	OnConfirmed func(at time.Duration)
	Now         func() time.Duration
	// OnStoreRegained is called when the store answers again after it was lost,
	// before the answer is applied; nil for none.
	OnStoreRegained func()
	Journal         wigeonladder.Journal
}

// Follower follows the items below one key prefix.
type Follower struct {
	options      Options
	lastAnswer   time.Time
	lost         bool
	retryBackoff *backoff.ExponentialBackOff
}

// Follow follows the items until the context ends.
func Follow(ctx context.Context, o Options) {
	f := &Follower{options: o, lastAnswer: time.Now(), retryBackoff: backoff.NewExponentialBackOff()}
	f.retryBackoff.InitialInterval, f.retryBackoff.MaxInterval = retryDelayMin, retryDelayMax
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err != nil {
			f.noteFailure(ctx, err)
			continue
		}
		f.watch(ctx, revision)
	}
}

// list reads all items and returns the revision from which to watch. The pages
// are not one snapshot, so it returns the revision of the first page; the watch
// then repeats changes made between the pages.
func (f *Follower) list(ctx context.Context) (int64, error) {
	began := f.options.Now()
	var items []Item
	revision, after := int64(0), ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		p, err := f.options.Store.Range(callCtx, f.options.KeyPrefix, after)
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
	f.noteAnswer()
	f.options.Reset(items)
	f.confirm(began)
	return revision, nil
}

// watch applies changes until the store has compacted the history that it
// needs, or the context ends.
func (f *Follower) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		began := f.options.Now()
		callCtx, cancel := context.WithTimeout(ctx, f.options.WatchTimeout+callTimeout)
		p, err := f.options.Store.Watch(callCtx, f.options.KeyPrefix, revision, f.options.WatchTimeout)
		cancel()
		if errors.Is(err, ErrCompacted) {
			f.options.Journal.Note("", "store_compacted", "after", revision)
			return
		}
		if err != nil {
			f.noteFailure(ctx, err)
			continue
		}
		f.noteAnswer()
		if len(p.Items) > 0 {
			f.options.Apply(p.Items)
		}
		revision = max(revision, p.Revision)
		f.confirm(began)
		sleep(ctx, f.options.WatchPause)
	}
}

// confirm reports that the items are at least as new as the time at which the
// call began.
func (f *Follower) confirm(began time.Duration) {
	if f.options.OnConfirmed != nil {
		f.options.OnConfirmed(began)
	}
}

// noteAnswer records that the store answered.
func (f *Follower) noteAnswer() {
	if f.lost {
		f.lost = false
		f.options.Journal.Note("", "store_regained", "after", time.Since(f.lastAnswer))
		if f.options.OnStoreRegained != nil {
			f.options.OnStoreRegained()
		}
	}
	f.lastAnswer = time.Now()
	f.retryBackoff.Reset()
}

// noteFailure records a failed call and waits for the backoff delay.
func (f *Follower) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost && time.Since(f.lastAnswer) > storeLostAfter {
		f.lost = true
		f.options.Journal.Note("", "store_lost", "age", time.Since(f.lastAnswer), "error", err)
	}
	sleep(ctx, f.retryBackoff.NextBackOff())
}

// sleep waits for a time or until the context ends.
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
