package inventory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// fakeStore is a store in memory whose history can be compacted.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision int64
	err               error
	calls             int
	// changed is closed at the next change.
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]Item{}, changed: make(chan struct{})}
}

// put writes a value; an empty value removes the key.
func (m *fakeStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	i := Item{Key: key, Value: []byte(value), Revision: m.revision, Removed: value == ""}
	m.items[key] = i
	if i.Removed {
		delete(m.items, key)
	}
	m.history = append(m.history, i)
	close(m.changed)
	m.changed = make(chan struct{})
}

// setError sets the error with which all calls fail; nil lets them succeed.
func (m *fakeStore) setError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// compact drops the history.
func (m *fakeStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compactedRevision = nil, m.revision
}

// Range implements Store with pages of two items.
func (m *fakeStore) Range(_ context.Context, _, after string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.err != nil {
		return Page{}, m.err
	}
	var keys []string
	for k := range m.items {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	p := Page{Revision: m.revision, More: len(keys) > 2}
	for _, k := range keys[:min(len(keys), 2)] {
		p.Items = append(p.Items, m.items[k])
	}
	return p, nil
}

// Watch implements Store.
func (m *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	m.mu.Lock()
	m.calls++
	m.mu.Unlock()
	for timedOut := false; ; {
		m.mu.Lock()
		p := Page{Revision: m.revision}
		for _, i := range m.history {
			if i.Revision > after {
				p.Items = append(p.Items, i)
			}
		}
		err, compacted, changed := m.err, after < m.compactedRevision, m.changed
		m.mu.Unlock()
		switch {
		case err != nil:
			return Page{}, err
		case compacted:
			return Page{}, ErrCompacted
		case len(p.Items) > 0 || timedOut:
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-changed:
		case <-t.C:
			timedOut = true
		}
	}
}

// eventJournal is a journal that keeps the names of events.
type eventJournal struct {
	mu     sync.Mutex
	events []string
}

// Note implements wigeonladder.Journal.
func (n *eventJournal) Note(_, event string, _ ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, event)
}

// has reports whether an event was noted.
func (n *eventJournal) has(event string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.events, event)
}

// follow starts a Follower that copies a store into a map, and returns a
// function that returns the current content of the map.
func follow(ctx context.Context, m Store, o Options) func() map[string]string {
	var mu sync.Mutex
	seen := map[string]string{}
	o.Store = m
	if o.WatchTimeout == 0 {
		o.WatchTimeout = time.Second
	}
	apply := func(items []Item) {
		for _, i := range items {
			if i.Removed {
				delete(seen, i.Key)
			} else {
				seen[i.Key] = string(i.Value)
			}
		}
	}
	o.Reset = func(items []Item) {
		mu.Lock()
		defer mu.Unlock()
		clear(seen)
		apply(items)
	}
	o.Apply = func(items []Item) []Item {
		mu.Lock()
		defer mu.Unlock()
		apply(items)
		return items
	}
	start := time.Now()
	o.Now = func() time.Duration { return time.Since(start) }
	if o.Journal == nil {
		o.Journal = &eventJournal{}
	}
	go Follow(ctx, o)
	return func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		c := map[string]string{}
		for k, v := range seen {
			c[k] = v
		}
		return c
	}
}

// Guards against items that are missed: between pages, in changes, after an
// outage of the store, and after the store compacted the history during the
// outage.
func TestFollowsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, j := newFakeStore(), &eventJournal{}
		for _, k := range []string{"a", "b", "c", "d", "e"} {
			m.put(k, "1")
		}
		seen := follow(t.Context(), m, Options{Journal: j})
		synctest.Wait()
		is.Equal(len(seen()), 5)
		m.put("a", "2")
		m.put("b", "")
		synctest.Wait()
		is.Equal(seen()["a"], "2")
		is.Equal(len(seen()), 4)

		m.setError(errors.New("down"))
		m.put("c", "")
		m.put("f", "1")
		time.Sleep(10 * time.Second)
		is.Equal(seen()["c"], "1")
		is.True(j.has("store_lost"))
		m.compact()
		m.setError(nil)
		time.Sleep(time.Second)
		is.True(j.has("store_regained"))
		is.True(j.has("store_compacted"))
		_, has := seen()["c"]
		is.True(!has)
		is.Equal(seen()["f"], "1")
	})
}

// Guards against a confirmation that is newer than the state that it confirms,
// because it names the end of a call instead of its start, and against
// confirmations that stop while nothing changes.
func TestConfirmsTheStartOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeStore()
		var mu sync.Mutex
		var last time.Duration
		start := time.Now()
		follow(t.Context(), m, Options{OnConfirmed: func(at time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			last = at
		}})
		time.Sleep(10*time.Second + time.Millisecond)
		mu.Lock()
		age := time.Since(start) - last
		mu.Unlock()
		is.True(age >= time.Second)
		is.True(age <= 2*time.Second+time.Millisecond)
		m.setError(errors.New("down"))
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.True(time.Since(start)-last >= 10*time.Second)
	})
}

// Guards against calls without backoff while the store fails.
func TestFailingStoreIsCalledWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFakeStore()
		m.setError(errors.New("down"))
		follow(t.Context(), m, Options{})
		time.Sleep(10 * time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		is.New(t).True(m.calls < 60)
	})
}

// fakePool is a ServerPool that keeps its servers in a map.
type fakePool struct {
	mu      sync.Mutex
	servers map[string]wigeonladder.Instance
	cold    []string
}

// Put implements ServerPool.
func (x *fakePool) Put(i wigeonladder.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.servers[i.ID] = i
}

// Remove implements ServerPool.
func (x *fakePool) Remove(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.servers, id)
}

// MarkCold implements ServerPool.
func (x *fakePool) MarkCold(i wigeonladder.Instance, d time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cold = append(x.cold, fmt.Sprint(i.ID, " ", d))
	return true
}

// has reports whether the pool has a server.
func (x *fakePool) has(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.servers[id]
	return ok
}

// newTestServerList returns a server list and its pool. The key of an entry is
// the ID of its server; the value "bad" cannot be decoded.
func newTestServerList() (*ServerList, *fakePool) {
	x := &fakePool{servers: map[string]wigeonladder.Instance{}}
	return NewServerList(x, func(i Item) (Entry, error) {
		if string(i.Value) == "bad" {
			return Entry{}, errors.New("unreadable")
		}
		return Entry{Instance: wigeonladder.Instance{ID: i.Key, Address: string(i.Value)}}, nil
	}, &eventJournal{}), x
}

// Guards against live servers that are removed because their entries expired
// during an outage of the store, and against removed servers that are kept.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, x := newTestServerList()
		r.Reset([]Item{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}})
		r.StoreRegained(t.Context(), 5*time.Second, func(context.Context) time.Duration { return 0 })
		r.Reset(nil)
		is.True(x.has("a") && x.has("b"))
		time.Sleep(time.Second)
		r.Apply([]Item{{Key: "a", Value: []byte("1")}})
		time.Sleep(2 * time.Second)
		is.True(x.has("a"))
		is.True(!x.has("b"))
		r.Apply([]Item{{Key: "a", Removed: true}})
		is.True(!x.has("a"))
	})
}

// Guards against a server that is created from an entry that cannot be decoded,
// such as that of another writer, or kept after its entry was overwritten with
// such a value.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, x := newTestServerList()
		r.Apply([]Item{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("bad")}})
		is.True(x.has("a"))
		is.True(!x.has("b"))
		r.Apply([]Item{{Key: "a", Value: []byte("bad")}})
		is.True(!x.has("a"))
	})
}

// lossyStore loses one watch: it gets no answer.
type lossyStore struct {
	*fakeStore
	lose atomic.Bool
}

// Watch implements Store.
func (s *lossyStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	if s.lose.CompareAndSwap(true, false) {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// Guards against a change that comes too late because the daemon that reads the store
// for this one stops answering and the first call of the store itself is lost too.
func TestChangeArrivesAfterTwoLostCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			maxApply = 3 * time.Second
			pause    = maxApply * 4 / 10
		)
		s := &lossyStore{fakeStore: newFakeStore()}
		s.put("config", "1")
		relayed := 0
		seen := follow(t.Context(), s, Options{WatchTimeout: 700 * time.Millisecond, WatchPause: pause, Relay: func(ctx context.Context, after, _ int64) (Page, error) {
			if relayed++; relayed == 1 {
				s.lose.Store(true)
				return Page{Revision: after, Relayed: true}, nil
			}
			sleep(ctx, pause+250*time.Millisecond+testRelayMargin)
			return Page{}, errors.New("no answer")
		}})
		synctest.Wait()
		s.put("config", "2")
		time.Sleep(maxApply)
		is.New(t).Equal(seen()["config"], "2")
	})
}
