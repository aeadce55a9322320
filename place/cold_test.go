package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// coldPerSecond is the number of requests a second that a cold server takes in these
	// tests, coldBound the number that it may get in any second.
	coldPerSecond = 19.0
	coldBound     = 1.5*coldPerSecond + 5
	// coldTime is the time for which the server stays cold, coldReadTime the time in
	// which all daemons have read so from the store.
	coldTime     = 8 * time.Second
	coldReadTime = 1200 * time.Millisecond
	// zoneDelay is the longest time that a call takes to a server of another zone.
	zoneDelay = 50 * time.Millisecond
)

// coldServices returns the services of a fleet with cold servers.
func coldServices() []route.Service {
	return []route.Service{{
		Name: "model", ColdStart: 3 * time.Second, ColdPerSecond: coldPerSecond, Engine: &route.Engine{Slots: 48, CacheTokens: 400000},
	}}
}

// addCold starts a daemon of a fleet with cold servers. A pair of daemons knows each
// other if known is true for it.
func (f *limitFleet) addCold(name string, known func(a, b string) bool) {
	zone := fmt.Sprint("zone-", len(f.pools)%f.zones)
	others := func(knows func(a, b string) bool) func() []Member {
		return func() []Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			var l []Member
			for x, p := range f.pools {
				if x != name && knows(name, x) {
					l = append(l, Member{x, p.options.Zone})
				}
			}
			return l
		}
	}
	p := NewPool(f.ctx, Options{
		Name: name, Zone: zone, Shares: fair.NewCounters(fair.Options{HomeIncarnation: name}),
		Members: others(f.hears), KnownMembers: others(known), Cold: ColdBound{1.5, 5},
	})
	p.SetServices(coldServices())
	p.Put(f.coldServer())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools[name] = p
}

// coldServer returns the only server, so that all calls compete for it.
func (f *limitFleet) coldServer() wigeonladder.Instance {
	return wigeonladder.Instance{ID: "m0", Service: "model", Zone: "zone-0", Slots: 48}
}

// mostInASecond returns the most arrivals of calls at a server in any second from a time
// on, with the delays of the network, and the mean number in a second.
func (f *limitFleet) mostInASecond(server string, from, to time.Time) (most int, mean float64) {
	f.calls.Wait()
	var l []time.Time
	for _, at := range f.arrivals[server] {
		if at = at.Add(time.Duration(f.random.Int64N(int64(zoneDelay)))); at.After(from) && at.Before(to) {
			l = append(l, at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	first := 0
	for i, at := range l {
		for at.Sub(l[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(l)) / to.Sub(from).Seconds()
}

// Guards against a cold server that gets more from all daemons together than it
// takes, because each daemon keeps to the rate for itself, parts that have accumulated
// come together, or daemons do not know of each other; and against one that gets almost
// nothing.
func TestColdServerOfAFleet(t *testing.T) {
	all := func(string, string) bool { return true }
	none := func(string, string) bool { return false }
	notFirst := func(a, b string) bool { return a != "d0" && b != "d0" }
	sameHalf := func(a, b string) bool { return len(a) == len(b) }
	for name, c := range map[string]struct {
		daemons      int
		hears, known func(a, b string) bool
	}{
		"28 daemons":                      {28, all, all},
		"72 daemons":                      {72, all, all},
		"fleet is cut in two":             {28, sameHalf, all},
		"all are cut off":                 {28, none, all},
		"one has restarted while cut off": {28, notFirst, notFirst},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				t.Logf("seed %d", seed)
				inLimitFleet(t, seed, 0, 0, 4, 0, func(f *limitFleet) {
					f.hears = c.hears
					for i := range c.daemons {
						f.addCold(fmt.Sprint("d", i), c.known)
					}
					f.run(coldSettleTime, 1000)
					for _, d := range f.names() {
						time.AfterFunc(time.Duration(f.random.Int64N(int64(coldReadTime))), func() { f.pools[d].MarkCold(f.coldServer(), coldTime) })
					}
					f.run(coldReadTime, 1000)
					from := time.Now()
					f.run(coldTime-coldReadTime, 1000)
					most, mean := f.mostInASecond("m0", from, time.Now())
					t.Logf("%d calls in a second, %.1f in the mean", most, mean)
					is.New(t).True(float64(most) <= coldBound)
					is.New(t).True(mean >= coldPerSecond/2)
				})
			}
		})
	}
}

// Guards against a division that exceeds the bound when all parts send what they have
// accumulated, or that leaves most of the rate unused.
func TestDivisionOfAColdServer(t *testing.T) {
	for _, perSecond := range []float64{1, 3, 8.6, 19, 60, 200, 5000} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			b := ColdBound{1.5, 5}
			d := divideCold(perSecond, b)
			inASecond := d.perSecond*(1+coldSpread.Seconds()) + max(d.perSecond*limitBurst.Seconds(), 1)
			t.Logf("%d parts of %.2f a second, each at most %.2f in a second", d.parts, d.perSecond, inASecond)
			is.New(t).True(float64(d.parts+1)*inASecond <= perSecond*b.Overage+b.Slack+1e-9)
			is.New(t).True(float64(d.parts)*d.perSecond >= perSecond/2)
		})
	}
}

// Guards against a cold server whose limit ends too soon, after a late or repeated
// statement, or never, and against a limit that nothing asks for.
func TestColdTimeOfAServer(t *testing.T) {
	left := func(r *rig) time.Duration { return r.Dump()[0].ColdTime }
	restricted := func(t *testing.T, test func(*is.I, *rig)) {
		t.Helper()
		bubble(t, 2, func(t *testing.T, r *rig) {
			r.options.Cold = ColdBound{1.5, 5}
			r.SetServices(coldServices())
			time.Sleep(coldSettleTime)
			test(is.New(t), r)
		})
	}
	t.Run("stated", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			is.True(r.MarkCold(r.instance(0), 3*time.Second))
			is.True(!r.MarkCold(r.instance(0), time.Second))
			is.Equal(left(r), 3*time.Second)
			time.Sleep(3*time.Second + memberPeriod + sweepPeriod)
			r.wantUnavailable(t, 0, Available)
			is.Equal(r.Dump()[0].LimitPart, 0.0)
			r.MarkCold(r.instance(0), time.Hour)
			is.Equal(left(r), maxColdTime)
		})
	})
	t.Run("with a limit", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			r.RecordLimit(r.instance(0), 2)
			r.MarkCold(r.instance(0), 3*time.Second)
			is.Equal(r.Dump()[0].LimitPart, 2/float64(divideCold(coldPerSecond, r.options.Cold).parts))
			time.Sleep(3*time.Second + memberPeriod + sweepPeriod)
			is.Equal(r.Dump()[0].LimitPart, 2.0)
		})
	})
	t.Run("before the entry", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			i := r.instance(0)
			i.StartUnixMs = 7
			r.MarkCold(i, 3*time.Second)
			r.Put(i)
			is.Equal(left(r), 3*time.Second)
		})
	})
	t.Run("after an evacuation", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			r.SetEvacuatedZones([]string{"zone-a"})
			time.Sleep(time.Minute)
			r.SetEvacuatedZones(nil)
			is.Equal(left(r), 3*time.Second)
		})
	})
	t.Run("answers after it could not be reached", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			call := func() *Lease {
				j := r.job("a", "p")
				j.ExcludedServers["m1"] = true
				return r.acquire(t, j)
			}
			call().End(Unreachable)
			is.Equal(left(r), blockMin+3*time.Second)
			time.Sleep(time.Second)
			l := call()
			l.RecordFirstToken()
			is.Equal(left(r), 3*time.Second)
			l.End(Completed)
			is.Equal(left(r), 3*time.Second)
			r.MarkCold(r.instance(0), time.Second) // the store tells more exactly
			is.Equal(left(r), time.Second)
		})
	})
	t.Run("its zone is cut off", func(t *testing.T) {
		restricted(t, func(is *is.I, r *rig) {
			zone := []Member{{"d1", "zone-b"}}
			live := zone
			r.options.KnownMembers = func() []Member { return zone }
			r.options.Members = func() []Member { return live }
			r.Remove("m0")
			r.Put(r.otherZone(0))
			call := func() *Lease {
				j := r.job("a", "p")
				j.ExcludedServers["m1"] = true
				return r.acquire(t, j)
			}
			call().End(Unreachable)
			is.True(left(r) > 0)
			live = nil // later than the calls fail
			time.Sleep(memberPeriod + sweepPeriod)
			is.Equal(left(r), time.Duration(0))
			call().End(Unreachable)
			is.Equal(left(r), time.Duration(0))
			time.Sleep(time.Second)
			l := call()
			l.RecordFirstToken()
			l.End(Completed)
			is.Equal(left(r), time.Duration(0))
		})
	})
	t.Run("no rate configured", func(t *testing.T) {
		bubble(t, 2, func(t *testing.T, r *rig) {
			is := is.New(t)
			is.True(!r.MarkCold(r.instance(0), 3*time.Second))
			r.wantUnavailable(t, 0, Available)
		})
	})
}
