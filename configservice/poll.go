package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// pollWait is the length of a long poll.
	pollWait = 30 * time.Second
	// firstSpread spreads the first calls of daemons that start together. 390
	// daemons measured 780 calls in the busiest second, 1,560 with each waiting
	// read counted once more; the platform allows 2,000.
	firstSpread = 2 * time.Second
	// pollGap is the least time between two calls of one read. Changes in quick
	// succession then cost 390 daemons at most 780 calls a second, and 1,560
	// with each waiting read counted once more; 500 ms measured 1,560 and 2,340.
	pollGap = time.Second
	// backoffMin and backoffMax bound the delay after errors. From 500 ms, the
	// first two retries of 390 daemons fell together: 1,367 calls in a second.
	backoffMin = 2 * time.Second
	backoffMax = 10 * time.Second
	// earlyAnswer is how much before the end of the wait an answer without
	// news may come. An earlier one counts as an error, so that a platform that
	// does not wait is not asked in a tight loop.
	earlyAnswer = 5 * time.Second
)

// errEarly is recorded when the platform answers at once without news.
var errEarly = errors.New("the platform answered before the wait ended, without news")

// follow polls until the context ends.
func (w *Watcher) follow(ctx context.Context, what string, poll func(context.Context) (bool, error)) {
	random := w.source(what)
	delays := newDelays()
	if !held(ctx, w.options.StartPolling) || !pause(ctx, spread(random, firstSpread)) {
		return
	}
	for ctx.Err() == nil {
		start := time.Now()
		news, err := poll(ctx)
		if ctx.Err() != nil {
			return
		}
		took := time.Since(start)
		if err == nil && !news && took < pollWait-earlyAnswer {
			err = errEarly
		}
		w.failed(what, err)
		delay := pollGap - took
		if err != nil {
			// The delay is anything from a half to the whole.
			d := delays.NextBackOff()
			delay = d/2 + spread(random, d/2)
		} else {
			delays.Reset()
		}
		if !pause(ctx, delay) {
			return
		}
	}
}

// newDelays returns growing delays. The jitter is added by the caller, because
// the library's own has no seed.
func newDelays() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffMin
	b.RandomizationFactor = 0
	b.Multiplier = 2
	b.MaxInterval = backoffMax
	b.Reset()
	return b
}

// spread returns a random time below the limit.
func spread(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// held waits until the channel is closed, and reports false if the context
// ended first.
func held(ctx context.Context, hold <-chan struct{}) bool {
	if hold == nil {
		return true
	}
	select {
	case <-hold:
		return true
	case <-ctx.Done():
		return false
	}
}

// pause waits, and reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
