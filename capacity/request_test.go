package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/peer"
)

// perEntry is the rate of requests at one entry: 7,500 a second over 390.
const perEntry = 20

// runSeed seeds the run times.
const runSeed = 1

// request returns one request of a workspace.
func request(i int) wigeonladder.Request {
	return wigeonladder.Request{
		ID: fmt.Sprint("r", i), Workspace: WorkspaceName(i % 2), Service: ServiceName(0),
		Urgency: wigeonladder.UrgencyNormal, Estimate: 400, Arrived: time.Now(),
	}
}

// small returns a fleet with one service and two slots for each daemon.
func small(daemons int) wigeonladder.Config {
	c := Size{Daemons: daemons, Servers: 2 * daemons, Workspaces: 2, Services: 1, Zones: 3}.Config()
	for i := range c.Register.Services[0].Servers {
		c.Register.Services[0].Servers[i].Slots = 1
	}
	return c
}

// Guards against messages for a request that finds a slot at its own home, and
// shows how those of other requests grow with the homes of the service.
func TestRequestTraffic(t *testing.T) {
	for _, n := range sizes([]int{5}, []int{20, 60, 120}) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			c := small(n)
			f := StartFleet(ctx, c, n)
			time.Sleep(15 * time.Second)
			held, own := unqueued(f)
			is.Equal(total(pick(own)).Messages, int64(0))
			other := atOther(f)
			t.Logf("%d daemons, unqueued at another home:%s", n, fmtCounts(other, 1))
			for _, h := range held {
				f.Daemons[0].Queue.Release(h, wigeonladder.Usage{Cost: 400})
			}
			queued(t, f)
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	}
}

// pick leaves out heartbeats and the like.
func pick(counts map[string]peer.TrafficCount) map[string]peer.TrafficCount {
	only := map[string]peer.TrafficCount{}
	for _, m := range []string{"a", "d", "g", "r"} {
		only[m] = counts[m]
	}
	return only
}

// homeSlots returns the number of slots of the first daemon's own servers.
func homeSlots(f *Fleet) int { return len(f.Daemons[0].Ledger.Dump().Servers) }

// unqueued fills the slots of the first daemon's own servers.
func unqueued(f *Fleet) ([]wigeonladder.Contract, map[string]peer.TrafficCount) {
	before := f.SentByMethod()
	var held []wigeonladder.Contract
	for i := range homeSlots(f) {
		if c, err := f.Daemons[0].Queue.Place(context.Background(), request(i)); err == nil {
			held = append(held, c)
		}
	}
	return held, TrafficBetween(before, f.SentByMethod())
}

// atOther returns the messages of one request whose own home has no slot.
func atOther(f *Fleet) map[string]peer.TrafficCount {
	before := f.SentByMethod()
	q := f.Daemons[0].Queue
	if c, err := q.Place(context.Background(), request(0)); err == nil {
		time.Sleep(100 * time.Millisecond)
		q.Release(c, wigeonladder.Usage{Cost: 400})
	}
	time.Sleep(time.Second)
	return TrafficBetween(before, f.SentByMethod())
}

// queued keeps more work at the first daemon than the fleet has slots, at a
// fixed rate of requests, and logs the messages per request. Run times vary,
// because requests that end together share their demand reports.
func queued(t *testing.T, f *Fleet) {
	const window = 30 * time.Second
	slots := 2 * len(f.Daemons)
	run := time.Duration(slots) * time.Second / perEntry
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var done int
	var work sync.WaitGroup
	q := f.Daemons[0].Queue
	for i := range slots + 20 {
		work.Go(func() {
			random := rand.New(rand.NewPCG(runSeed, uint64(i)))
			for ctx.Err() == nil {
				c, err := q.Place(ctx, request(i))
				if err != nil {
					continue
				}
				_ = q.CheckBeforeSend(c)
				time.Sleep(run/2 + time.Duration(random.Float64()*float64(run)))
				q.Release(c, wigeonladder.Usage{Cost: 400})
				mu.Lock()
				done++
				mu.Unlock()
			}
		})
	}
	time.Sleep(2*run + 10*time.Second)
	mu.Lock()
	done = 0
	mu.Unlock()
	before := f.SentByMethod()
	time.Sleep(window)
	sent := TrafficBetween(before, f.SentByMethod())
	mu.Lock()
	t.Logf("%d daemons, queued, per request:%s; %.1f requests/s, seed %d", len(f.Daemons), fmtCounts(sent, float64(done)),
		float64(done)/window.Seconds(), runSeed)
	mu.Unlock()
	cancel()
	work.Wait()
	time.Sleep(time.Second)
}
