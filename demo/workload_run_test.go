package demo

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against shares that exceed a demand, leave service undivided or favour
// a workspace.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(1, 1000).Draw(t, "total")
		var claims []Claim
		for i := range rapid.IntRange(1, 8).Draw(t, "claims") {
			c := Claim{Workspace: string(rune('a' + i)), Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight"))}
			c.Demand = rapid.OneOf(rapid.Just(-1.0), rapid.Float64Range(0, 500)).Draw(t, "demand")
			claims = append(claims, c)
		}
		shares := FairShares(total, claims)
		sum, lowestUnmet, wanted := 0.0, math.Inf(1), 0.0
		for _, c := range claims {
			sum += shares[c.Workspace]
			if c.Demand < 0 {
				wanted = math.Inf(1)
			}
			wanted += c.Demand
			if c.Demand < 0 || shares[c.Workspace] < c.Demand-1e-9 {
				lowestUnmet = min(lowestUnmet, shares[c.Workspace]/c.Weight)
			}
		}
		for _, c := range claims {
			if x := shares[c.Workspace]; c.Demand >= 0 && x > c.Demand+1e-9 || x/c.Weight > lowestUnmet+1e-6 {
				t.Fatalf("%v gets %v, but a workspace with unmet demand gets only %v per weight", c, x, lowestUnmet)
			}
		}
		if math.Abs(sum-min(total, wanted)) > 1e-6 {
			t.Fatalf("%v of %v divided, wanted %v", sum, total, wanted)
		}
	})
}

// fixedRateTarget serves each request in one second, a fixed number at once per
// workspace.
type fixedRateTarget struct {
	slots map[string]chan struct{}
}

// Send implements Target.
func (f fixedRateTarget) Send(ctx context.Context, _ string, r wigeonladder.Request, s wigeonladder.Sink) error {
	f.slots[r.Workspace] <- struct{}{}
	defer func() { <-f.slots[r.Workspace] }()
	_ = s.Start(200, "")
	sleep(ctx, time.Second)
	return s.Write(nil, 100)
}

// Guards against measures that differ from their doc comments, by a target
// whose service rates are known.
func TestMeasuresOfKnownService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Guild()
		a, b := s.workspaceName(0), s.workspaceName(14) // weights 4 and 1
		w := Workload{Name: "known", WarmUp: 10 * time.Second, WindowUnit: 10 * time.Second, DrainTime: time.Minute, Sources: []RequestSource{
			{Workspace: a, Service: s.ModelService, Clients: 20, MeanCost: 100, EntryFractions: []float64{1, 0, 0, 0, 0}},
			{Workspace: b, Service: s.ModelService, Clients: 20, MeanCost: 100, EntryFractions: []float64{1, 0, 0, 0, 0}},
		}}
		target := fixedRateTarget{map[string]chan struct{}{a: make(chan struct{}, 2), b: make(chan struct{}, 2)}}
		rec := NewRecorder(s.Rules)
		RunWorkload(t.Context(), s, w, target, nil, rec)
		rep := rec.Report(s.ModelService)
		is.Equal(rep.BackloggedWorkspaces, 2)
		is.Equal(rep.ServiceRate, 400.0) // both get 200 a second
		is.Equal(rep.BusyFraction, 1.0)
		is.Equal(rep.Gap, 40*(200.0-200.0/4))
		is.Equal(rep.GapFirstUnit, 10*(200.0-200.0/4))
		is.Equal(rep.RetainedShare, 200.0/(400.0*4/5))
		is.Equal(rep.LeastRetained, a)
	})
}

// refusingTarget refuses every request.
type refusingTarget struct{}

// Send implements Target.
func (refusingTarget) Send(context.Context, string, wigeonladder.Request, wigeonladder.Sink) error {
	return wigeonladder.Errorf(wigeonladder.CodeQueueFull, "", "full").WithRetryAfter(5)
}

// Guards against clients that ignore the retry delay of a refusal, and against
// refusals that count as service.
func TestRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Guild()
		w := Workload{WindowUnit: 10 * time.Second, DrainTime: time.Minute, Sources: []RequestSource{
			{Workspace: s.workspaceName(0), Service: s.ModelService, Clients: 3, MeanCost: 100, EntryFractions: []float64{1, 0, 0, 0, 0}},
		}}
		rec := NewRecorder(s.Rules)
		RunWorkload(t.Context(), s, w, refusingTarget{}, nil, rec)
		rep := rec.Report(s.ModelService)
		is.Equal(rep.Refused, 3*8)
		is.Equal(rep.Served+rep.Failed, 0)
		is.Equal(rep.ServiceRate, 0.0)
	})
}

// recordingTarget records the requests and the entry VMs they were sent to.
type recordingTarget struct {
	mu   sync.Mutex
	sent map[string]string
}

// Send implements Target.
func (k *recordingTarget) Send(_ context.Context, vm string, r wigeonladder.Request, s wigeonladder.Sink) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent[r.ID] = vm + string(r.Body)
	return s.Write(nil, 1)
}

// Guards against comparing policies under different requests because the
// requests depend on more than the seed.
func TestSameSeedSameRequests(t *testing.T) {
	requestsWithSeed := func(seed uint64) map[string]string {
		k := &recordingTarget{sent: map[string]string{}}
		synctest.Test(t, func(t *testing.T) {
			s := Tlaloc()
			w, _ := s.Workload("flood one")
			w = w.WithSeed(seed).WithTimes(time.Second, time.Second)
			w.Sources = w.Sources[len(w.Sources)-1:]
			RunWorkload(t.Context(), s, w, k, nil, NewRecorder(s.Rules))
		})
		return k.sent
	}
	is := is.New(t)
	first := requestsWithSeed(1)
	is.True(len(first) > 10)
	is.Equal(first, requestsWithSeed(1))
	is.True(len(requestsWithSeed(2)) > 0 && !equalRequests(first, requestsWithSeed(2)))
}

func equalRequests(a, b map[string]string) bool {
	for k := range a {
		if a[k] != b[k] {
			return false
		}
	}
	return len(a) == len(b)
}

// Guards against a bound that leaves out one of its terms.
func TestBoundTerms(t *testing.T) {
	is := is.New(t)
	b := GapBoundTerms{LargestCharge: 10, Undelivered: 20, ChargeRate: 100, ExchangePeriod: time.Second, ExchangeDelay: 500 * time.Millisecond, SmallestWeight: 2}
	is.Equal(GapBound(b), (2*10.0+2*20+150)/2)
}
