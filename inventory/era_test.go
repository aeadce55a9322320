package inventory

import (
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// eraStore is a store that can come back from a copy of itself.
type eraStore struct {
	*fakeStore
	era int64
}

// copied returns a function that brings the store back to what it is now.
func (s *eraStore) copied() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, revision := maps.Clone(s.items), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.items, s.revision, s.history, s.compactedRevision = maps.Clone(items), revision, nil, 0
		s.era++
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// inEra sets the era of a page.
func (s *eraStore) inEra(p Page) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Era = s.era
	return p
}

// Range implements Store.
func (s *eraStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	p, err := s.fakeStore.Range(ctx, prefix, after)
	return s.inEra(p), err
}

// Watch implements Store.
func (s *eraStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	s.mu.Lock()
	ahead := after > s.revision
	s.mu.Unlock()
	if ahead {
		return Page{}, ErrCompacted
	}
	p, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	return s.inEra(p), err
}

// followEra runs a test with a follower of the servers of a store. Values are those of
// parseEntry.
func followEra(t *testing.T, test func(t *testing.T, s *eraStore, pool *fakePool)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &eraStore{fakeStore: newFakeStore(), era: 3}
		l, pool := newEntryList()
		began := time.Now()
		go Follow(ctx, Options{
			Store: s, WatchTimeout: 700 * time.Millisecond, Restored: func(int64) { l.Restored() }, Reset: l.Reset, Apply: l.Apply,
			Now: func() time.Duration { return time.Since(began) }, Journal: &eventJournal{},
		})
		test(t, s, pool)
		cancel()
		synctest.Wait()
	})
}

// state returns what a pool knows of a server.
func (x *fakePool) state(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	i, known := x.servers[id]
	switch {
	case !known:
		return "gone"
	case i.Leaving:
		return "leaving"
	}
	return "ready"
}

// Guards against calls to servers that leave, or have left, after the store came back from
// a copy in which they had not, and against the loss of servers that the copy does not
// have yet.
func TestStoreThatComesBackFromACopy(t *testing.T) {
	for name, x := range map[string]struct {
		before, after, later string // the entry at the copy, after it, and after the return
		// want is the state 1 s after the return, and once the entry was written again.
		want, end string
	}{
		"leaves after the copy":            {"7 4", "7 5 leaving", "7 6 leaving", "leaving", "leaving"},
		"leaves, written again as it was":  {"7 4", "7 5 leaving", "7 5 leaving", "leaving", "leaving"},
		"leaves after the copy, no start":  {"0 4", "0 5 leaving", "0 6 leaving", "leaving", "leaving"},
		"leaves after the return":          {"7 4", "7 5", "7 6 leaving", "ready", "leaving"},
		"starts after the copy":            {"", "7 1", "7 2", "ready", "ready"},
		"starts, written again as it was":  {"", "7 1", "7 1", "ready", "ready"},
		"starts after it and goes":         {"", "7 1", "", "ready", "gone"},
		"gone after the copy":              {"7 4", "", "", "gone", "gone"},
		"gone, and back with another life": {"7 4", "", "9 1", "gone", "ready"},
		"nothing happens":                  {"7 4", "7 4", "7 5", "ready", "ready"},
	} {
		for _, writes := range []int{0, 50} {
			t.Run(name, func(t *testing.T) {
				followEra(t, func(t *testing.T, s *eraStore, pool *fakePool) {
					is := is.New(t)
					write := func(v string, had string) {
						if v != had {
							s.put("a", v)
						}
					}
					s.put("other", "7 1")
					write(x.before, "")
					time.Sleep(2 * time.Second)
					restore := s.copied()
					for range 10 {
						s.put("other", "7 2")
					}
					write(x.after, x.before)
					time.Sleep(2 * time.Second)
					restore()
					for range writes { // the revisions pass those that were known
						s.put("other", "7 3")
					}
					time.Sleep(time.Second)
					is.Equal(pool.state("a"), x.want)
					write(x.later, "")
					time.Sleep(2 * time.Second)
					is.Equal(pool.state("a"), x.end)
					is.Equal(pool.state("other"), "ready")
				})
			})
		}
	}
}

// Guards against changes that are lost when the store comes back while it is listed, or
// twice.
func TestStoreThatComesBackTwice(t *testing.T) {
	followEra(t, func(t *testing.T, s *eraStore, pool *fakePool) {
		is := is.New(t)
		for _, k := range []string{"a", "b", "c", "d", "e"} {
			s.put(k, "7 1")
		}
		time.Sleep(time.Second)
		restore := s.copied()
		s.put("a", "7 2 leaving")
		time.Sleep(time.Second)
		restore()
		time.Sleep(10 * time.Millisecond)
		restore()
		s.put("b", "7 2 leaving")
		time.Sleep(time.Second)
		is.Equal(pool.state("a"), "leaving")
		is.Equal(pool.state("b"), "leaving")
		is.Equal(pool.state("c"), "ready")
		time.Sleep(lateWriteTime)
		s.put("a", "7 3") // it has changed its mind
		time.Sleep(time.Second)
		is.Equal(pool.state("a"), "ready")
	})
}

// Guards against a key that was taken away and is accepted for longer, because the store
// has lost that before this daemon read it, and shows the key in its copy.
func TestCopyConfirmsNothingAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &eraStore{fakeStore: newFakeStore(), era: 3}
		began := time.Now()
		var confirmed atomic.Int64
		go Follow(ctx, Options{
			Store: s, WatchTimeout: 700 * time.Millisecond, Reset: func([]Item) {}, Apply: func(l []Item) []Item { return l },
			Now:         func() time.Duration { return time.Since(began) },
			OnConfirmed: func(at time.Duration) { confirmed.Store(int64(at)) }, Journal: &eventJournal{},
		})
		age := func() time.Duration { return time.Since(began) - time.Duration(confirmed.Load()) }
		time.Sleep(5 * time.Second)
		is.True(age() < time.Second)
		s.copied()()
		time.Sleep(rewriteTime - time.Millisecond)
		is.True(age() >= rewriteTime-time.Millisecond)
		time.Sleep(time.Second)
		is.True(age() < time.Second)
		cancel()
		synctest.Wait()
	})
}

// evacuations is a ZonePool that counts the zones.
type evacuations struct{ zones atomic.Int64 }

// SetEvacuatedZones implements ZonePool.
func (e *evacuations) SetEvacuatedZones(zones []string) { e.zones.Store(int64(len(zones))) }

// Guards against calls to an evacuated zone after the store came back from a copy that does
// not have the evacuation, and against an evacuation that comes back.
func TestEvacuationsOutliveTheStore(t *testing.T) {
	for name, x := range map[string]struct {
		copied      bool // the copy has the evacuation
		ended       bool // it had ended when the store went
		again       bool // it is written again
		soon, later int64
	}{
		"after the copy, written again": {false, false, true, 1, 1},
		"after the copy, lost":          {false, false, false, 1, 0},
		"before the copy":               {true, false, false, 1, 1},
		"ended after the copy":          {true, true, false, 0, 0},
		"ended, and begun again":        {true, true, true, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool := &evacuations{}
				l := NewZoneList(pool, "z/", &eventJournal{})
				item := func(revision int64, removed bool) []Item {
					return []Item{{Key: "z/a", Revision: revision, Removed: removed}}
				}
				l.Reset(nil)
				l.Apply(item(100, false))
				if x.ended {
					l.Apply(item(101, true))
				}
				l.Restored()
				if x.copied {
					l.Reset(item(50, false))
				} else {
					l.Reset(nil)
				}
				if x.again {
					l.Apply(item(60, false))
				}
				is.Equal(pool.zones.Load(), x.soon)
				time.Sleep(lateWriteTime + time.Second)
				is.Equal(pool.zones.Load(), x.later)
				l.Apply(item(70, true))
				is.Equal(pool.zones.Load(), int64(0))
			})
		})
	}
}
