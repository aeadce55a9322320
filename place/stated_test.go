package place

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/estimate"
	"github.com/wigeonladder/wigeonladder/fair"
)

// tills returns a fleet whose servers differ in speed, with other work on their machines,
// and whose traffic needs about half of their time.
func tills(seed uint64) fleetOptions {
	return fleetOptions{
		daemons: 24, servers: 30, zones: 3, speeds: []float64{0.7, 0.7, 1.7}, noise: true,
		reportPeriod: 60 * time.Millisecond, relayPeriod: 150 * time.Millisecond, seed: seed, duration: 8 * time.Second,
		classes: []promptClass{
			{48, []sharedPart{{13300, 211}}, 3720, 120, 600 * time.Millisecond, 10 * time.Second},
			{33, []sharedPart{{2520, 4}, {3780, 327}}, 2890, 50, 600 * time.Millisecond, 5 * time.Second},
			{51, []sharedPart{{210, 40}, {140, 336}}, 1110, 170, 400 * time.Millisecond, 12 * time.Second},
		},
	}
}

// Guards against calls that are late because they went to servers which state that work
// takes longer there. At least a tenth of the late calls are to be in time.
func TestStatedWorkTimeServesInTime(t *testing.T) {
	late := func(statesWorkTime bool) int {
		n := 0
		for seed := range uint64(4) {
			o := tills(seed)
			o.statesLoad, o.statesWorkTime = true, statesWorkTime
			r := runFleet(t, o)
			t.Log(r)
			n += r.calls - r.inTime + r.refused
		}
		return n
	}
	is.New(t).True(late(true)*10 <= late(false)*9)
}

// Guards against an expectation that stays that of another engine. A single daemon knows
// all causes, so that nine of ten first tokens are to come within 1.5 times of it once
// the rates are learned.
func TestRatesOfTheEngineAreLearned(t *testing.T) {
	o := tills(1)
	o.daemons, o.servers, o.noise, o.duration = 1, 6, false, 20*time.Second
	o.statesLoad, o.statesWorkTime = true, true
	for i := range o.classes {
		o.classes[i].perSecond /= 10
	}
	r := runFleet(t, o)
	t.Log(r)
	r.ratios = r.ratios[len(r.ratios)/2:]
	is := is.New(t)
	is.True(quantile(r.ratios, 0.9) < 1.5)
	is.True(quantile(r.ratios, 0.1) > 1/1.5)
}

// Guards against work times that daemons do not tell each other, and against an old one
// that replaces a newer one, and against an impossible age that keeps later ones out.
func TestWorkTimesAreReported(t *testing.T) {
	bubble(t, 1, func(t *testing.T, a *rig) {
		is := is.New(t)
		b := newRig(t.Context(), "zone-b", 1)
		l := a.acquire(t, a.job("w", "s"))
		time.Sleep(100 * time.Millisecond)
		a.RecordLoad(l.Instance, wigeonladder.ServerLoad{Running: 1, Slots: 8, WorkTime: 1.7}, l.sentAt)
		time.Sleep(50 * time.Millisecond)
		r := a.Export()
		is.Equal(r.Stated, []StatedWorkTime{{Server: "m0", WorkTime: 170, AgeMs: 50}})
		is.True(a.Export().IsEmpty() || len(a.Export().Stated) == 0)
		b.Import("a", r, time.Second)
		is.Equal(b.Dump()[0].WorkTime, 1.7)
		r.Stated[0].WorkTime, r.Stated[0].AgeMs = 70, 5000
		b.Import("a", r, time.Second)
		is.True(b.Dump()[0].WorkTime > 1.69)
		for _, age := range []int64{-1, 1 << 62, math.MaxInt64} {
			r.Stated[0].AgeMs = age
			b.Import("a", r, time.Second)
		}
		r.Stated[0].WorkTime, r.Stated[0].AgeMs = 120, 0
		time.Sleep(time.Millisecond)
		b.Import("a", r, time.Second)
		is.Equal(b.Dump()[0].WorkTime, 1.2)
		l.End(Inconclusive)
	})
}

// Guards against servers that state no work time and are treated otherwise than before,
// and against plain servers whose stated work time tells nothing.
func TestFirstTokenOfPlainServers(t *testing.T) {
	bubble(t, 0, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.Put(wigeonladder.Instance{ID: "a", Service: "app", Zone: "zone-a", Slots: 6})
		plain := func() *Lease {
			j := r.job("w", "")
			j.Service, j.Prompt = "app", wigeonladder.Prompt{}
			return r.acquire(t, j)
		}
		l := plain()
		is.Equal(l.ExpectedFirstToken, time.Duration(0))
		time.Sleep(30 * time.Millisecond)
		r.RecordLoad(l.Instance, wigeonladder.ServerLoad{Slots: 6, WorkTime: 2}, l.sentAt)
		l.RecordFirstToken()
		l.End(Completed)
		is.Equal(plain().ExpectedFirstToken, 2*callTime)
	})
}

// Guards against engines that idle under overload because their learned rates, lower than
// the assumed ones, let less work be sent to them.
func TestLimitOfWorkIgnoresLearnedRates(t *testing.T) {
	bubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		g := r.services["model"]
		s := g.order[0]
		j := r.job("w", "s")
		g.rates.engine = estimate.NewRates(firstTokenTime, readTokensPerMs/2, streamTime)
		s.workTime = s.workTime.With(1.7, time.Now())
		s.own = load{running: 2, unreadTokens: 20000}
		is.True(s.expectedWait() > maxEngineWait)
		is.True(r.hasRoom(g, s, j, fair.BelowShare))
		s.own.unreadTokens = 30000
		is.True(!r.hasRoom(g, s, j, fair.BelowShare))
		s.own = load{}
	})
}
