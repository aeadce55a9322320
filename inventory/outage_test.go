package inventory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// outageTest is a daemon that follows a store with the servers s1 and s2, and another
// daemon that it can ask for its contact with the store.
type outageTest struct {
	store *fakeStore
	pool  *fakePool
	// own and other are the calls of the store by the two daemons.
	own, other *countingStore
}

// inOutage runs a test after both daemons have followed the store for some seconds.
func inOutage(t *testing.T, test func(t *testing.T, o outageTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		l, x := newEntryList()
		m := newFakeStore()
		o := outageTest{m, x, &countingStore{Store: m}, &countingStore{Store: m}}
		other := NewContact(now)
		follow := func(s Store, c *Contact, reset func([]Item), apply func([]Item) []Item, regained func(time.Duration)) {
			go Follow(ctx, Options{
				Store: s, WatchTimeout: 100 * time.Millisecond, WatchPause: 400 * time.Millisecond, Reset: reset, Apply: apply,
				Contact: c, OnStoreRegained: regained, Now: now, Journal: &eventJournal{},
			})
		}
		follow(o.own, NewContact(now), l.Reset, l.Apply, func(silence time.Duration) {
			l.StoreRegained(ctx, silence, func(context.Context) time.Duration { return other.Unbroken() })
		})
		follow(o.other, other, func([]Item) {}, func(l []Item) []Item { return l }, nil)
		m.put("s1", "7 1")
		m.put("s2", "7 1")
		time.Sleep(5 * time.Second)
		test(t, o)
		cancel()
		synctest.Wait()
	})
}

// Guards against calls to removed servers by a daemon that takes its own partition for
// an outage of the store, and against the loss of live servers whose entries lapsed in
// such an outage.
func TestOwnPartitionIsNoOutageOfTheStore(t *testing.T) {
	t.Run("own partition", func(t *testing.T) {
		inOutage(t, func(t *testing.T, o outageTest) {
			is := is.New(t)
			o.own.cut(true)
			time.Sleep(6 * time.Second)
			o.store.put("s1", "")
			time.Sleep(time.Second)
			is.True(o.pool.has("s1"))
			o.own.cut(false)
			time.Sleep(time.Second)
			is.True(!o.pool.has("s1"))
			o.store.put("s2", "")
			time.Sleep(500 * time.Millisecond)
			is.True(!o.pool.has("s2"))
		})
	})
	for name, cut := range map[string]func(o outageTest, cut bool){
		"outage of the store": func(o outageTest, cut bool) {
			var err error
			if cut {
				err = errors.New("down")
			}
			o.store.setError(err)
		},
		"partition of both daemons": func(o outageTest, cut bool) {
			o.own.cut(cut)
			o.other.cut(cut)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inOutage(t, func(t *testing.T, o outageTest) {
				is := is.New(t)
				cut(o, true)
				time.Sleep(6 * time.Second)
				o.store.put("s1", "")
				o.store.put("s2", "")
				cut(o, false)
				time.Sleep(1500 * time.Millisecond)
				is.True(o.pool.has("s1") && o.pool.has("s2"))
				o.store.put("s1", "7 2")
				time.Sleep(3 * time.Second)
				is.True(o.pool.has("s1"))
				is.True(!o.pool.has("s2"))
			})
		})
	}
}
