package retry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// failing returns a function that fails the first attempts with the codes in
// turn. Later attempts run.
func failing(codes ...wigeonladder.Code) func(wigeonladder.Attempt, wigeonladder.Sink) error {
	return func(a wigeonladder.Attempt, _ wigeonladder.Sink) error {
		if a.Number <= len(codes) && codes[a.Number-1] != wigeonladder.CodeOK {
			return wigeonladder.Errorf(codes[a.Number-1], a.Server.Name, "injected")
		}
		return nil
	}
}

// Guards against an error that hides an attempt which may have run, against a
// retry of a request that may not be repeated, and against too few or too many
// attempts.
func TestRetryRules(t *testing.T) {
	const (
		ok       = wigeonladder.CodeOK
		connect  = wigeonladder.CodeConnect
		refused  = wigeonladder.CodeRefused
		late     = wigeonladder.CodeContractLate
		broken   = wigeonladder.CodeBroken
		timeout  = wigeonladder.CodeTimeout
		crossed  = wigeonladder.CodeCrossed
		internal = wigeonladder.CodeBackend
	)
	for name, c := range map[string]struct {
		fails    []wigeonladder.Code
		once     bool
		want     wigeonladder.Code
		attempts int
	}{
		"no failure":                       {nil, false, ok, 1},
		"connect, then ok":                 {[]wigeonladder.Code{connect}, false, ok, 2},
		"refused, then ok":                 {[]wigeonladder.Code{refused, refused, refused}, false, ok, 4},
		"refused for good":                 {[]wigeonladder.Code{refused, refused, refused, refused}, false, refused, 4},
		"late contract, then ok":           {[]wigeonladder.Code{late}, false, ok, 2},
		"timeout, then ok":                 {[]wigeonladder.Code{timeout}, false, ok, 2},
		"crossed, then ok":                 {[]wigeonladder.Code{crossed}, false, ok, 2},
		"two retries at most":              {[]wigeonladder.Code{timeout, timeout, timeout}, false, timeout, 3},
		"backend error":                    {[]wigeonladder.Code{internal}, false, internal, 1},
		"may have run, then not run":       {[]wigeonladder.Code{timeout, connect, connect, connect, connect}, false, timeout, 5},
		"many late contracts, then ok":     {[]wigeonladder.Code{late, late, late, late, late, late}, false, ok, 7},
		"may have run, then refused":       {[]wigeonladder.Code{crossed, refused, timeout, timeout}, false, timeout, 4},
		"once: connect, then ok":           {[]wigeonladder.Code{connect, late}, true, ok, 3},
		"once: refused after bytes":        {[]wigeonladder.Code{refused}, true, refused, 1},
		"once: broken":                     {[]wigeonladder.Code{broken}, true, broken, 1},
		"once: timeout":                    {[]wigeonladder.Code{timeout}, true, timeout, 1},
		"once: connect, then may have run": {[]wigeonladder.Code{connect, crossed}, true, crossed, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 8, 1, func(ctx context.Context, is *is.I, g *rig) {
				g.fail = failing(c.fails...)
				r := request("x")
				r.AtMostOnce = c.once
				a := &answer{}
				_, err := g.runner(nil).Run(ctx, r, a)
				is.Equal(len(g.sent), c.attempts)
				if c.want == ok {
					is.NoErr(err)
					is.Equal(a.parts, []string{"done"})
					return
				}
				expectCode(is, err, c.want)
			})
		})
	}
}

// Guards against a request that fails within milliseconds while daemons learn
// at different times that a server is leaving, against one that is retried
// forever or without backoff, and against a refusal without a Retry-After.
func TestUnsentRequestIsRetriedForLimitedTime(t *testing.T) {
	for _, code := range []wigeonladder.Code{wigeonladder.CodeContractLate} {
		for name, first := range map[string]wigeonladder.Code{
			"not run": wigeonladder.CodeOK, "may have run": wigeonladder.CodeTimeout,
		} {
			t.Run(fmt.Sprint(code, " ", name), func(t *testing.T) {
				bubble(t, 8, 1, func(ctx context.Context, is *is.I, g *rig) {
					g.fail = func(a wigeonladder.Attempt, _ wigeonladder.Sink) error {
						if a.Number == 1 && first != wigeonladder.CodeOK {
							return wigeonladder.Errorf(first, a.Server.Name, "injected")
						}
						return wigeonladder.Errorf(code, a.Server.Name, "injected")
					}
					began := time.Now()
					n := g.runner(nil)
					n.options.MaxContractRetryTime = 10 * time.Second
					_, err := n.Run(ctx, request("x"), &answer{})
					took := time.Since(began)
					t.Logf("%d attempts in %v", len(g.sent), took)
					is.True(took >= 10*time.Second && took < 12*time.Second)
					is.True(len(g.sent) < 60)
					if first != wigeonladder.CodeOK {
						expectCode(is, err, first) // not hidden by the later "not run"
						return
					}
					expectCode(is, err, code)
					var e *wigeonladder.Error
					is.True(errors.As(err, &e) && e.RetryAfter > 0)
				})
			})
		}
	}
}

// Guards against a retry that does not tell the placer which servers failed.
func TestRetryNamesFailedServers(t *testing.T) {
	bubble(t, 2, 1, func(ctx context.Context, is *is.I, g *rig) {
		g.fail = failing(wigeonladder.CodeConnect)
		_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
		is.NoErr(err)
		is.Equal(g.avoided, []string{g.placed()[0]})
	})
}

// Guards against a retry on the server that just failed.
func TestRetryElsewhere(t *testing.T) {
	for range 20 {
		// With 6 servers, a random placer offers only servers to avoid in 11
		// placements in a row with a chance of 1 in 177,000.
		bubble(t, 6, 4, func(ctx context.Context, is *is.I, g *rig) {
			g.fail = failing(wigeonladder.CodeTimeout, wigeonladder.CodeTimeout)
			_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
			is.NoErr(err)
			l := g.placed()
			is.True(l[0] != l[1] && l[1] != l[2] && l[0] != l[2])
		})
	}
	bubble(t, 1, 4, func(ctx context.Context, is *is.I, g *rig) {
		g.fail = failing(wigeonladder.CodeTimeout)
		_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
		expectCode(is, err, wigeonladder.CodeTimeout) // there is no other server
		is.Equal(len(g.sent), 1)
	})
}

// Guards against a request that is sent on an expired contract, or to a server
// that is leaving, because the process was paused between the decision to send
// and the sending.
func TestPausedBeforeSending(t *testing.T) {
	for name, pause := range map[string]func(*rig, string){
		"late":    func(*rig, string) { time.Sleep(wigeonladder.ContractUseTimeout + time.Millisecond) },
		"leaving": func(g *rig, s string) { g.setState(s, wigeonladder.StateLeaving) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 8, 1, func(ctx context.Context, is *is.I, g *rig) {
				g.before = func(a wigeonladder.Attempt) { pause(g, a.Server.Name) }
				r := request("x")
				r.AtMostOnce = true
				_, err := g.runner(nil).Run(ctx, r, &answer{})
				expectCode(is, err, wigeonladder.CodeContractLate)
				is.Equal(len(g.sent), 0) // so that "not run" is true
			})
		})
	}
	t.Run("caller gone", func(t *testing.T) {
		bubble(t, 2, 1, func(ctx context.Context, is *is.I, g *rig) {
			ctx, cancel := context.WithCancel(ctx)
			g.before = func(wigeonladder.Attempt) { cancel() }
			_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
			expectCode(is, err, wigeonladder.CodeCallerGone)
			is.Equal(len(g.sent), 0)
		})
	})
	t.Run("paused after a run", func(t *testing.T) {
		bubble(t, 8, 1, func(ctx context.Context, is *is.I, g *rig) {
			g.fail = failing(wigeonladder.CodeTimeout)
			g.before = func(a wigeonladder.Attempt) {
				if a.Number > 1 {
					time.Sleep(time.Second)
				}
			}
			_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
			expectCode(is, err, wigeonladder.CodeTimeout) // the first attempt may have run
			is.Equal(len(g.sent), 1)
		})
	})
}

// Guards against errors that claim too much: a backend error without a code,
// and "not run" after output.
func TestErrorsClaimNoMoreThanKnown(t *testing.T) {
	for name, c := range map[string]struct {
		fail func(wigeonladder.Attempt, wigeonladder.Sink) error
		want wigeonladder.Code
	}{
		"no code": {func(wigeonladder.Attempt, wigeonladder.Sink) error { return errors.New("odd") }, wigeonladder.CodeBackend},
		"output first": {func(_ wigeonladder.Attempt, s wigeonladder.Sink) error {
			_ = s.Start(200, "")
			return wigeonladder.Errorf(wigeonladder.CodeConnect, "s", "odd")
		}, wigeonladder.CodeBackend},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, 1, func(ctx context.Context, is *is.I, g *rig) {
				g.fail = c.fail
				_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
				expectCode(is, err, c.want)
				is.Equal(len(g.sent), 1)
			})
		})
	}
}

// Guards against retries that multiply the load when everything fails.
func TestTotalFailure(t *testing.T) {
	bubble(t, 8, 50, func(ctx context.Context, is *is.I, g *rig) {
		n := g.runner(nil)
		run := func(from, to int) {
			var all sync.WaitGroup
			for i := from; i < to; i++ {
				all.Go(func() { _, _ = n.Run(ctx, request(fmt.Sprint("x", i)), &answer{}) })
			}
			all.Wait()
		}
		run(0, 200)
		is.Equal(len(g.sent), 200)
		g.fail = func(a wigeonladder.Attempt, _ wigeonladder.Sink) error {
			return wigeonladder.Errorf(wigeonladder.CodeTimeout, a.Server.Name, "injected")
		}
		run(200, 1200)
		is.Equal(len(g.sent), 200+1000+initialRetries+200*earnPercent/100) // every retry was earned
	})
}

// Guards against a stream that is cut off or repeats output when an attempt
// fails after output.
func TestStreamResumes(t *testing.T) {
	bubble(t, 3, 1, func(ctx context.Context, is *is.I, g *rig) {
		g.fail = func(a wigeonladder.Attempt, s wigeonladder.Sink) error {
			is.NoErr(s.Start(200, "text/event-stream"))
			is.NoErr(s.Write([]byte("role"), 0))
			for i := a.ResumeFrom; i < a.ResumeFrom+2; i++ {
				is.NoErr(s.Write(fmt.Append(nil, i), 1))
			}
			if a.Number < 3 {
				// Not CodeBroken: that makes the request suspect, and whether two
				// servers crashed depends on the random placement.
				return wigeonladder.Errorf(wigeonladder.CodeTimeout, a.Server.Name, "broke off")
			}
			return nil
		}
		r := request("x")
		r.Stream = true
		a := &answer{}
		_, err := g.runner(nil).Run(ctx, r, a)
		is.NoErr(err)
		is.Equal(a.starts, 1)
		is.Equal(a.parts, []string{"role", "0", "1", "2", "3", "4", "5", "done"})
		is.Equal(g.sent[1].ResumeFrom, int64(2))
		is.Equal(g.sent[2].ResumeFrom, int64(4))
	})
	bubble(t, 3, 1, func(ctx context.Context, is *is.I, g *rig) {
		g.fail = func(a wigeonladder.Attempt, s wigeonladder.Sink) error {
			is.NoErr(s.Start(200, "text/plain"))
			is.NoErr(s.Write([]byte("part"), 0))
			return wigeonladder.Errorf(wigeonladder.CodeTimeout, a.Server.Name, "broke off")
		}
		_, err := g.runner(nil).Run(ctx, request("x"), &answer{})
		expectCode(is, err, wigeonladder.CodeTimeout)
		is.Equal(len(g.sent), 1) // a plain answer cannot be continued
	})
}

// Guards against contracts that are never released or released twice when a
// callee panics, the caller disconnects or the sink fails.
func TestContractsAreReleasedOnce(t *testing.T) {
	bubble(t, 2, 1, func(ctx context.Context, is *is.I, g *rig) {
		n := g.runner(nil)
		g.fail = func(wigeonladder.Attempt, wigeonladder.Sink) error { panic("callee") }
		func() {
			defer func() { is.Equal(recover(), "callee") }()
			_, _ = n.Run(ctx, request("x"), &answer{})
		}()
		g.fail = nil
		for _, wait := range []time.Duration{0, placeTime, workTime / 2} {
			ctx, cancel := context.WithTimeout(ctx, wait)
			_, err := n.Run(ctx, request("y"), &answer{})
			is.True(err != nil)
			cancel()
		}
		_, err := n.Run(ctx, request("z"), &answer{err: errors.New("gone")})
		is.True(err != nil)
		g.expectAllReleased(is)
		for range 2 { // both servers are free again
			_, err = n.Run(ctx, request("z"), &answer{})
			is.NoErr(err)
		}
	})
}
