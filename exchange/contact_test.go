package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that learns nothing of the store from the others, takes the
// shortest contact of several for the longest, or waits for one that is cut off.
func TestStoreContact(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		is := is.New(t)
		for name, unbroken := range map[string]time.Duration{"n0": 0, "n1": 9 * time.Second, "n2": 40 * time.Second} {
			x.addWith(ctx, Options{
				Self: Member{Name: name, Zone: "a", Address: name, Incarnation: name}, Seeds: func() []string { return []string{"n0"} },
				Export: func(bool) Report { return Report{} }, StoreContact: func() time.Duration { return unbroken },
			})
		}
		x.add(ctx, "n3", "n0")
		time.Sleep(5 * time.Second)
		is.Equal(x.nodes["n0"].mesh.StoreContact(ctx), 40*time.Second)
		x.isolate("n2", true)
		time.Sleep(time.Second)
		began := time.Now()
		is.Equal(x.nodes["n0"].mesh.StoreContact(ctx), 9*time.Second)
		is.True(time.Since(began) <= contactTimeout)
		x.isolate("n0", true)
		time.Sleep(time.Second)
		is.Equal(x.nodes["n0"].mesh.StoreContact(ctx), time.Duration(0))
	})
}
