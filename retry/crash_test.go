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

// Guards against a request that crashes one server after another when it is
// retried and resent, and against harmless requests that fail because of it. In
// the case without guard, the suspicions are dropped before each run; every run
// then crashes servers.
func TestCrashingRequest(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		t.Run(fmt.Sprintf("guarded %v", guarded), func(t *testing.T) {
			bubble(t, 8, 8, func(ctx context.Context, is *is.I, g *rig) {
				s := NewSuspects()
				n := g.runner(s)
				for range 500 {
					n.options.Budget.Earn("v", "w")
				}
				var harmlessRuns sync.WaitGroup
				var mu sync.Mutex
				var harmlessErr error
				loadCtx, stop := context.WithCancel(ctx)
				for i := range 24 {
					harmlessRuns.Go(func() {
						for k := 0; loadCtx.Err() == nil; k++ {
							_, err := n.Run(ctx, request(fmt.Sprint("good", i, k)), &answer{})
							mu.Lock()
							harmlessErr = errors.Join(harmlessErr, err)
							mu.Unlock()
						}
					})
				}
				passed := 0
				for range 20 {
					time.Sleep(time.Second)
					if !guarded {
						s.dropAll()
					}
					if _, err := n.Run(ctx, request("crash"), &answer{}); err == nil {
						passed++
					}
				}
				stop()
				harmlessRuns.Wait()
				is.Equal(passed, 0)
				is.NoErr(harmlessErr) // every harmless request succeeds
				t.Logf("servers lost: %d", len(g.crashed))
				if guarded {
					is.Equal(len(g.crashed), quarantineCrashes)
					_, err := n.Run(ctx, request("crash"), &answer{})
					expectCode(is, err, wigeonladder.CodeSuspect)
					time.Sleep(suspicionLifetime)
					is.NoErr(s.CheckQuarantine(Fingerprint(request("crash")), ""))
				} else {
					is.Equal(len(g.crashed), 20*quarantineCrashes)
				}
			})
		})
	}
}

// Guards against suspects that run on one server at the same time, so that a
// crash which one of them causes is recorded against the other as well.
func TestSuspectsRunOnSeparateServers(t *testing.T) {
	bubble(t, 3, 8, func(ctx context.Context, is *is.I, g *rig) {
		s := NewSuspects()
		n := g.runner(s)
		var mu sync.Mutex
		running, most := map[string]int{}, 0
		g.fail = func(a wigeonladder.Attempt, _ wigeonladder.Sink) error {
			mu.Lock()
			running[a.Server.Name]++
			most = max(most, running[a.Server.Name])
			mu.Unlock()
			time.Sleep(workTime)
			mu.Lock()
			running[a.Server.Name]--
			mu.Unlock()
			return nil
		}
		errs := make([]error, 12)
		var all sync.WaitGroup
		for i := range errs {
			r := request(fmt.Sprint("x", i))
			s.RecordCrash(Fingerprint(r), "elsewhere")
			all.Go(func() { _, errs[i] = n.Run(ctx, r, &answer{}) })
		}
		all.Wait()
		is.NoErr(errors.Join(errs...))
		is.Equal(most, 1) // one suspect on a server
		for i := range errs {
			is.True(!s.IsSuspect(Fingerprint(request(fmt.Sprint("x", i))))) // cleared
		}
		is.Equal(len(s.reservedServers), 0)
	})
}

// Guards against a caller that resends a crashing request before the other
// daemons know of it: the error must wait for the next heartbeat.
func TestErrorWaitsForHeartbeat(t *testing.T) {
	bubble(t, 4, 1, func(ctx context.Context, is *is.I, g *rig) {
		n := g.runner(NewSuspects())
		for range 20 {
			n.options.Budget.Earn("v", "w")
		}
		var crashedAt time.Time
		n.options.OnNewSuspicion = func() { crashedAt = time.Now() }
		_, err := n.Run(ctx, request("crash"), &answer{})
		expectCode(is, err, wigeonladder.CodeBroken)
		is.Equal(len(g.crashed), 2)
		is.True(time.Since(crashedAt) >= suspicionSpreadDelay)
		start := time.Now()
		_, err = n.Run(ctx, request("crash"), &answer{})
		expectCode(is, err, wigeonladder.CodeSuspect)
		is.True(time.Since(start) < suspicionSpreadDelay) // a refusal without a crash does not wait
	})
}
