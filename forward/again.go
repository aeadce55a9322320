package forward

import (
	"context"
	"errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/place"
)

// failed takes the error of a sending.
func (r *run) failed(ctx context.Context, l *place.Lease, err *wigeonladder.Error) *wigeonladder.Error {
	r.job.ExcludedServers[l.Instance.ID] = true
	if err.Code.Info().Outcome == wigeonladder.NotRun {
		return err
	}
	r.runs++
	if err.Code == wigeonladder.CodeBroken && ctx.Err() == nil && r.f.o.Pool.Allowed(l.Instance) {
		r.blame(l.Instance)
	}
	return err
}

// blame records that a backend server crashed under the call. An answer that
// breaks off may also be lost on its way; only a server that accepts no
// connection either counts as crashed.
func (r *run) blame(i wigeonladder.Instance) {
	if r.f.o.Sender.AcceptsConnections(i) {
		return
	}
	if r.f.o.Suspects.RecordCrash(r.print, i.ID) {
		r.note("suspect", "server", i.ID, "print", r.print)
	}
}

// again reports whether the call may be sent once more after an error, and
// spends the retry budget for it.
func (r *run) again(ctx context.Context, err *wigeonladder.Error) bool {
	if ctx.Err() != nil || r.sends == 0 {
		return false
	}
	switch err.Code {
	case wigeonladder.CodeContractLate, wigeonladder.CodeConnect:
		// Nothing reached a backend server, so that this is no retry for it.
		return r.sends <= r.match.Route.MaxAttempts+extraSends
	case wigeonladder.CodeRefused:
		return r.sends < r.match.Route.MaxAttempts+extraSends && r.f.o.Budget.Spend(r.job.Service)
	case wigeonladder.CodeBroken, wigeonladder.CodeCrossed, wigeonladder.CodeBackend:
		return r.match.Route.Repeatable() && r.runs < r.match.Route.MaxAttempts &&
			r.f.o.Suspects.CheckQuarantine(r.print, r.call.ID) == nil && r.f.o.Budget.Spend(r.job.Service)
	}
	return false
}

// resultOf says what an error tells of the backend server.
func resultOf(ctx context.Context, err *wigeonladder.Error) place.Result {
	switch {
	case err == nil:
		return place.Completed
	case err.Code == wigeonladder.CodeContractLate, err.Code == wigeonladder.CodeSuspect,
		err.Code == wigeonladder.CodeCallerGone, err.Code == wigeonladder.CodeCallerLost:
		return place.CallerGone
	case err.Code == wigeonladder.CodeRefused:
		return place.Declined
	case ctx.Err() != nil:
		return place.CallerGone
	case err.Code == wigeonladder.CodeConnect:
		return place.Unreachable
	}
	return place.Failed
}

// refuse ends a call that has no complete answer.
func (r *run) refuse(ctx context.Context, err *wigeonladder.Error) *wigeonladder.Error {
	if r.begun {
		r.reply.Abort()
		return err
	}
	if r.spare != nil {
		if e := r.reply.SendWhole(r.spare.head, r.spare.body); e != nil {
			return wigeonladder.Errorf(wigeonladder.CodeCallerLost, r.call.ID, "%v", e)
		}
		return err
	}
	told := r.honest(ctx, err)
	r.reply.Refuse(told)
	if gone(err) {
		return err
	}
	return told
}

// gone reports whether an error says that the context of the call ended: the caller
// went, or the daemon stops and cuts it off.
func gone(err *wigeonladder.Error) bool {
	return err.Code == wigeonladder.CodeCallerGone || err.Code == wigeonladder.CodeCallerLost
}

// honest returns the error that the caller is told: it says "not run" only if no
// sending may have run, and tells when to come back.
func (r *run) honest(ctx context.Context, err *wigeonladder.Error) *wigeonladder.Error {
	notRun := err.Code.Info().Outcome == wigeonladder.NotRun
	switch {
	case r.runs > 0 && notRun:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, err.Place, "an earlier sending may have run; then %v", err)
	case !notRun && gone(err):
		return wigeonladder.Errorf(wigeonladder.CodeBroken, err.Place, "%s", err.Detail)
	case !notRun:
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, err.Place, "%s", err.Detail).WithRetryDelay(staleWait)
	case gone(err):
		// Nobody hears this unless it is the daemon that goes.
		return wigeonladder.Errorf(wigeonladder.CodeDraining, err.Place, "%s", err.Detail).WithRetryDelay(staleWait)
	case err.Code.Info().Status >= 500 && err.RetryDelay == 0 && err.RetryAfter == 0:
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, err.Place, "%v", err).WithRetryDelay(staleWait)
	}
	return err
}

// asError returns the *Error that an error is or wraps.
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", "%v", err)
}
