package place

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// limitSpan is the span over which the limit of a server is checked, contactTime
	// the time after which daemons have to keep it.
	limitSpan   = 4 * time.Second
	contactTime = 3 * time.Second
	// limitAnswer is the time after which a server answers a call in these tests.
	limitAnswer = 50 * time.Millisecond
)

// limitFleet is a number of daemons that share servers with limits.
type limitFleet struct {
	t      *testing.T
	ctx    context.Context
	random *rand.Rand
	zones  int

	mu    sync.Mutex
	pools map[string]*Pool
	// hears reports whether a daemon hears another one.
	hears func(a, b string) bool
	// limits holds what the servers name at the moment.
	limits   map[string]float64
	arrivals map[string][]time.Time
	refused  []*wigeonladder.Error
	calls    sync.WaitGroup
}

// inLimitFleet runs a test with daemons and servers on virtual time.
func inLimitFleet(t *testing.T, seed uint64, daemons, servers, zones int, limit float64, test func(*limitFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &limitFleet{
			t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 2)), zones: zones, pools: map[string]*Pool{},
			hears: func(string, string) bool { return true }, limits: map[string]float64{}, arrivals: map[string][]time.Time{},
		}
		for i := range servers {
			f.limits[fmt.Sprint("m", i)] = limit
		}
		for i := range daemons {
			f.add(fmt.Sprint("d", i))
		}
		test(f)
		f.calls.Wait()
		cancel()
		synctest.Wait()
	})
}

// add starts a daemon.
func (f *limitFleet) add(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zone := fmt.Sprint("zone-", len(f.pools)%f.zones)
	others := func() []Member {
		f.mu.Lock()
		defer f.mu.Unlock()
		var l []Member
		for x, p := range f.pools {
			if x != name && f.hears(name, x) {
				l = append(l, Member{x, p.options.Zone})
			}
		}
		return l
	}
	p := NewPool(f.ctx, Options{Name: name, Zone: zone, Shares: fair.NewCounters(fair.Options{HomeIncarnation: name}), Members: others})
	p.SetServices([]route.Service{{Name: "model", Engine: &route.Engine{Slots: 48, CacheTokens: 400000}}})
	for i := range len(f.limits) {
		p.Put(wigeonladder.Instance{ID: fmt.Sprint("m", i), Service: "model", Zone: fmt.Sprint("zone-", i%f.zones), Slots: 48})
	}
	f.pools[name] = p
}

// remove stops a daemon.
func (f *limitFleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pools, name)
}

// call makes a call to a daemon.
func (f *limitFleet) call(p *Pool) {
	now := time.Now()
	j := &Job{
		Service: "model", Workspace: "w", Prompt: wigeonladder.Prompt{Tokens: 100, MaxOutputTokens: 10}, ArrivedAt: now,
		TargetLatency: 600 * time.Millisecond, Deadline: now.Add(5 * time.Second), ExcludedServers: map[string]bool{},
	}
	f.calls.Go(func() {
		l, err := p.Acquire(f.ctx, j)
		if err != nil {
			f.mu.Lock()
			f.refused = append(f.refused, err)
			f.mu.Unlock()
			return
		}
		l.MarkSent()
		sentAt := time.Now()
		f.mu.Lock()
		f.arrivals[l.Instance.ID] = append(f.arrivals[l.Instance.ID], sentAt)
		f.mu.Unlock()
		time.Sleep(limitAnswer)
		f.mu.Lock()
		limit, named := f.limits[l.Instance.ID]
		f.mu.Unlock()
		l.RecordFirstToken()
		if named {
			p.RecordLimit(l.Instance, limit)
		} else {
			p.RecordNoLimit(l.Instance, sentAt)
		}
		l.End(Completed)
	})
}

// run makes calls to random daemons at a rate, and exchanges reports.
func (f *limitFleet) run(d time.Duration, perSecond int) {
	const step = 10 * time.Millisecond
	for n := range int(d / step) {
		names := f.names()
		for range perSecond / 100 {
			f.call(f.pools[names[f.random.IntN(len(names))]])
		}
		if n%10 == 0 {
			f.exchange(names)
		}
		time.Sleep(step)
	}
}

// names returns the sorted names of the daemons.
func (f *limitFleet) names() []string {
	var l []string
	for name := range f.pools {
		l = append(l, name)
	}
	slices.Sort(l)
	return l
}

// exchange sends the reports of all daemons, which arrive later.
func (f *limitFleet) exchange(names []string) {
	for _, a := range names {
		r := f.pools[a].Export()
		r.Loads, r.Sent = nil, nil
		if r.IsEmpty() {
			continue
		}
		for _, b := range names {
			if p := f.pools[b]; a != b && f.hears(b, a) {
				time.AfterFunc(150*time.Millisecond, func() { p.Import(a, r, time.Second) })
			}
		}
	}
}

// wantLimit asserts that each server got no more calls in any span than its limit
// allows, from a time on, and returns the mean rate of calls to a server.
func (f *limitFleet) wantLimit(limit float64, from, to time.Time) float64 {
	f.t.Helper()
	f.calls.Wait()
	all := 0
	for server, l := range f.arrivals {
		for i, a := range l {
			n := 0
			for _, b := range l[i:] {
				if b.Sub(a) <= limitSpan {
					n++
				}
			}
			if a.After(from) && a.Before(to) {
				all++
				if allowed := 1.5*limit*limitSpan.Seconds() + 5; float64(n) > allowed {
					f.t.Fatalf("%s got %d calls in %v at a limit of %g; allowed %g", server, n, limitSpan, limit, allowed)
				}
			}
		}
	}
	return float64(all) / to.Sub(from).Seconds() / float64(len(f.limits))
}

// Guards against a sum over the daemons that is above the limit, and against a server
// that gets much less than it takes.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	for _, x := range []struct {
		daemons, servers, zones int
		limit                   float64
	}{{1, 2, 1, 3}, {4, 6, 3, 2.6}, {5, 4, 3, 7}, {30, 10, 4, 3.7}, {117, 20, 5, 2}, {117, 5, 5, 0.4}, {4, 3, 3, 40}, {4, 2, 1, 1e20}} {
		t.Run(fmt.Sprintf("%d daemons, %g a second", x.daemons, x.limit), func(t *testing.T) {
			inLimitFleet(t, 1, x.daemons, x.servers, x.zones, x.limit, func(f *limitFleet) {
				is := is.New(t)
				start := time.Now()
				f.run(25*time.Second, 400)
				rate := f.wantLimit(x.limit, start.Add(contactTime), start.Add(20*time.Second))
				t.Logf("a mean of %.2f calls a second at a limit of %g", rate, x.limit)
				is.True(rate >= min(0.7*x.limit, 100))
				for _, e := range f.refused {
					is.True(e.Code == wigeonladder.CodeOverload || e.Code == wigeonladder.CodeNoServer)
					is.True(e.RetryDelay > 0)
				}
			})
		})
	}
}

// Guards against a sum above the limit while daemons stop, start and are cut off.
func TestLimitHoldsWhileDaemonsComeAndGo(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inLimitFleet(t, seed, 8, 4, 3, 3, func(f *limitFleet) {
				is := is.New(t)
				start := time.Now()
				f.run(5*time.Second, 200)
				for n := range 6 {
					f.remove(fmt.Sprint("d", n))
					f.run(1500*time.Millisecond, 200)
					f.add(fmt.Sprint("d", n))
					f.run(2500*time.Millisecond, 200)
				}
				rate := f.wantLimit(3, start.Add(contactTime), start.Add(25*time.Second))
				is.True(rate >= 0.5*3)
			})
		})
	}
}

// Guards against a part that is lost with a daemon that is cut off for good.
func TestPartsOfLostDaemonsAreTakenOver(t *testing.T) {
	inLimitFleet(t, 1, 6, 2, 1, 4, func(f *limitFleet) {
		is := is.New(t)
		f.run(5*time.Second, 100)
		for n := range 4 {
			f.remove(fmt.Sprint("d", n))
		}
		f.run(2*time.Second, 100)
		from := time.Now()
		f.run(12*time.Second, 100)
		is.True(f.wantLimit(4, from, from.Add(8*time.Second)) >= 0.7*4)
	})
}

// Guards against a limit that outlives its end at some daemons, so that the server gets
// few calls although it takes all.
func TestLimitEndsEverywhere(t *testing.T) {
	inLimitFleet(t, 1, 12, 2, 3, 3, func(f *limitFleet) {
		is := is.New(t)
		f.run(8*time.Second, 200)
		f.mu.Lock()
		clear(f.limits)
		f.mu.Unlock()
		f.run(contactTime, 200)
		for _, p := range f.pools {
			for _, s := range p.Dump() {
				is.Equal(s.Limit, 0.0)
				is.Equal(s.Unavailable, "")
			}
		}
	})
}

// Guards against an answer that a server wrote before it named its limit, and that ends
// the limit because it arrives late.
func TestLateAnswersEndNoLimit(t *testing.T) {
	bubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		l := r.acquire(t, r.job("w", "p"))
		sentAt := time.Now()
		time.Sleep(time.Second)
		is.True(r.RecordLimit(l.Instance, 2))
		is.True(!r.RecordLimit(l.Instance, 2)) // known
		time.Sleep(time.Second)
		is.True(!r.RecordNoLimit(l.Instance, sentAt))
		is.True(r.RecordLimit(l.Instance, 3)) // changed
		time.Sleep(time.Second)
		is.True(r.RecordNoLimit(l.Instance, time.Now()))
		is.True(!r.RecordNoLimit(l.Instance, time.Now()))
		finish(l)
	})
}

// Guards against a limit that holds for the next incarnation of a server, or is
// forgotten while its entry is missing for a moment.
func TestLimitBelongsToAnIncarnation(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		i := wigeonladder.Instance{ID: "m0", Service: "model", Zone: "zone-a", Slots: 8}
		r.RecordLimit(i, 2)
		is.Equal(r.Dump()[0].Limit, 2.0)
		r.Remove(i.ID)
		r.Put(i)
		is.Equal(r.Dump()[0].Limit, 2.0)
		i.StartUnixMs = 5
		r.Put(i)
		is.Equal(r.Dump()[0].Limit, 0.0)
	})
}

// Guards against refusals that do not name the limit, and against limits from reports
// that no server can have named.
func TestLimitIsNamed(t *testing.T) {
	inLimitFleet(t, 1, 4, 1, 1, 1, func(f *limitFleet) {
		is := is.New(t)
		part := 0.0
		for _, p := range f.pools {
			p.Import("x", Report{Limits: []ServerLimit{{Server: "m0", PerSecond: -1}, {Server: "m0", PerSecond: 1, AgeMs: -5}}}, time.Second)
			is.Equal(p.Dump()[0].Limit, 0.0)
			p.RecordLimit(wigeonladder.Instance{ID: "m0"}, 1)
			d := p.Dump()[0]
			is.Equal(d.Limit, 1.0)
			is.Equal(d.Unavailable, "limited")
			part += d.LimitPart
			if d.LimitPart == 0 {
				f.call(p)
			}
		}
		is.Equal(part, 1.0) // one daemon has the whole limit
		synctest.Wait()
		is.Equal(len(f.refused), 3)
		for _, err := range f.refused {
			is.Equal(err.Code, wigeonladder.CodeNoServer)
			is.Equal(err.Detail, "none of 1 backend servers takes calls: 1 limited")
			is.True(err.RetryDelay > 0)
		}
	})
}
