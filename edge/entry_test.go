package edge_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Guards against daemons that end, stop following the list, or lose a server, because
// another writer left an odd entry among those of the servers. With four daemons, one
// reads the store for the others.
func TestOddEntriesHarmNoServer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, withDaemons(4))
	servers := func(id string) int {
		n := 0
		for _, d := range r.daemons {
			for _, s := range d.Dump().Servers {
				if id == "" || s.Server == id {
					n++
				}
			}
		}
		return n
	}
	all := servers("")
	for i, odd := range stub.OddServerEntries {
		r.store.PutRawServer(fmt.Sprint("odd-", i), []byte(odd))
	}
	good := r.engines[0].Instance()
	for _, odd := range stub.OddServerEntries {
		r.store.PutRawServer(good.ID, []byte(odd))
		r.eventually("the server is not used", func() bool { return servers(good.ID) == 0 })
		is.Equal(servers(""), all-len(r.daemons))
		r.store.PutServer(good)
		r.eventually("the server is used again", func() bool { return servers(good.ID) == len(r.daemons) })
	}
	is.Equal(servers(""), all)
	for i := range 8 {
		c := r.prompt("/stream/x")
		wantStream(t, c, r.doAt(i%4, c), 5)
	}
}
