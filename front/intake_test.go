package front

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against a call that goes on after its caller has left, because the daemon first
// works on all requests of a flood.
func TestCallerThatLeavesIsSeenInAFlood(t *testing.T) {
	is := is.New(t)
	const flood, work = 300, time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var handled, before atomic.Int64
	running, seen := make(chan struct{}), make(chan struct{})
	limits := defaultLimits
	s, address := serve(t, limits, func(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
		if c.ID == "running" {
			close(running)
			<-ctx.Done()
			before.Store(handled.Load())
			close(seen)
			return
		}
		for end := time.Now().Add(work); time.Now().Before(end); {
			continue
		}
		handled.Add(1)
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, nil)
	})
	leaving, _ := dial(t, address)
	_, err := io.WriteString(leaving, "GET / HTTP/1.1\r\nHost: h\r\nId: running\r\n\r\n")
	is.NoErr(err)
	<-running
	var conns []io.Writer
	for range flood {
		c, _ := dial(t, address)
		conns = append(conns, c)
	}
	for end := time.Now().Add(deadline); s.OpenConns() < flood+1; runtime.Gosched() {
		is.True(time.Now().Before(end))
	}
	for _, c := range conns {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
	}
	is.NoErr(leaving.Close())
	<-seen
	t.Log("handled before the close was seen:", before.Load())
	is.True(before.Load() < flood/4)
}

// Guards against requests that are read after their callers have abandoned them, and
// against a wait that the daemon does not know of.
func TestIntakeRefusesWhatWaitedTooLong(t *testing.T) {
	for name, x := range map[string]struct {
		hold   time.Duration
		passed int
	}{"short wait": {maxIntakeWait / 2, 4}, "long wait": {2 * maxIntakeWait, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				q := &Intake{ctx: ctx, limit: 4, wake: make(chan struct{}, 1)}
				results := make(chan bool, 5)
				for range 5 {
					go func() {
						_, ok := q.Enter()
						results <- ok
					}()
				}
				synctest.Wait()
				is.Equal(len(results), 1) // beyond the limit
				is.True(!<-results)
				time.Sleep(x.hold)
				is.Equal(q.Delay(), x.hold)
				first := q.next()
				first.passed <- true
				go q.run()
				synctest.Wait()
				passed := 0
				for range 4 {
					if <-results {
						passed++
					}
				}
				is.Equal(passed, x.passed)
				is.True(q.Delay() > x.hold/2)
				time.Sleep(10 * intakeDelayPeriod)
				is.True(q.Delay() < time.Millisecond)
				cancel()
				_, ok := q.Enter()
				is.True(!ok)
			})
		})
	}
}

// Guards against an answer that does not tell that an unread request did not run.
func TestUnreadRequestOfAFloodIsRefused(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, address := serveWith(t, Options{Limits: defaultLimits, Handler: echo, Intake: &Intake{ctx: ctx, wake: make(chan struct{}, 1)}})
	c, r := dial(t, address)
	is.Equal(post(t, c, r), 503)
	_, err := r.ReadByte()
	is.Equal(fmt.Sprint(err), "EOF")
}
