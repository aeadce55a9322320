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

// requestsPerSecond is the rate of requests at one entry: 7,500 per second over 390
// entries.
const requestsPerSecond = 20

// runTimeSeed seeds the random run times of requests.
const runTimeSeed = 1

// request returns request i, which belongs to one of two workspaces.
func request(i int) wigeonladder.Request {
	return wigeonladder.Request{
		ID: fmt.Sprint("r", i), Workspace: WorkspaceName(i % 2), Service: ServiceName(0),
		Urgency: wigeonladder.UrgencyNormal, Estimate: 400, Arrived: time.Now(),
	}
}

// smallConfig returns a configuration with one service and two slots for each
// daemon.
func smallConfig(daemons int) wigeonladder.Config {
	c := Size{Daemons: daemons, Servers: 2 * daemons, Workspaces: 2, Services: 1, Zones: 3}.Config()
	for i := range c.Register.Services[0].Servers {
		c.Register.Services[0].Servers[i].Slots = 1
	}
	return c
}

// Guards against messages for a request that finds a free slot at the home on its
// own daemon. It also logs how the messages of other requests grow with the number
// of homes of the service.
func TestRequestTraffic(t *testing.T) {
	for _, n := range sizes([]int{5}, []int{20, 60, 120}) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			c := smallConfig(n)
			f := StartFleet(ctx, c, n)
			time.Sleep(15 * time.Second)
			held, own := placeAtOwnHome(f)
			is.Equal(sumMethods(requestMethods(own)).Messages, int64(0))
			other := placeAtOtherHome(f)
			t.Logf("%d daemons, unqueued at another home:%s", n, fmtCounts(other, 1))
			for _, h := range held {
				f.Daemons[0].Queue.Release(h, wigeonladder.Usage{Cost: 400})
			}
			logQueuedTraffic(t, f)
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	}
}

// requestMethods returns the counts of the methods that requests cause, without
// heartbeats and renewals: RequestSlot (a), ReportDemand (d), Grant (g) and
// Release (r).
func requestMethods(counts map[string]peer.TrafficCount) map[string]peer.TrafficCount {
	only := map[string]peer.TrafficCount{}
	for _, m := range []string{"a", "d", "g", "r"} {
		only[m] = counts[m]
	}
	return only
}

// ownSlots returns the number of slots whose home is the first daemon. Each server
// has one.
func ownSlots(f *Fleet) int { return len(f.Daemons[0].Ledger.Dump().Servers) }

// placeAtOwnHome places requests in all slots whose home is the first daemon, and
// returns the contracts and the traffic.
func placeAtOwnHome(f *Fleet) ([]wigeonladder.Contract, map[string]peer.TrafficCount) {
	before := f.SentByMethod()
	var held []wigeonladder.Contract
	for i := range ownSlots(f) {
		if c, err := f.Daemons[0].Queue.Place(context.Background(), request(i)); err == nil {
			held = append(held, c)
		}
	}
	return held, TrafficBetween(before, f.SentByMethod())
}

// placeAtOtherHome returns the traffic of one request at the first daemon while the
// home on this daemon has no free slot.
func placeAtOtherHome(f *Fleet) map[string]peer.TrafficCount {
	before := f.SentByMethod()
	q := f.Daemons[0].Queue
	if c, err := q.Place(context.Background(), request(0)); err == nil {
		time.Sleep(100 * time.Millisecond)
		q.Release(c, wigeonladder.Usage{Cost: 400})
	}
	time.Sleep(time.Second)
	return TrafficBetween(before, f.SentByMethod())
}

// logQueuedTraffic keeps more requests at the first daemon than the fleet has
// slots, at a fixed rate, and logs the messages per request. Run times vary,
// because requests that end at the same time would share their demand reports.
func logQueuedTraffic(t *testing.T, f *Fleet) {
	const window = 30 * time.Second
	slots := 2 * len(f.Daemons)
	run := time.Duration(slots) * time.Second / requestsPerSecond
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var done int
	var work sync.WaitGroup
	q := f.Daemons[0].Queue
	for i := range slots + 20 {
		work.Go(func() {
			random := rand.New(rand.NewPCG(runTimeSeed, uint64(i)))
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
		float64(done)/window.Seconds(), runTimeSeed)
	mu.Unlock()
	cancel()
	work.Wait()
	time.Sleep(time.Second)
}
