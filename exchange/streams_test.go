package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/stream"
)

// streamNodes starts daemons that pass on all origins of streams, and returns these by the
// daemons' names.
func streamNodes(ctx context.Context, x *network, names ...string) map[string]*stream.Origins {
	all := map[string]*stream.Origins{}
	for _, name := range names {
		o := stream.NewOrigins()
		all[name] = o
		x.addWith(ctx, Options{
			Self: Member{Name: name, Zone: "a", Address: name, Incarnation: name}, Seeds: func() []string { return []string{names[0]} },
			Export:        func(bool) Report { return Report{} },
			ExportOrigins: func() []stream.Record { return o.Export(func(string) bool { return true }) },
			ImportOrigins: o.Import, FindOrigin: o.Find,
		})
	}
	time.Sleep(5 * time.Second)
	return all
}

// Guards against a stream whose version is lost with the daemon at which it began (ORDER,
// LOST), and against origins that are copied to all daemons.
func TestOriginOutlivesItsDaemon(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		is := is.New(t)
		names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}
		all := streamNodes(ctx, x, names...)
		origin := stream.Origin{Service: "s", Version: "v1"}
		const streams = 40
		for i := range streams {
			all["n3"].Begin(stream.NewKey("w", fmt.Sprint(i)), origin, "x")
		}
		time.Sleep(200 * time.Millisecond)
		copies := 0
		for _, o := range all {
			copies += o.Len()
		}
		is.Equal(copies, streams*(1+streamKeepers))
		for _, gone := range []string{"n3", "n6"} {
			x.isolate(gone, true)
		}
		time.Sleep(2 * time.Second)
		for i := range streams {
			for _, name := range []string{"n0", "n5"} {
				got, known := all[name].Find(stream.NewKey("w", fmt.Sprint(i)))
				if !known {
					got, known = x.nodes[name].mesh.FindOrigin(ctx, stream.NewKey("w", fmt.Sprint(i)))
				}
				is.True(known)
				is.Equal(got, origin)
			}
		}
		began := time.Now()
		_, known := x.nodes["n0"].mesh.FindOrigin(ctx, stream.NewKey("w", "unknown"))
		is.True(!known)
		is.True(time.Since(began) < findTimeout)
	})
}

// Guards against a call that waits for daemons that do not answer, and against one that
// waits for any in a fleet of one.
func TestUnreachableKeepersAreNotAwaited(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		is := is.New(t)
		streamNodes(ctx, x, "n0", "n1", "n2")
		x.isolate("n1", true)
		x.isolate("n2", true)
		for range 3 {
			began := time.Now()
			_, known := x.nodes["n0"].mesh.FindOrigin(ctx, stream.NewKey("w", "a"))
			is.True(!known)
			is.True(time.Since(began) <= findTimeout)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against keys of another daemon that are no keys.
func TestMalformedOriginsAreDropped(t *testing.T) {
	is := is.New(t)
	k := stream.NewKey("w", "a")
	records := []stream.Record{{Key: k, Origin: stream.Origin{Service: "s", Version: "v1"}}, {Key: stream.NewKey("w", "b")}}
	is.Equal(newOriginBatch(records).records(), records)
	b := originBatch{Origins: []keysOfOrigin{{Keys: [][]byte{nil, k[:3], k[:]}}}}
	is.Equal(len(b.records()), 1)
	_, err := (&Mesh{}).handleOrigins([]byte(`{"o":3}`))
	is.True(err != nil)
	r, err := (&Mesh{}).handleFind([]byte(`{"k":"AA=="}`))
	is.NoErr(err)
	is.Equal(r, findReply{})
}
