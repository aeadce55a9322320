package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/inventory"
)

// readerPeriod is the time between two reads of the store in the tests.
const readerPeriod = 500 * time.Millisecond

// feedStore is a store with one item that never changes.
type feedStore struct{}

// Range implements inventory.Store.
func (feedStore) Range(context.Context, string, string) (inventory.Page, error) {
	return inventory.Page{Revision: 1}, nil
}

// Watch implements inventory.Store. Each watch finds one change.
func (feedStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (inventory.Page, error) {
	return inventory.Page{Items: []inventory.Item{{Key: "k", Value: []byte("v"), Revision: after + 1}}, Revision: after + 1}, nil
}

// addFeeding starts a daemon of zone z that reads the store and offers what it reads.
func (x *network) addFeeding(ctx context.Context, zone, name string) *node {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	feed := inventory.NewFeed(now)
	go inventory.Follow(ctx, inventory.Options{
		Store: feedStore{}, WatchPause: readerPeriod, Now: now, Feed: feed, Journal: discardJournal{},
		Reset: func([]inventory.Item) {}, Apply: func(l []inventory.Item) []inventory.Item { return l },
	})
	return x.addWith(ctx, Options{
		Self: Member{Name: name, Zone: zone, Address: name, Incarnation: name}, Seeds: func() []string { return []string{"n0"} },
		Export: func(bool) Report { return Report{} }, Feed: feed,
	})
}

// withFeeds runs a test with daemons n0 to n4 of zone a and b0 of zone b.
func withFeeds(t *testing.T, test func(*testing.T, context.Context, *network)) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
			x.addFeeding(ctx, "a", name)
		}
		x.addFeeding(ctx, "b", "b0")
		time.Sleep(5 * time.Second)
		test(t, ctx, x)
	})
}

// readerOf returns the name of the daemon that reads the store for another one, or an
// empty name.
func (x *network) readerOf(name string) string {
	if p := x.nodes[name].mesh.reader(time.Now()); p != nil {
		return p.name
	}
	return ""
}

// Guards against daemons of one zone that disagree on their reader, a reader in another
// zone, and one that stays the reader although it is gone.
func TestReaderOfZone(t *testing.T) {
	withFeeds(t, func(t *testing.T, _ context.Context, x *network) {
		is := is.New(t)
		for _, name := range []string{"n0", "n1", "n2", "n3"} {
			is.Equal(x.readerOf(name), "n4")
		}
		is.Equal(x.readerOf("n4"), "")
		is.Equal(x.readerOf("b0"), "")
		x.isolate("n4", true)
		time.Sleep(time.Second)
		for _, name := range []string{"n0", "n1", "n2"} {
			is.Equal(x.readerOf(name), "n3")
		}
		x.isolate("n3", true)
		time.Sleep(time.Second)
		is.Equal(x.readerOf("n0"), "")
	})
}

// Guards against changes that are lost or told twice on the way, an answer that does
// not wait for the next read, reports that are held up by a waiting watch, and a call
// that hangs after its connection is lost.
func TestWatchStore(t *testing.T) {
	withFeeds(t, func(t *testing.T, ctx context.Context, x *network) {
		is := is.New(t)
		m := x.nodes["n0"].mesh
		_, err := m.WatchStore(ctx, 0, 0, readerPeriod)
		is.True(err != nil) // before the reader's history
		p, err := m.WatchStore(ctx, 5, 0, 2*readerPeriod)
		is.NoErr(err)
		is.True(p.Relayed)
		is.Equal(int(p.Revision-5), len(p.Items))
		for range 5 {
			began := time.Now()
			next, err := m.WatchStore(ctx, p.Revision, 0, 2*readerPeriod)
			is.NoErr(err)
			is.Equal(next.Items, []inventory.Item{{Key: "k", Value: []byte("v"), Revision: p.Revision + 1}})
			is.True(next.ReadOffset <= time.Since(began))
			is.True(next.ReadOffset > 0)
			p = next
		}
		before, _ := x.nodes["n4"].reportsFrom("n0")
		go func() { _, _ = m.WatchStore(ctx, p.Revision+1000, 0, 3*time.Second) }()
		time.Sleep(2 * time.Second)
		after, _ := x.nodes["n4"].reportsFrom("n0")
		is.True(after > before)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			x.isolate("n4", true)
		}()
		_, err = m.WatchStore(ctx, p.Revision+1000, 0, 5*time.Second)
		is.True(err != nil)
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against a small machine that reads the store for a zone and cannot tell its many
// daemons in time, and against one that is the hub as well.
func TestReaderIsALargeMachine(t *testing.T) {
	is := is.New(t)
	m := &Mesh{options: Options{Self: Member{Name: "a05", Zone: "a", MemoryMB: 144}}, peers: map[string]*peer{}, origins: map[string]origin{}}
	now := time.Now()
	for i := range meshZonePeers + 4 {
		if name := fmt.Sprintf("a%02d", i); name != m.options.Self.Name {
			m.peers[name] = &peer{name: name, zone: "a", memoryMB: 144, feeds: true, connected: true, connectedAt: now}
		}
	}
	is.Equal(m.reader(now).name, "a15")
	m.peers["a02"].memoryMB, m.peers["a07"].memoryMB, m.peers["a08"].memoryMB = 536, 536, 424
	is.Equal(m.reader(now).name, "a07")
	m.peers["a02"].memoryMB = 144 // a07 is the hub
	is.Equal(m.reader(now).name, "a08")
	m.options.Self.MemoryMB = 424 // a05 comes before a08 by name
	is.Equal(m.reader(now).name, "a08")
	m.peers["a08"].connected = false
	is.True(m.reader(now) == nil)
	m.options.Self.MemoryMB = 1000 // this daemon is the hub
	is.Equal(m.reader(now).name, "a07")
}
