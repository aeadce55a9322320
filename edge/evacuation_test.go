package edge_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
	"github.com/wigeonladder/wigeonladder/setting"
)

// evacuationBound is the time after which a zone that is evacuated gets no calls.
const evacuationBound = 5 * time.Second

// Guards against calls to a zone that an administrator has evacuated, from daemons that
// read the store and from those for which another one reads it, and against a zone that
// gets no calls after its evacuation. With four daemons, one reads for the others.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	is := is.New(t)
	r := newRig(t, withDaemons(4), withEngines(2))
	other := r.engines[1].Instance()
	other.Zone = "zone-b"
	r.store.PutServer(other)
	c := r.prompt("/stream/x")
	wantStream(t, c, r.do(c), 5)
	is.Equal(len(r.engines[0].Arrivals()), 1)
	key := platform.EvacuationPrefix + "zone-a" // the zone of the daemons
	r.store.PutRaw(key, []byte("{"))
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), evacuationBound+3*time.Second)
	defer cancel()
	r.load(ctx, 10*time.Millisecond, func() stub.Call { return r.prompt("/stream/x") })
	is.Equal(mostArrivals(r.engines[0].Arrivals(), began.Add(evacuationBound), time.Second), 0)
	is.True(mostArrivals(r.engines[1].Arrivals(), began.Add(evacuationBound), time.Second) > 0)
	for _, d := range r.daemons {
		is.Equal(d.Dump().EvacuatedZones, []string{"zone-a"})
	}
	r.store.Remove(key)
	r.eventually("calls return", func() bool {
		for i := range r.daemons {
			c := r.prompt("/stream/x")
			wantStream(t, c, r.doAt(i, c), 5)
		}
		return mostArrivals(r.engines[0].Arrivals(), began.Add(evacuationBound), time.Second) > 0
	})
}

// Guards against a cold server that gets more than the configuration allows from all
// daemons together, because those for which another one reads the store do not learn
// that it is cold, and against one that gets nothing until it is warm.
func TestColdServerGetsFewCalls(t *testing.T) {
	const perSecond, slack = 4.0, 5.0
	is := is.New(t)
	r := newRig(t, withDaemons(4), withEngines(2), func(s *setup) { s.settings.Cold = setting.ColdBound{Overage: 1.5, Slack: slack} })
	r.publish(func(d *route.Document) {
		d.Services[1].ColdStart, d.Services[1].ColdPerSecond = 3*time.Second, perSecond
	})
	r.engines[1].Delay = 50 * time.Millisecond // has no room for all calls
	r.store.PutColdServer(r.engines[0].Instance(), 10*time.Second)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	r.load(ctx, 10*time.Millisecond, func() stub.Call { return r.prompt("/stream/x") })
	var cold []stub.Arrival
	for _, a := range r.engines[0].Arrivals() {
		if a.At.Before(began.Add(10 * time.Second)) {
			cold = append(cold, a)
		}
	}
	most := mostArrivals(cold, began.Add(3*time.Second), time.Second)
	t.Logf("%d calls in a second while it is cold", most)
	is.True(most > 0)
	is.True(float64(most) <= 1.5*perSecond+slack)
	is.True(float64(mostArrivals(r.engines[0].Arrivals(), began.Add(10*time.Second), time.Second)) > 1.5*perSecond+slack)
}
