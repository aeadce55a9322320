package ticket

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

// plan is the sequence of events of one fleet run. It is drawn before the run,
// so that rapid can shrink it and print its seed.
type plan struct {
	Steps   []step
	Results []result
	// Lost tells for each forwarded answer in turn whether it is lost.
	Lost []bool
}

// step is one event of a plan.
type step struct {
	// After is the delay after the step before.
	After  time.Duration
	Kind   string
	Daemon int
	Ticket int
	// For is the length of a pause or partition, or the caller's timeout.
	For time.Duration
}

// result is the result of one attempt. The attempts use the results in turn.
type result struct {
	Takes time.Duration
	Ends  string
}

const (
	planDaemons = 3
	planTickets = 5
)

// millis draws a duration.
func millis(from, to int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(from, to), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
}

// plans returns a generator of plans. Requests are more frequent than faults.
func plans() *rapid.Generator[plan] {
	kinds := []string{"issue", "restart", "pause", "cut", "seal"}
	for range 20 {
		kinds = append(kinds, "send")
	}
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			After:  millis(0, 30).Draw(t, "after"),
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Daemon: rapid.IntRange(0, planDaemons-1).Draw(t, "daemon"),
			Ticket: rapid.IntRange(0, planTickets-1).Draw(t, "ticket"),
			For:    millis(1, 100).Draw(t, "for"),
		}
	})
	results := rapid.Custom(func(t *rapid.T) result {
		return result{
			Takes: millis(1, 40).Draw(t, "takes"),
			Ends:  rapid.SampledFrom([]string{"ok", "ok", "refused", "broken"}).Draw(t, "ends"),
		}
	})
	return rapid.Custom(func(t *rapid.T) plan {
		return plan{
			Steps:   rapid.SliceOfN(steps, 20, 200).Draw(t, "steps"),
			Results: rapid.SliceOfN(results, 1, 8).Draw(t, "results"),
			Lost:    rapid.SliceOfN(rapid.Bool(), 8, 16).Draw(t, "lost"),
		}
	})
}

// fleet is a set of issuers on virtual time.
type fleet struct {
	plan plan

	mu          sync.Mutex
	issuers     [planDaemons]*Issuer
	starts      int
	pausedUntil [planDaemons]time.Time
	cutOffUntil [planDaemons]time.Time
	attempts    int
	forwards    int
	// tickets holds the issued tickets by their number in the plan, runStarts
	// the times at which the runs of each ticket started.
	tickets    [planTickets]string
	runStarts  map[string][]time.Time
	violations []string
	codes      map[wigeonladder.Code]int
}

// recordViolation records a violation of a guarantee.
func (w *fleet) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// waitWhilePaused waits while a daemon is paused.
func (w *fleet) waitWhilePaused(d int) {
	for {
		w.mu.Lock()
		left := time.Until(w.pausedUntil[d])
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// ranBefore reports whether a run of a ticket started before a time.
func (w *fleet) ranBefore(ticket string, t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, start := range w.runStarts[ticket] {
		if start.Before(t) {
			return true
		}
	}
	return false
}

// start replaces a daemon by a new incarnation, which has no outcomes.
func (w *fleet) start(d int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.issuers[d] = NewIssuer(Options{
		Self: fmt.Sprint(d), Incarnation: fmt.Sprint("i", w.starts), Capacity: 1,
		Runner: runnerFunc(func(_ context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			return wigeonladder.Usage{}, w.run(d, r, s)
		}),
		Forward:           w.forward,
		LookupIncarnation: w.lookupIncarnation,
	})
}

// lookupIncarnation returns the current incarnation of a daemon. The result is
// true, which means that the incarnation is certain, only for every second daemon.
func (w *fleet) lookupIncarnation(vm string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := int(vm[0] - '0')
	return w.issuers[d].options.Incarnation, d%2 == 0
}

// run is one attempt at a backend server.
func (w *fleet) run(d int, r wigeonladder.Request, s wigeonladder.Sink) error {
	w.waitWhilePaused(d)
	w.mu.Lock()
	res := w.plan.Results[w.attempts%len(w.plan.Results)]
	w.attempts++
	if res.Ends != "refused" {
		w.runStarts[r.Ticket] = append(w.runStarts[r.Ticket], time.Now())
		if len(w.runStarts[r.Ticket]) > 1 {
			w.violations = append(w.violations, "ticket "+r.Ticket+" ran twice")
		}
	}
	w.mu.Unlock()
	time.Sleep(res.Takes)
	switch res.Ends {
	case "refused":
		return wigeonladder.Errorf(wigeonladder.CodeRefused, "", "refused")
	case "broken":
		return wigeonladder.Errorf(wigeonladder.CodeBroken, "", "broken")
	}
	return s.Write([]byte(r.Ticket), 1)
}

// forward sends a request to its issuer and returns the outcome.
func (w *fleet) forward(ctx context.Context, vm, incarnation string, r wigeonladder.Request) (Outcome, error) {
	d := int(vm[0] - '0')
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
	lost := w.plan.Lost[w.forwards%len(w.plan.Lost)]
	w.forwards++
	cut := time.Now().Before(w.cutOffUntil[d])
	w.mu.Unlock()
	if cut {
		return Outcome{}, errors.New("unreachable")
	}
	w.waitWhilePaused(d)
	w.mu.Lock()
	b := w.issuers[d]
	w.mu.Unlock()
	out := b.RunForwarded(ctx, incarnation, r)
	w.checkNotRun(r.Ticket, out.Code, time.Now(), "the issuer")
	time.Sleep(2 * time.Millisecond)
	if lost || ctx.Err() != nil {
		return Outcome{}, errors.New("the answer was lost")
	}
	return out, nil
}

// checkNotRun records a violation if the code is "not run" although a run of
// the ticket had started before the given time. CodeBadTicket refers to another
// request and does not occur here.
func (w *fleet) checkNotRun(ticket string, c wigeonladder.Code, t time.Time, who string) {
	if c.Info().Outcome == wigeonladder.NotRun && w.ranBefore(ticket, t) {
		w.recordViolation("%s said %v of ticket %s, which had run", who, c, ticket)
	}
}

// send sends one request with a timeout.
func (w *fleet) send(s step) {
	w.mu.Lock()
	b, ticket := w.issuers[s.Daemon], w.tickets[s.Ticket]
	w.mu.Unlock()
	if ticket == "" {
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.For)
	defer cancel()
	var rec recordingSink
	r := wigeonladder.Request{Workspace: "w", Service: "s", Method: "POST", Path: "/p", Body: []byte("b")}
	err := b.Run(ctx, r.WithTicket(ticket), &rec)
	c := wigeonladder.CodeOK
	if err != nil {
		c = ErrorOutcome(err).Code
	} else if string(rec.out.Body) != ticket {
		w.recordViolation("ticket %s got the answer %q", ticket, rec.out.Body)
	}
	w.checkNotRun(ticket, c, start, "a daemon")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.codes[c]++
}

// step performs one step of the plan.
func (w *fleet) step(s step) {
	time.Sleep(s.After)
	until := time.Now().Add(s.For)
	switch s.Kind {
	case "send":
		go w.send(s)
	case "restart":
		w.start(s.Daemon)
	case "issue":
		w.mu.Lock()
		defer w.mu.Unlock()
		if ticket, err := w.issuers[s.Daemon].Issue("w", "s", "POST", "/p"); err == nil {
			w.tickets[s.Ticket] = ticket
		}
	case "pause":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pausedUntil[s.Daemon] = until
	case "cut":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cutOffUntil[s.Daemon] = until
	case "seal":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.issuers[s.Daemon].StartDraining()
	}
}

// runPlan runs a plan to its end.
func runPlan(t *testing.T, p plan) *fleet {
	w := &fleet{plan: p, runStarts: map[string][]time.Time{}, codes: map[wigeonladder.Code]int{}}
	synctest.Test(t, func(*testing.T) {
		for d := range planDaemons {
			w.start(d)
		}
		for i := range planTickets {
			w.step(step{Kind: "issue", Daemon: i % planDaemons, Ticket: i})
		}
		for _, s := range p.Steps {
			w.step(s)
		}
		time.Sleep(time.Minute)
	})
	return w
}

// Guards against a second run of a ticket, and against "not run" for a ticket
// that ran, under resent requests, lost answers, partitions, restarts, pauses,
// draining and evicted outcomes. rapid prints the seed of a failure.
func TestAtMostOnce(t *testing.T) {
	codes := map[wigeonladder.Code]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := runPlan(t, plans().Draw(rt, "plan"))
		for c, n := range w.codes {
			codes[c] += n
		}
		if len(w.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(w.violations), w.violations[0])
		}
	})
	t.Log("answers by code:", codes)
	for _, c := range []wigeonladder.Code{
		wigeonladder.CodeOK, wigeonladder.CodeRefused, wigeonladder.CodeDraining, wigeonladder.CodeCallerLost,
		wigeonladder.CodeTicketGone, wigeonladder.CodeTicketAway, wigeonladder.CodeTicketForgotten, wigeonladder.CodeTicketUnknown,
	} {
		if codes[c] == 0 {
			t.Errorf("the plans never led to %v, so the check is weak", c)
		}
	}
}
