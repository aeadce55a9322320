package retry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder"
)

// next says how a request goes on after a step.
type next int

const (
	// finish ends the request; without an error it succeeded.
	finish next = iota
	// move asks for another contract; the last was given back unused.
	move
	// judge asks the retry rules, because an attempt failed.
	judge
)

// job is the run of one request.
type job struct {
	n     *Runner
	r     wigeonladder.Request
	print uint64
	out   *relay
	// avoid holds the servers on which an attempt failed. The value is true if
	// the attempt may have run; such a server is not used again.
	avoid  map[string]bool
	delays *backoff.ExponentialBackOff

	attempts int
	retries  int
	free     int
	// unsent is when the first contract could not be used.
	unsent time.Time
	moves  int
	// apart is when the search for a server without other suspects ends.
	apart time.Time
	// broke is true once a server broke under this run.
	broke bool
	// busy is closed when a server that was in use by a suspect is free.
	busy <-chan struct{}
	// worst is the last error of an attempt that may have run.
	worst *wigeonladder.Error
	total wigeonladder.Usage
}

// run takes steps until the request ends.
func (j *job) run(ctx context.Context) error {
	for {
		then, err := j.step(ctx)
		switch then {
		case finish:
			return j.ending(err)
		case move:
			if !j.mayMove() {
				return j.ending(err)
			}
		case judge:
			if !j.mayRetry(ctx, err) {
				return j.ending(err)
			}
			j.n.note(j.r.ID, "retry", "attempt", j.attempts, "error", err)
		}
		if !j.pause(ctx) {
			return j.ending(err)
		}
	}
}

// step gets a contract and sends one attempt. Contract, server reservation and
// turn are given back on every path, also when a callee panics.
func (j *job) step(ctx context.Context) (next, *wigeonladder.Error) {
	leave, alone, err := j.n.o.Suspects.AcquireRun(ctx, j.print, j.r.ID)
	if err != nil {
		return finish, classify(ctx, err, false, false)
	}
	defer leave()
	c, err := j.n.o.Placer.Place(ctx, j.r.WithAvoid(slices.Sorted(maps.Keys(j.avoid))))
	if err != nil {
		return finish, classify(ctx, err, false, false)
	}
	if c.Received.IsZero() {
		c = c.WithReceived(time.Now())
	}
	// The zero usage marks a contract that was not used.
	var used wigeonladder.Usage
	defer func() { j.n.o.Placer.Release(c, used) }()
	if err := j.unfit(c, alone); err != nil {
		return move, err
	}
	if alone {
		free, busy := j.n.o.Suspects.ReserveServer(c.Server)
		if free == nil {
			j.busy = busy
			return move, wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "another suspect request runs there")
		}
		defer free()
	}
	return j.attempt(ctx, c, &used)
}

// unfit returns an error if the contract must be given back for another.
func (j *job) unfit(c wigeonladder.Contract, alone bool) *wigeonladder.Error {
	if j.shunned(c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "an attempt of this request failed there")
	}
	if !alone && j.n.o.Suspects.IsSuspect(j.print) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the request became suspect while it waited")
	}
	return nil
}

// attempt sends one attempt under a contract.
func (j *job) attempt(ctx context.Context, c wigeonladder.Contract, used *wigeonladder.Usage) (next, *wigeonladder.Error) {
	server, ok := j.n.o.LookupServer(c.Server)
	if !ok {
		return judge, wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the register has no such backend server")
	}
	j.attempts++
	j.out.begin(func(tokens int64) { j.n.o.Placer.Progress(c, tokens) })
	checked, passed := false, false
	a := wigeonladder.Attempt{
		Request:    j.r,
		Number:     j.attempts,
		Server:     server,
		ResumeFrom: j.out.tokens,
		BeforeSend: func() error {
			checked, passed = true, false
			if err := j.check(ctx, c); err != nil {
				return err
			}
			passed = true
			return nil
		},
	}
	// Until Do returns, the attempt counts as failed, so that a panic does not
	// give the contract back as unused.
	*used = wigeonladder.Usage{Failed: true}
	usage, err := j.n.o.Backend.Do(ctx, a, j.out)
	*used = usage
	j.add(usage)
	if err == nil {
		return finish, nil
	}
	if checked && !passed {
		*used = wigeonladder.Usage{}
	}
	e := classify(ctx, err, passed, j.out.touched)
	if *used != (wigeonladder.Usage{}) {
		*used = used.WithCode(e.Code)
	}
	j.blame(ctx, server.Name, e)
	j.shun(server.Name, e)
	return judge, e
}

// check is the last step before the first byte is sent. It looks at the clock
// again, because the process may have been paused since the contract came.
func (j *job) check(ctx context.Context, c wigeonladder.Contract) error {
	if ctx.Err() != nil {
		return wigeonladder.Errorf(wigeonladder.CodeCallerGone, j.r.ID, "the caller went before the request was sent")
	}
	if err := j.n.o.Suspects.CheckQuarantine(j.print, j.r.ID); err != nil {
		return err
	}
	if !j.n.live(c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the backend server is leaving")
	}
	if age := time.Since(c.Received); age > wigeonladder.ContractUseTimeout {
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the contract is %v old", age.Round(time.Millisecond))
	}
	return nil
}

// blame records a server that broke while it ran the request. Only a connection
// that was lost before the answer was complete looks like a crash, and only if
// this side did not end it and the server was not stopping.
func (j *job) blame(ctx context.Context, server string, e *wigeonladder.Error) {
	if e.Code != wigeonladder.CodeBroken || ctx.Err() != nil || !j.n.live(server) {
		return
	}
	j.broke = true
	if !j.n.o.Suspects.RecordCrash(j.print, server) {
		return
	}
	j.n.note(j.r.ID, "suspect", "server", server, "print", j.print)
	if j.n.o.OnNewSuspicion != nil {
		j.n.o.OnNewSuspicion()
	}
}

// shun remembers a server on which an attempt failed.
func (j *job) shun(server string, e *wigeonladder.Error) {
	if e.Code != wigeonladder.CodeContractLate {
		j.avoid[server] = j.avoid[server] || e.Code.Info().Outcome == wigeonladder.MayHaveRun
	}
}

// shunned reports whether a contract for the server must be given back. A
// server that only refused or could not be reached is used again if no other
// is offered. A resumed stream may continue anywhere.
func (j *job) shunned(server string) bool {
	strict, failed := j.avoid[server]
	if !failed || j.out.tokens > 0 {
		return false
	}
	return strict || j.moves < softMoves
}

// add sums the usage of all attempts.
func (j *job) add(u wigeonladder.Usage) {
	j.total.Cost += u.Cost
	if j.total.FirstToken == 0 {
		j.total.FirstToken = u.FirstToken
	}
	if u.InterToken != 0 {
		j.total.InterToken = u.InterToken
	}
}

// pause waits before the next step, less long if a server becomes free. It
// reports false if the context ended.
func (j *job) pause(ctx context.Context) bool {
	busy := j.busy
	j.busy = nil
	t := time.NewTimer(j.n.jitter(j.delays.NextBackOff()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-busy:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
