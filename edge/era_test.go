package edge_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/route"
)

// Guards against calls to leaving servers, and against the return of an old configuration
// or a revoked key, after the store was restored from an older copy.
func TestStoreThatComesBackFromACopy(t *testing.T) {
	r := newRig(t, withDaemons(5), withEngines(2)) // one daemon reads the store for the others
	is := is.New(t)
	restore := r.store.Copy()
	r.publish(func(d *route.Document) { d.Workspaces[1].Keys = nil })
	leaving := r.engines[0].Instance()
	leaving.Leaving = true
	for range 20 {
		r.store.PutServer(r.engines[1].Instance())
	}
	r.store.PutServer(leaving)
	r.eventually("the server is known to leave", func() bool { return r.allKnowLeaving(leaving.ID) })
	restore()
	// Every daemon has read the store since.
	late := r.startServer("app-late", appService)
	r.eventually("a new server is known", func() bool {
		for _, d := range r.daemons {
			known := false
			for _, s := range d.Dump().Servers {
				known = known || s.Server == late.Instance().ID
			}
			if !known {
				return false
			}
		}
		return true
	})
	is.True(r.allKnowLeaving(leaving.ID))
	for i, d := range r.daemons {
		is.Equal(d.Dump().ConfigVersion, r.config.Version)
		c := r.call("/safe/x")
		c.APIKey = otherKey
		reply, err := r.caller.Do(t.Context(), r.callerAddresses[i], c)
		is.NoErr(err)
		is.Equal(reply.Status, 401)
	}
	// What was written is written again, at revisions that were given out before.
	other := r.engines[1].Instance()
	other.Leaving = true
	r.store.PutServer(other)
	r.store.PutServer(leaving)
	r.eventually("the other server is known to leave", func() bool { return r.allKnowLeaving(other.ID) })
	r.publish(func(d *route.Document) { d.Workspaces[1].Keys = []string{otherKey} })
	c := r.call("/stream/x")
	r.wantNotRun(c, r.do(c))
}

// allKnowLeaving reports whether all daemons know that a server leaves.
func (r *rig) allKnowLeaving(id string) bool {
	for _, d := range r.daemons {
		for _, s := range d.Dump().Servers {
			if s.Server == id && !s.Leaving {
				return false
			}
		}
	}
	return true
}
