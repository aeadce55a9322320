package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// pollTimeout is the length of a long poll.
	pollTimeout = 30 * time.Second
	// maxStartDelay spreads the first calls of daemons that start together. 390
	// daemons measured 780 calls in the busiest second, 1,560 with each waiting
	// read counted once more; the platform allows 2,000.
	maxStartDelay = 2 * time.Second
	// minPollInterval is the least time between two calls of one read. Changes in quick
	// succession then cost 390 daemons at most 780 calls a second, and 1,560
	// with each waiting read counted once more; 500 ms measured 1,560 and 2,340.
	minPollInterval = time.Second
	// backoffMin and backoffMax bound the delay after errors. From 500 ms, the
	// first two retries of 390 daemons fell together: 1,367 calls in a second.
	backoffMin = 2 * time.Second
	backoffMax = 10 * time.Second
	// earlyAnswerMargin is how much before the end of the wait an answer without
	// news may come. An earlier one counts as an error, so that a platform that
	// does not wait is not asked in a tight loop.
	earlyAnswerMargin = 5 * time.Second
)

// errAnsweredEarly is recorded when the platform answers at once without news.
var errAnsweredEarly = errors.New("the platform answered before the wait ended, without news")

// pollLoop polls until the context ends.
func (w *Watcher) pollLoop(ctx context.Context, what string, poll func(context.Context) (bool, error)) {
	random := w.newRandom(what)
	delays := newBackoff()
	if !waitClosed(ctx, w.options.StartPolling) || !sleep(ctx, randomBelow(random, maxStartDelay)) {
		return
	}
	for ctx.Err() == nil {
		start := time.Now()
		changed, err := poll(ctx)
		if ctx.Err() != nil {
			return
		}
		elapsed := time.Since(start)
		if err == nil && !changed && elapsed < pollTimeout-earlyAnswerMargin {
			err = errAnsweredEarly
		}
		w.recordResult(what, err)
		delay := minPollInterval - elapsed
		if err != nil {
			// The delay is anything from a half to the whole.
			d := delays.NextBackOff()
			delay = d/2 + randomBelow(random, d/2)
		} else {
			delays.Reset()
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// newBackoff returns growing delays. The jitter is added by the caller, because
// the library's own has no seed.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffMin
	b.RandomizationFactor = 0
	b.Multiplier = 2
	b.MaxInterval = backoffMax
	b.Reset()
	return b
}

// randomBelow returns a random time below the limit.
func randomBelow(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// waitClosed waits until the channel is closed, and reports false if the context
// ended first.
func waitClosed(ctx context.Context, ch <-chan struct{}) bool {
	if ch == nil {
		return true
	}
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits, and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
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
