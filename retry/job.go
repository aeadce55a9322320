package retry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder"
)

// stepResult tells how a request continues after a step.
type stepResult int

const (
	// finished means that the request ended; without an error it succeeded.
	finished stepResult = iota
	// contractReturned means that the contract was released unused, so that
	// the request needs another one.
	contractReturned
	// attemptFailed means that an attempt failed; the retry rules decide.
	attemptFailed
)

// job is the run of one request.
type job struct {
	runner      *Runner
	request     wigeonladder.Request
	fingerprint uint64
	sink        *joinedSink
	// failedServers holds the servers on which an attempt failed. The value is
	// true if the attempt may have run; such a server is not used again.
	failedServers map[string]bool
	backoff       *backoff.ExponentialBackOff

	attempts      int
	budgetRetries int
	freeRetries   int
	// unusableSince is when the first contract turned out to be unusable.
	unusableSince     time.Time
	returnedContracts int
	// isolationDeadline ends the search for a server that runs no other
	// suspect; zero until the first such server was found reserved.
	isolationDeadline time.Time
	// crashedServer is true once a server crashed during this run.
	crashedServer bool
	// serverFree is closed when the server reserved by another suspect is
	// free; nil if the last step did not meet a reserved server.
	serverFree <-chan struct{}
	// mayHaveRunErr is the last error of an attempt that may have run; nil if
	// there is none.
	mayHaveRunErr *wigeonladder.Error
	totalUsage    wigeonladder.Usage
}

// run repeats steps until the request succeeds or may not be retried.
func (j *job) run(ctx context.Context) error {
	for {
		result, err := j.step(ctx)
		switch result {
		case finished:
			return j.callerError(err)
		case contractReturned:
			if !j.mayRequestContract() {
				return j.callerError(err)
			}
		case attemptFailed:
			if !j.mayRetry(ctx, err) {
				return j.callerError(err)
			}
			j.runner.note(j.request.ID, "retry", "attempt", j.attempts, "error", err)
		}
		if !j.waitBackoff(ctx) {
			return j.callerError(err)
		}
	}
}

// step gets a contract and sends one attempt. The contract, the reservation of
// the server and the exclusive run of a suspect are released on every path, also
// when a callee panics.
func (j *job) step(ctx context.Context) (stepResult, *wigeonladder.Error) {
	release, isSuspect, err := j.runner.options.Suspects.AcquireRun(ctx, j.fingerprint, j.request.ID)
	if err != nil {
		return finished, classify(ctx, err, false, false)
	}
	defer release()
	c, err := j.runner.options.Placer.Place(ctx, j.request.WithAvoid(slices.Sorted(maps.Keys(j.failedServers))))
	if err != nil {
		return finished, classify(ctx, err, false, false)
	}
	if c.Received.IsZero() {
		c = c.WithReceived(time.Now())
	}
	// The zero usage marks a contract that was not used.
	var used wigeonladder.Usage
	defer func() { j.runner.options.Placer.Release(c, used) }()
	if err := j.checkContract(c, isSuspect); err != nil {
		return contractReturned, err
	}
	if isSuspect {
		releaseServer, serverFree := j.runner.options.Suspects.ReserveServer(c.Server)
		if releaseServer == nil {
			j.serverFree = serverFree
			return contractReturned, wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "another suspect request runs there")
		}
		defer releaseServer()
	}
	return j.attempt(ctx, c, &used)
}

// checkContract returns an error if the contract must be released unused. One
// reason is that the request became suspect while it waited, because then it must
// run in isolation.
func (j *job) checkContract(c wigeonladder.Contract, isSuspect bool) *wigeonladder.Error {
	if j.mustAvoid(c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "an attempt of this request failed there")
	}
	if !isSuspect && j.runner.options.Suspects.IsSuspect(j.fingerprint) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the request became suspect while it waited")
	}
	return nil
}

// attempt sends one attempt under a contract.
func (j *job) attempt(ctx context.Context, c wigeonladder.Contract, used *wigeonladder.Usage) (stepResult, *wigeonladder.Error) {
	server, ok := j.runner.options.LookupServer(c.Server)
	if !ok {
		return attemptFailed, wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the register has no such backend server")
	}
	j.attempts++
	j.sink.beginAttempt(func(tokens int64) { j.runner.options.Placer.Progress(c, tokens) })
	checkCalled, checkPassed := false, false
	a := wigeonladder.Attempt{
		Request:    j.request,
		Number:     j.attempts,
		Server:     server,
		ResumeFrom: j.sink.totalTokens,
		BeforeSend: func() error {
			checkCalled, checkPassed = true, false
			if err := j.checkBeforeSend(ctx, c); err != nil {
				return err
			}
			checkPassed = true
			return nil
		},
	}
	// Until Do returns, the attempt counts as failed, so that a panic does not
	// release the contract as unused.
	*used = wigeonladder.Usage{Failed: true}
	usage, err := j.runner.options.Backend.Do(ctx, a, j.sink)
	*used = usage
	j.addUsage(usage)
	if err == nil {
		return finished, nil
	}
	if checkCalled && !checkPassed {
		*used = wigeonladder.Usage{}
	}
	e := classify(ctx, err, checkPassed, j.sink.attemptOutput)
	if *used != (wigeonladder.Usage{}) {
		*used = used.WithCode(e.Code)
	}
	j.recordCrash(ctx, server.Name, e)
	j.recordFailedServer(server.Name, e)
	return attemptFailed, e
}

// checkBeforeSend is the last check before the first byte is sent. It checks the
// age of the contract again, because the process may have been paused since the
// contract arrived.
func (j *job) checkBeforeSend(ctx context.Context, c wigeonladder.Contract) error {
	if ctx.Err() != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerGone, j.request.ID, "the caller went before the request was sent")
	}
	if err := j.runner.options.Suspects.CheckQuarantine(j.fingerprint, j.request.ID); err != nil {
		return err
	}
	if !j.runner.isLive(c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the backend server is leaving")
	}
	if age := time.Since(c.Received); age > wigeonladder.ContractUseTimeout {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the contract is %v old", age.Round(time.Millisecond))
	}
	return nil
}

// recordCrash records a server that crashed while it ran the request. Only a
// connection that was lost before the answer was complete counts as a crash, and
// only if the caller had not gone and the server was live.
func (j *job) recordCrash(ctx context.Context, server string, e *wigeonladder.Error) {
	if e.Code != wigeonladder.CodeBroken || ctx.Err() != nil || !j.runner.isLive(server) {
		return
	}
	j.crashedServer = true
	if !j.runner.options.Suspects.RecordCrash(j.fingerprint, server) {
		return
	}
	j.runner.note(j.request.ID, "suspect", "server", server, "print", j.fingerprint)
	if j.runner.options.OnNewSuspicion != nil {
		j.runner.options.OnNewSuspicion()
	}
}

// recordFailedServer adds a server on which an attempt failed to failedServers.
// An unusable contract does not count against the server.
func (j *job) recordFailedServer(server string, e *wigeonladder.Error) {
	if e.Code != wigeonladder.CodeContractLate {
		j.failedServers[server] = j.failedServers[server] || e.Code.Info().Outcome == wigeonladder.MayHaveRun
	}
}

// mustAvoid reports whether a contract for the server must be released unused. A
// server that only refused an attempt or could not be reached is used again once
// the request has released maxReturnedNotRun contracts unused. A resumed stream
// may continue on any server.
func (j *job) mustAvoid(server string) bool {
	mayHaveRun, failed := j.failedServers[server]
	if !failed || j.sink.totalTokens > 0 {
		return false
	}
	return mayHaveRun || j.returnedContracts < maxReturnedNotRun
}

// addUsage adds the usage of an attempt to totalUsage.
func (j *job) addUsage(u wigeonladder.Usage) {
	j.totalUsage.Cost += u.Cost
	if j.totalUsage.FirstToken == 0 {
		j.totalUsage.FirstToken = u.FirstToken
	}
	if u.InterToken != 0 {
		j.totalUsage.InterToken = u.InterToken
	}
}

// waitBackoff waits before the next step. The wait ends early when the reserved
// server becomes free. It reports false if the context ended.
func (j *job) waitBackoff(ctx context.Context) bool {
	serverFree := j.serverFree
	j.serverFree = nil
	t := time.NewTimer(j.runner.jitter(j.backoff.NextBackOff()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-serverFree:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
