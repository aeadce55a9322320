package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// pollTimeout is the longest wait of a long poll.
	pollTimeout = 30 * time.Second
	// maxStartDelay limits the random delay of the first call, which spreads
	// the calls of daemons that start together. With 390 daemons the busiest
	// second then has 780 calls, or 1,560 if each waiting read is counted once
	// more; the platform allows 2,000.
	maxStartDelay = 2 * time.Second
	// minPollInterval is the shortest time between the starts of two successive
	// calls of one read. When changes follow each other quickly, it limits 390
	// daemons to 780 calls a second, or 1,560 if each waiting read is counted
	// once more. With 500 ms the figures are 1,560 and 2,340, and the platform
	// allows 2,000.
	minPollInterval = time.Second
	// backoffMin and backoffMax limit the delay after errors. With a minimum of
	// 500 ms, the first two retries of 390 daemons coincide and cause 1,367
	// calls in one second.
	backoffMin = 2 * time.Second
	backoffMax = 10 * time.Second
	// earlyAnswerMargin is the time before the end of pollTimeout in which an
	// answer without a change is accepted. An answer without a change that
	// comes earlier counts as an error, so that a platform that does not wait
	// is not polled in a tight loop.
	earlyAnswerMargin = 5 * time.Second
)

// errAnsweredEarly is recorded when the platform answers without a change
// before the wait is over.
var errAnsweredEarly = errors.New("the platform answered before the wait ended, without news")

// pollLoop polls until the context ends. read is readConfig or readLive; poll
// sends one long poll and reports whether the answer was a change.
func (w *Watcher) pollLoop(ctx context.Context, read string, poll func(context.Context) (bool, error)) {
	random := w.newRandom(read)
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
		w.recordResult(read, err)
		delay := minPollInterval - elapsed
		if err != nil {
			// The delay is a random time between half of the backoff and all of it.
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

// newBackoff returns an exponential backoff without jitter. The caller adds the
// jitter, because the library's own cannot be seeded.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffMin
	b.RandomizationFactor = 0
	b.Multiplier = 2
	b.MaxInterval = backoffMax
	b.Reset()
	return b
}

// randomBelow returns a random duration below the limit.
func randomBelow(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// waitClosed waits until the channel is closed; it reports false if the context
// ends first. A nil channel counts as closed.
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

// sleep waits for a time; it reports false if the context ends first.
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
