package edge_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/platform/stub"
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
