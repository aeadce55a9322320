package retry

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// mayMove reports whether the request may ask for another contract.
func (j *job) mayMove() bool {
	if j.busy == nil {
		j.moves++
		return j.moves <= maxMoves
	}
	if j.apart.IsZero() {
		j.apart = time.Now().Add(apartWait)
	}
	return time.Now().Before(j.apart)
}

// mayRetry applies the retry rules to the error of an attempt.
func (j *job) mayRetry(ctx context.Context, e *wigeonladder.Error) bool {
	if e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		j.worst = e
	}
	if ctx.Err() != nil {
		return false
	}
	switch e.Code {
	case wigeonladder.CodeContractLate:
		// Nothing was sent, so that even a request that may not be repeated
		// goes on.
		return j.mayRetryUnsent()
	case wigeonladder.CodeConnect:
		// Nothing was sent either, but a connection over a cut link may take
		// seconds to fail, so that the tries are counted.
		return j.mayRetryFree()
	case wigeonladder.CodeRefused:
		// Bytes reached the server, although it says that nothing ran.
		return !j.r.AtMostOnce && j.mayRetryFree()
	case wigeonladder.CodeBroken, wigeonladder.CodeTimeout, wigeonladder.CodeCrossed:
		return !j.r.AtMostOnce && j.mayRepeat()
	default:
		return false
	}
}

// mayRetryUnsent allows retries for a time after a contract that could not be
// used. The pauses between them grow to delayMax.
func (j *job) mayRetryUnsent() bool {
	if j.unsent.IsZero() {
		j.unsent = time.Now()
	}
	return time.Since(j.unsent) < j.n.o.MaxContractRetryTime
}

// mayRetryFree counts a retry after a refused attempt.
func (j *job) mayRetryFree() bool {
	j.free++
	return j.free <= maxFree
}

// mayRepeat reports whether a request that may have run may run again, and
// spends the budget.
func (j *job) mayRepeat() bool {
	if j.retries >= maxRetry || !j.out.resumable(j.r.Stream) {
		return false
	}
	if j.n.o.Suspects.CheckQuarantine(j.print, j.r.ID) != nil {
		return false
	}
	if !j.n.o.Budget.Spend(j.r.Service, j.r.Workspace) {
		j.n.note(j.r.ID, "no retry", "reason", "the retry budget is spent")
		return false
	}
	j.retries++
	return true
}

// ending returns the error that the caller gets. An attempt that may have run
// is not hidden by a later error that says "not run".
func (j *job) ending(e *wigeonladder.Error) error {
	if e == nil {
		return nil
	}
	if j.worst == nil && unplaced(e) {
		return e.WithRetryAfter(againSeconds)
	}
	if j.worst == nil || e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		return e
	}
	return wigeonladder.Errorf(j.worst.Code, j.worst.Place, "%s; then %v", j.worst.Detail, e)
}

// unplaced reports whether a request found no server that takes it, and the
// error does not say yet when to send it again.
func unplaced(e *wigeonladder.Error) bool {
	switch e.Code {
	case wigeonladder.CodeConnect, wigeonladder.CodeContractLate, wigeonladder.CodeRefused, wigeonladder.CodeNoServer:
		return e.RetryAfter == 0
	}
	return false
}

// classify returns the error with a code that promises no more than is known.
// An error without a code says "not run" only if the last check did not pass,
// and no code says so once output came back.
func classify(ctx context.Context, err error, sent, output bool) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		if output && e.Code.Info().Outcome == wigeonladder.NotRun {
			return wigeonladder.Errorf(wigeonladder.CodeBackend, e.Place, "output came before the error: %v", e)
		}
		return e
	}
	code := wigeonladder.CodeBackend
	switch {
	case !sent && !output && ctx.Err() != nil:
		code = wigeonladder.CodeCallerGone
	case !sent && !output:
		code = wigeonladder.CodeConnect
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		code = wigeonladder.CodeTimeout
	case ctx.Err() != nil:
		code = wigeonladder.CodeCallerLost
	}
	return wigeonladder.Errorf(code, "", "%v", err)
}
