package inventory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// outageTest follows a store to which 20 servers write a heartbeat a second.
type outageTest struct {
	store *fakeStore
	pool  *fakePool
}

// beat lets the servers write for a time; those in silent write nothing.
func (o outageTest) beat(d time.Duration, silent ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
	servers:
		for n := range 20 {
			id := fmt.Sprintf("s%d", n)
			for _, s := range silent {
				if s == id {
					continue servers
				}
			}
			o.store.put(id, fmt.Sprintf("7 %d", time.Now().Unix()))
		}
	}
}

// inOutage runs a test after the servers have been followed for some seconds.
func inOutage(t *testing.T, test func(t *testing.T, o outageTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, x := newEntryList()
		o := outageTest{newFakeStore(), x}
		done := make(chan struct{})
		start := time.Now()
		go func() {
			defer close(done)
			Follow(ctx, Options{
				Store: o.store, WatchTimeout: time.Second, WatchPause: 400 * time.Millisecond,
				Reset: l.Reset, Apply: l.Apply, OnStoreRegained: l.StoreRegained,
				Now: func() time.Duration { return time.Since(start) }, Journal: &eventJournal{},
			})
		}()
		o.beat(8 * time.Second)
		test(t, o)
		cancel()
		<-done
	})
}

// Guards against calls to removed servers by a daemon that takes its own partition for
// an outage of the store, and against the loss of live servers whose entries lapsed in
// such an outage.
func TestOwnPartitionIsNoOutageOfTheStore(t *testing.T) {
	t.Run("own partition", func(t *testing.T) {
		inOutage(t, func(t *testing.T, o outageTest) {
			o.store.setError(errors.New("no route"))
			o.beat(5 * time.Second)
			o.store.put("s3", "")
			o.beat(time.Second, "s3")
			o.store.setError(nil)
			o.beat(2*time.Second, "s3")
			is.New(t).True(!o.pool.has("s3"))
		})
	})
	t.Run("removal after the end of the partition", func(t *testing.T) {
		inOutage(t, func(t *testing.T, o outageTest) {
			o.store.setError(errors.New("no route"))
			o.beat(6 * time.Second)
			o.store.setError(nil)
			o.beat(time.Second)
			o.store.put("s3", "")
			o.beat(time.Second, "s3")
			is.New(t).True(!o.pool.has("s3"))
		})
	})
	t.Run("outage of the store", func(t *testing.T) {
		inOutage(t, func(t *testing.T, o outageTest) {
			o.store.setError(errors.New("down"))
			time.Sleep(6 * time.Second)
			o.store.put("s3", "")
			o.store.put("s4", "")
			o.store.setError(nil)
			time.Sleep(1500 * time.Millisecond)
			is := is.New(t)
			is.True(o.pool.has("s3") && o.pool.has("s4"))
			o.beat(3*time.Second, "s4")
			is.True(o.pool.has("s3"))
			is.True(!o.pool.has("s4"))
		})
	})
	t.Run("outage within a partition", func(t *testing.T) {
		inOutage(t, func(t *testing.T, o outageTest) {
			o.store.setError(errors.New("down"))
			time.Sleep(4 * time.Second)
			o.store.put("s3", "")
			o.beat(3*time.Second, "s3")
			o.store.put("s4", "")
			o.store.setError(nil)
			time.Sleep(time.Second)
			is := is.New(t)
			is.True(!o.pool.has("s3"))
			is.True(o.pool.has("s4"))
		})
	})
}
