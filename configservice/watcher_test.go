package configservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// fakePlatform is a fake platform in virtual time. It can serve an older state, as a
// stale replica does, or fail.
type fakePlatform struct {
	mu       sync.Mutex
	document []byte
	revision uint64
	live     wigeonladder.LiveList
	down     bool
	// answersAtOnce makes long polls return at once, also without a change.
	answersAtOnce bool
	calls         []time.Time
	changed       chan struct{}
}

func newFakePlatform() *fakePlatform { return &fakePlatform{changed: make(chan struct{})} }

func (s *fakePlatform) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish sets the document. One that is not valid is rejected by parse.
func (s *fakePlatform) publish(revision uint64, valid bool) {
	s.set(func() { s.document, s.revision = document(revision, valid), revision })
}

func document(revision uint64, valid bool) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"valid":%v}`, revision, valid)
}

func parse(data []byte) (wigeonladder.Config, error) {
	var d struct {
		Revision uint64
		Valid    bool
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return wigeonladder.Config{}, err
	}
	if !d.Valid {
		return wigeonladder.Config{}, errors.New("invalid")
	}
	return wigeonladder.Config{Revision: d.Revision}, nil
}

// wait blocks as a long poll does: until there is a change, the wait is over or
// the context ends.
func (s *fakePlatform) wait(ctx context.Context, wait time.Duration, isNewer func() bool) error {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	s.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		down, done, changed := s.down, isNewer() || s.answersAtOnce, s.changed
		s.mu.Unlock()
		if down {
			return errors.New("down")
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *fakePlatform) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	err := s.wait(ctx, wait, func() bool { return s.revision > above })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, err
}

func (s *fakePlatform) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	err := s.wait(ctx, wait, func() bool { return s.live.Version > above })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live, err
}

// peakCalls returns the largest number of calls that started within one second.
func (s *fakePlatform) peakCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := slices.Clone(s.calls)
	slices.SortFunc(calls, time.Time.Compare)
	best, from := 0, 0
	for i, c := range calls {
		for c.Sub(calls[from]) >= time.Second {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

func (s *fakePlatform) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// eventCounter is a journal that counts events by name.
type eventCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (n *eventCounter) Note(_, event string, _ ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts[event]++
}

// withWatcher runs a test with one Watcher in virtual time.
func withWatcher(t *testing.T, test func(*is.I, *fakePlatform, *Watcher, *eventCounter)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, n := newFakePlatform(), &eventCounter{counts: map[string]int{}}
		w := NewWatcher(ctx, Options{Platform: s, Parse: parse, Journal: n, Seed: seed(t)})
		test(is.New(t), s, w, n)
		cancel()
		w.Wait()
	})
}

func seed(t *testing.T) uint64 {
	v := rand.Uint64()
	t.Logf("seed %d", v)
	return v
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against losing the configuration in an outage of the platform, against
// calls without backoff during it, and against a late recovery afterwards.
func TestOutageOfAnHour(t *testing.T) {
	withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, n *eventCounter) {
		s.publish(1, true)
		is.NoErr(w.WaitReady(context.Background()))
		s.set(func() { s.down = true })
		before := s.callCount()
		advance(time.Hour)
		is.Equal(w.Config().Revision, uint64(1))
		is.True(w.Dump().ConfigError != "")
		is.True(s.callCount()-before < 2*3600/5) // at most one call in 5 s for each read
		is.Equal(n.counts["platform fails"], 2)  // recorded once for each read
		s.publish(2, true)
		s.set(func() { s.down = false })
		advance(backoffMax)
		is.Equal(w.Config().Revision, uint64(2))
		is.Equal(w.Dump().ConfigError, "")
	})
}

// Guards against a stale replica of the platform that reverts an accepted
// revision or list, or that is polled in a tight loop because it answers at
// once.
func TestStaleReplica(t *testing.T) {
	for _, answersAtOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("answers at once %v", answersAtOnce), func(t *testing.T) {
			withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, _ *eventCounter) {
				s.publish(5, true)
				s.set(func() { s.live.Version = 9 })
				advance(maxStartDelay)
				s.publish(4, true)
				s.set(func() { s.live.Version, s.answersAtOnce = 8, answersAtOnce })
				before := s.callCount()
				advance(10 * time.Minute)
				is.Equal(w.Config().Revision, uint64(5))
				is.Equal(w.Live().Version, uint64(9))
				is.True(s.callCount()-before < 2*600/5) // no tight loop, even if the replica does not wait
				s.publish(6, true)
				advance(backoffMax)
				is.Equal(w.Config().Revision, uint64(6))
			})
		})
	}
}

// Guards against missing a change that is published while an earlier one is
// being fetched.
func TestTwoChangesCloseTogether(t *testing.T) {
	withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, _ *eventCounter) {
		s.publish(1, true)
		advance(maxStartDelay + minPollInterval)
		changed := w.Changed()
		s.publish(2, true)
		advance(time.Millisecond)
		<-changed
		s.publish(3, true)
		advance(minPollInterval)
		is.Equal(w.Config().Revision, uint64(3))
		is.Equal(w.Document(), document(3, true))
	})
}

// Guards against an invalid revision that takes effect, prevents the next valid
// one, or is requested again and again.
func TestInvalidRevisionBetweenValidOnes(t *testing.T) {
	withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, n *eventCounter) {
		s.publish(1, true)
		advance(maxStartDelay + minPollInterval)
		s.publish(2, false)
		before := s.callCount()
		advance(10 * time.Minute)
		is.Equal(w.Config().Revision, uint64(1))
		is.Equal(w.Dump().Rejected.Revision, uint64(2))
		is.Equal(n.counts["config rejected"], 1)
		is.True(s.callCount()-before <= 2*600/30+2) // long polls only
		is.True(w.ApplyPeerDocument(document(2, false)) != nil)
		is.Equal(n.counts["config rejected"], 1)
		s.publish(3, true)
		advance(minPollInterval)
		is.Equal(w.Config().Revision, uint64(3))
	})
}

// Guards against polling in a tight loop when the document has no readable
// revision, so that the next poll cannot ask for a higher one.
func TestUnreadableDocument(t *testing.T) {
	withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, n *eventCounter) {
		s.set(func() { s.document, s.revision = []byte("{"), 1 })
		advance(10 * time.Minute)
		is.Equal(n.counts["config rejected"], 1)
		is.True(s.callCount() < 2*600/5)
		s.publish(2, true)
		advance(backoffMax)
		is.Equal(w.Config().Revision, uint64(2))
	})
}

// Guards against a race between documents from peers and from the platform
// after which a lower revision than the highest is in force, or in which a
// reader sees the revision decrease.
func TestPeerDocumentsRaceWithPlatform(t *testing.T) {
	withWatcher(t, func(is *is.I, s *fakePlatform, w *Watcher, _ *eventCounter) {
		r := rand.New(rand.NewPCG(seed(t), 0))
		var peers sync.WaitGroup
		for range 4 {
			order := r.Perm(50)
			peers.Go(func() {
				for _, n := range order {
					_ = w.ApplyPeerDocument(document(uint64(n+1), (n+1)%7 != 0))
					time.Sleep(time.Duration(n) * time.Millisecond)
				}
			})
		}
		peers.Go(func() {
			var last uint64
			for range 2000 {
				c := w.Config().Revision
				is.True(c >= last) // a revision never goes back
				last = c
				time.Sleep(time.Millisecond)
			}
		})
		for n := range uint64(50) {
			s.publish(n+1, (n+1)%7 != 0)
			time.Sleep(20 * time.Millisecond)
		}
		peers.Wait()
		advance(backoffMax)
		is.Equal(w.Config().Revision, uint64(50))
	})
}

// Guards against more calls in a second than the platform allows: when all
// daemons start at once, when many changes follow each other, and when the
// platform recovers from an outage.
func TestCallsOfAFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, maxCallsPerSecond = 390, 2000
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakePlatform()
		s.publish(1, true)
		s.set(func() { s.live.Version = 1 })
		first := seed(t)
		var all []*Watcher
		for i := range uint64(daemons) {
			all = append(all, NewWatcher(ctx, Options{Platform: s, Parse: parse, Seed: first + i}))
		}
		check := func(phase string) {
			synctest.Wait()
			t.Logf("%s: at most %d calls in a second", phase, s.peakCalls())
			is.True(s.peakCalls()+2*daemons < maxCallsPerSecond) // with each waiting read counted once more
			s.set(func() { s.calls = nil })
		}
		advance(time.Minute)
		check("start")
		for n := range uint64(100) {
			s.publish(n+2, true)
			s.set(func() { s.live.Version = n + 2 })
			time.Sleep(50 * time.Millisecond)
		}
		advance(time.Minute)
		check("changes in a row")
		s.set(func() { s.down = true })
		advance(10 * time.Minute)
		s.publish(200, true)
		s.set(func() { s.down = false })
		advance(time.Minute)
		check("outage and return")
		for _, w := range all {
			is.Equal(w.Config().Revision, uint64(200))
		}
		cancel()
		for _, w := range all {
			w.Wait()
		}
	})
}

// Guards against polling the platform before the peers were asked, which may
// put a stale revision in force.
func TestPollingWaitsForStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, startPolling := newFakePlatform(), make(chan struct{})
		s.publish(1, true)
		w := NewWatcher(ctx, Options{Platform: s, Parse: parse, Seed: seed(t), StartPolling: startPolling})
		advance(time.Hour)
		is.Equal(s.callCount(), 0)
		is.NoErr(w.ApplyPeerDocument(document(3, true)))
		close(startPolling)
		advance(time.Minute)
		is.Equal(w.Config().Revision, uint64(3))
		cancel()
		w.Wait()
		is.NoErr(w.WaitReady(ctx)) // an ended context is no error once a configuration is in force
	})
}
