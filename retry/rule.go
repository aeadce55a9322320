package retry

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// mayRequestContract reports whether the request may ask for another contract
// after it released one unused. If the server was reserved by another suspect,
// isolationTimeout bounds how long it may ask. Otherwise maxReturnedContracts
// bounds how often it may ask.
func (j *job) mayRequestContract() bool {
	if j.serverFree == nil {
		j.returnedContracts++
		return j.returnedContracts <= maxReturnedContracts
	}
	if j.isolationDeadline.IsZero() {
		j.isolationDeadline = time.Now().Add(isolationTimeout)
	}
	return time.Now().Before(j.isolationDeadline)
}

// mayRetry applies the retry rules to the error of an attempt.
func (j *job) mayRetry(ctx context.Context, e *wigeonladder.Error) bool {
	if e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		j.mayHaveRunErr = e
	}
	if ctx.Err() != nil {
		return false
	}
	switch e.Code {
	case wigeonladder.CodeContractLate:
		// Nothing was sent, so even a request that may not be repeated is
		// retried.
		return j.mayRetryContract()
	case wigeonladder.CodeConnect:
		// Nothing was sent, but a connection attempt over a failed link may
		// take seconds, so the number of retries is bounded.
		return j.mayRetryNotRun()
	case wigeonladder.CodeRefused:
		// Bytes reached the server, although it reports that nothing ran.
		return !j.request.AtMostOnce && j.mayRetryNotRun()
	case wigeonladder.CodeBroken, wigeonladder.CodeTimeout, wigeonladder.CodeCrossed:
		return !j.request.AtMostOnce && j.mayRepeat()
	default:
		return false
	}
}

// mayRetryContract allows retries for MaxContractRetryTime after the first
// unusable contract. The backoff between them grows to maxBackoff.
func (j *job) mayRetryContract() bool {
	if j.unusableSince.IsZero() {
		j.unusableSince = time.Now()
	}
	return time.Since(j.unusableSince) < j.runner.options.MaxContractRetryTime
}

// mayRetryNotRun counts a retry after an attempt that did not run, and reports
// whether it is within maxFreeRetries.
func (j *job) mayRetryNotRun() bool {
	j.freeRetries++
	return j.freeRetries <= maxFreeRetries
}

// mayRepeat reports whether a request that may have run may run again, and spends
// the retry budget.
func (j *job) mayRepeat() bool {
	if j.budgetRetries >= maxBudgetRetries || !j.sink.resumable(j.request.Stream) {
		return false
	}
	if j.runner.options.Suspects.CheckQuarantine(j.fingerprint, j.request.ID) != nil {
		return false
	}
	if !j.runner.options.Budget.Spend(j.request.Service, j.request.Workspace) {
		j.runner.note(j.request.ID, "no retry", "reason", "the retry budget is spent")
		return false
	}
	j.budgetRetries++
	return true
}

// callerError returns the error that the caller gets. If an attempt may have run,
// the error keeps that outcome even if the last error says "not run".
func (j *job) callerError(e *wigeonladder.Error) error {
	if e == nil {
		return nil
	}
	if j.mayHaveRunErr == nil && foundNoServer(e) {
		return e.WithRetryAfter(noServerRetryAfterSeconds)
	}
	if j.mayHaveRunErr == nil || e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		return e
	}
	return wigeonladder.Errorf(j.mayHaveRunErr.Code, j.mayHaveRunErr.Place, "%s; then %v", j.mayHaveRunErr.Detail, e)
}

// foundNoServer reports whether no server accepted the request and the error does
// not say when to retry.
func foundNoServer(e *wigeonladder.Error) bool {
	switch e.Code {
	case wigeonladder.CodeConnect, wigeonladder.CodeContractLate, wigeonladder.CodeRefused, wigeonladder.CodeNoServer:
		return e.RetryAfter == 0
	}
	return false
}

// classify returns the error with a code that claims no more than is known. An
// error without a code becomes "not run" only if the check before sending did not
// pass, and no error is "not run" once output came back.
func classify(ctx context.Context, err error, checkPassed, output bool) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		if output && e.Code.Info().Outcome == wigeonladder.NotRun {
			return wigeonladder.Errorf(wigeonladder.CodeBackend, e.Place, "output came before the error: %v", e)
		}
		return e
	}
	code := wigeonladder.CodeBackend
	switch {
	case !checkPassed && !output && ctx.Err() != nil:
		code = wigeonladder.CodeCallerGone
	case !checkPassed && !output:
		code = wigeonladder.CodeConnect
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		code = wigeonladder.CodeTimeout
	case ctx.Err() != nil:
		code = wigeonladder.CodeCallerLost
	}
	return wigeonladder.Errorf(code, "", "%v", err)
}
