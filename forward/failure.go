package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/place"
)

// recordFailure records a failed attempt and its server, and returns the error.
func (r *callRun) recordFailure(ctx context.Context, l *place.Lease, err *wigeonladder.Error) *wigeonladder.Error {
	r.job.ExcludedServers[l.Instance.ID] = true
	if err.Code.Info().Outcome == wigeonladder.NotRun {
		return err
	}
	r.mayHaveRunCount++
	if err.Code == wigeonladder.CodeBroken && ctx.Err() == nil && r.forwarder.options.Pool.Allowed(l.Instance) {
		r.recordCrash(l.Instance)
	}
	return err
}

// recordCrash records that a backend server crashed while it ran the call. The
// network may also have cut off the answer, so the server counts as crashed
// only if it accepts no connections either. Once the answer has begun, no part of the
// prompt can be the cause.
func (r *callRun) recordCrash(i wigeonladder.Instance) {
	at := time.Now()
	if r.forwarder.options.Sender.AcceptsConnections(i) {
		return
	}
	r.note("server_crashed", "server", i.ID, "born", i.StartUnixMs, "began", r.began, "parts", r.call.Prompt.SharedIDs())
	suspects, server := r.forwarder.options.Suspects, fmt.Sprintf("%s/%d", i.ID, i.StartUnixMs)
	isNew := false
	if r.began {
		isNew = suspects.RecordCrash(r.keys.Request, server)
	} else {
		isNew = suspects.RecordCallCrash(r.keys, server, at, r.sentAt)
	}
	if isNew {
		r.note("suspect", "server", i.ID, "print", r.keys.Request)
	}
}

// mayRetry reports whether the call may be sent again after an error, and
// spends the retry budget for it.
func (r *callRun) mayRetry(ctx context.Context, err *wigeonladder.Error) bool {
	if ctx.Err() != nil || r.sends == 0 || r.headSent && !r.resumable() {
		return false
	}
	switch err.Code {
	case wigeonladder.CodeContractLate, wigeonladder.CodeConnect:
		// Nothing reached a backend server, so the retry adds no load and
		// spends no budget.
		return r.sends < r.match.Route.MaxAttempts+extraSends
	case wigeonladder.CodeRefused:
		return r.sends < r.match.Route.MaxAttempts+extraSends && r.forwarder.options.Budget.Spend(r.job.Service)
	case wigeonladder.CodeBroken, wigeonladder.CodeBackend:
		return r.mayRepeat()
	case wigeonladder.CodeCrossed:
		// The server may go on with the call, also after its connection is closed. A
		// resumable stream must not run on two servers at once.
		return !r.match.Route.Resumable && r.attemptsLeft() && backend.AwaitDrop(ctx) && r.mayRepeat()
	}
	return false
}

// mayRepeat reports whether a call that may have run may run once more, and spends
// the retry budget for it.
func (r *callRun) mayRepeat() bool {
	return r.attemptsLeft() && r.forwarder.options.Suspects.CheckCall(r.keys, r.call.ID) == nil && r.forwarder.options.Budget.Spend(r.job.Service)
}

// attemptsLeft reports whether the route allows the call to run on another server.
func (r *callRun) attemptsLeft() bool {
	return r.match.Route.Repeatable() && r.mayHaveRunCount < r.match.Route.MaxAttempts
}

// resumable reports whether a stream of which the caller has a part can go on at
// another backend server.
func (r *callRun) resumable() bool {
	return r.match.Route.Resumable && r.lastEventID != "" && !r.positionLost
}

// resultOf returns what an error means for the backend server.
func resultOf(ctx context.Context, err *wigeonladder.Error) place.Result {
	switch {
	case err == nil:
		return place.Completed
	case err.Code == wigeonladder.CodeContractLate, err.Code == wigeonladder.CodeSuspect, err.Code == wigeonladder.CodeWaitTooLong,
		err.Code == wigeonladder.CodeCallerGone, err.Code == wigeonladder.CodeCallerLost, err.Code == wigeonladder.CodeStale:
		return place.Inconclusive
	case err.Code == wigeonladder.CodeRefused:
		return place.Declined
	case ctx.Err() != nil:
		return place.Inconclusive
	case err.Code == wigeonladder.CodeConnect:
		return place.Unreachable
	}
	return place.Failed
}

// refuse ends a call without a successful answer. It aborts an answer that has
// begun, sends the fallback if there is one, and otherwise refuses the call. It
// returns the error to record.
func (r *callRun) refuse(ctx context.Context, err *wigeonladder.Error) *wigeonladder.Error {
	if r.headSent {
		r.reply.Abort()
		return err
	}
	if r.fallback != nil {
		if e := r.reply.SendWhole(r.fallback.head, r.fallback.body); e != nil {
			return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", e)
		}
		return err
	}
	reported := r.reportedError(ctx, err)
	r.reply.Refuse(reported)
	if contextEnded(err) {
		return err
	}
	return reported
}

// contextEnded reports whether an error means that the context of the call
// ended, because the caller disconnected or the daemon is stopping.
func contextEnded(err *wigeonladder.Error) bool {
	return err.Code == wigeonladder.CodeCallerGone || err.Code == wigeonladder.CodeCallerLost
}

// reportedError returns the error that the caller gets. It says "not run" only
// if no attempt may have run, and then tells when to retry.
func (r *callRun) reportedError(ctx context.Context, err *wigeonladder.Error) *wigeonladder.Error {
	notRun := err.Code.Info().Outcome == wigeonladder.NotRun
	switch {
	case r.mayHaveRunCount > 0 && notRun:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, err.Place, "an earlier sending may have run; then %v", err)
	case !notRun && contextEnded(err):
		return wigeonladder.Errorf(wigeonladder.CodeBroken, err.Place, "%s", err.Detail)
	case !notRun:
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, err.Place, "%s", err.Detail).WithRetryDelay(unavailableRetryDelay)
	case contextEnded(err):
		// The caller gets this only if the daemon is stopping; otherwise it has
		// disconnected.
		return wigeonladder.Errorf(wigeonladder.CodeDraining, err.Place, "%s", err.Detail).WithRetryDelay(unavailableRetryDelay)
	case err.Code == wigeonladder.CodeStreamLost:
		return err.WithRetryDelay(streamLostRetryDelay)
	case err.Code.Info().Status >= 500 && err.RetryDelay == 0 && err.RetryAfter == 0:
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, err.Place, "%v", err).WithRetryDelay(unavailableRetryDelay)
	}
	return err
}

// asError returns the *Error that err is or wraps, or a new one with
// CodeBackend.
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", "%v", err)
}
