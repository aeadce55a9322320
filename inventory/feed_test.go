package inventory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Times of the daemons in the tests of feeds: those of a platform that allows 4 s for
// a change and 5 s for a withdrawn key.
const (
	testPause     = 1600 * time.Millisecond
	testWatch     = 700 * time.Millisecond
	testRelayWait = testPause + 250*time.Millisecond
	// testRelayMargin is the time after which a call of a reader that does not answer
	// fails, in addition to the wait.
	testRelayMargin = 150 * time.Millisecond
	maxTestApply    = 4 * time.Second
	maxTestAge      = 3700 * time.Millisecond
)

// countingStore counts the calls of one daemon and lets them fail.
type countingStore struct {
	Store
	mu    sync.Mutex
	calls int
	err   error
}

// Watch implements Store.
func (s *countingStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	s.mu.Lock()
	s.calls++
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return Page{}, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// takeCalls returns the number of calls since the last takeCalls.
func (s *countingStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// cut lets all calls fail, or succeed again.
func (s *countingStore) cut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = nil
	if cut {
		s.err = errors.New("cut off")
	}
}

// feedZone is a zone of daemons that follow one store. The last one that is up reads
// it for the others.
type feedZone struct {
	start   time.Time
	store   *fakeStore
	daemons []*feedDaemon
	random  *rand.Rand
	// delayMax bounds the delay of a message between daemons.
	delayMax time.Duration

	mu sync.Mutex
}

// feedDaemon is one daemon.
type feedDaemon struct {
	zone  *feedZone
	store *countingStore
	feed  *Feed
	seen  func() map[string]string

	mu sync.Mutex
	// confirmedAt is the newest confirmation.
	confirmedAt time.Duration
	// up is true while the daemon answers others.
	up bool
	// reader is the daemon that this one takes for the reader; nil for the last one
	// that is up.
	reader *feedDaemon
}

// now is the clock of all daemons.
func (z *feedZone) now() time.Duration { return time.Since(z.start) }

// newFeedZone starts daemons. The servers send their heartbeats together every 3.1 s.
func newFeedZone(ctx context.Context, n int) *feedZone {
	z := &feedZone{start: time.Now(), store: newFakeStore(), random: rand.New(rand.NewPCG(1, 2))}
	z.store.put("config", "1")
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			sleep(ctx, 3100*time.Millisecond)
			z.store.put("heartbeat", fmt.Sprint(i))
		}
	}()
	for range n {
		d := &feedDaemon{zone: z, store: &countingStore{Store: z.store}, feed: NewFeed(z.now), up: true}
		z.daemons = append(z.daemons, d)
	}
	for _, d := range z.daemons {
		d.seen = follow(ctx, d.store, Options{
			WatchTimeout: testWatch, WatchPause: testPause, Feed: d.feed, Relay: d.relay, OnConfirmed: d.confirm,
		})
	}
	return z
}

// confirm records a confirmation.
func (d *feedDaemon) confirm(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, at)
}

// age returns the time since the newest confirmation.
func (d *feedDaemon) age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zone.now() - d.confirmedAt
}

// setUp lets the daemon answer others, or not.
func (d *feedDaemon) setUp(up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up = up
}

// setReader sets the daemon that this one takes for the reader.
func (d *feedDaemon) setReader(reader *feedDaemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reader = reader
}

// isUp reports whether the daemon answers others.
func (d *feedDaemon) isUp() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.up
}

// relay asks the reader, with messages that are delayed.
func (d *feedDaemon) relay(ctx context.Context, after, era int64) (Page, error) {
	z := d.zone
	d.mu.Lock()
	reader := d.reader
	d.mu.Unlock()
	if reader == nil {
		reader = z.daemons[len(z.daemons)-1]
	}
	if reader == d {
		return Page{}, ErrNoReader
	}
	ctx, cancel := context.WithTimeout(ctx, testRelayWait+testRelayMargin)
	defer cancel()
	z.delay(ctx)
	if !reader.isUp() {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	p, err := reader.feed.Watch(ctx, after, era, testRelayWait)
	z.delay(ctx)
	return p, errors.Join(err, ctx.Err())
}

// delay waits for the time that a message takes.
func (z *feedZone) delay(ctx context.Context) {
	z.mu.Lock()
	d := time.Millisecond
	if z.delayMax > 0 {
		d += time.Duration(z.random.Int64N(int64(z.delayMax)))
	}
	z.mu.Unlock()
	sleep(ctx, d)
}

// wantFollowed asserts for a time that all daemons see a change in time and that their
// confirmations stay young enough.
func (z *feedZone) wantFollowed(t *testing.T, d time.Duration) {
	t.Helper()
	for end, i := z.now()+d, 0; z.now() < end; i++ {
		value := fmt.Sprintf("%v-%d", d, i)
		z.store.put("config", value)
		for put := z.now(); z.now()-put < maxTestApply; {
			time.Sleep(50 * time.Millisecond)
			for n, x := range z.daemons {
				if a := x.age(); a >= maxTestAge {
					t.Fatalf("daemon %d: confirmed %v ago", n, a)
				}
			}
		}
		for n, x := range z.daemons {
			if got := x.seen()["config"]; got != value {
				t.Fatalf("daemon %d: %q after %v, want %q", n, got, maxTestApply, value)
			}
		}
	}
}

// inFeedZone runs a test in a zone whose daemons have run for a while.
func inFeedZone(t *testing.T, n int, test func(*testing.T, *feedZone)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		z := newFeedZone(ctx, n)
		time.Sleep(20 * time.Second)
		test(t, z)
	})
}

// Guards against calls of the store that grow with the daemons of a zone, and against
// changes that come too late over another daemon.
func TestOneDaemonReadsForItsZone(t *testing.T) {
	inFeedZone(t, 6, func(t *testing.T, z *feedZone) {
		is := is.New(t)
		for _, d := range z.daemons {
			d.store.takeCalls()
		}
		z.wantFollowed(t, 60*time.Second)
		for _, d := range z.daemons[:5] {
			is.Equal(d.store.takeCalls(), 0)
		}
		is.True(z.daemons[5].store.takeCalls() <= 60*1000/1600+2)
	})
}

// Guards against changes that come too late and confirmations that grow too old while
// the reader does not answer, does not reach the store, answers late, or lacks the
// history.
func TestDaemonsReadThemselvesWithoutReader(t *testing.T) {
	for name, trouble := range map[string]func(z *feedZone, on bool){
		"frozen":  func(z *feedZone, on bool) { z.daemons[5].setUp(!on) },
		"cut off": func(z *feedZone, on bool) { z.daemons[5].store.cut(on) },
		"late": func(z *feedZone, on bool) {
			z.mu.Lock()
			defer z.mu.Unlock()
			z.delayMax = 0
			if on {
				z.delayMax = time.Second
			}
		},
		"restarted": func(z *feedZone, on bool) {
			if on {
				z.daemons[5].feed.close()
			}
		},
		"compacted": func(z *feedZone, _ bool) { z.store.compact() },
	} {
		t.Run(name, func(t *testing.T) {
			inFeedZone(t, 6, func(t *testing.T, z *feedZone) {
				for range 5 {
					trouble(z, true)
					for _, d := range z.daemons[:5] {
						wantYoung(t, d, 5*time.Second)
					}
					trouble(z, false)
					// The reader itself has not read meanwhile.
					time.Sleep(2 * time.Second)
					z.wantFollowed(t, 12*time.Second)
				}
			})
		})
	}
}

// wantYoung asserts that the confirmations of a daemon stay young enough for a time.
func wantYoung(t *testing.T, d *feedDaemon, limit time.Duration) {
	t.Helper()
	z := d.zone
	value := fmt.Sprintf("young-%v", z.now())
	z.store.put("config", value)
	for put := z.now(); z.now()-put < limit; {
		time.Sleep(50 * time.Millisecond)
		if a := d.age(); a >= maxTestAge {
			t.Fatalf("confirmed %v ago", a)
		}
		if got := d.seen()["config"]; z.now()-put >= maxTestApply && got != value {
			t.Fatalf("%q after %v, want %q", got, maxTestApply, value)
		}
	}
}

// Guards against a confirmation that is newer than the read on which it rests, because
// a message was delayed or because two daemons take each other for the reader: a
// withdrawn key would count for too long.
func TestConfirmationsAreNoNewerThanTheirRead(t *testing.T) {
	for name, prepare := range map[string]func(z *feedZone){
		"delayed": func(*feedZone) {},
		"circular": func(z *feedZone) {
			z.daemons[2].setReader(z.daemons[1])
			z.daemons[1].setReader(z.daemons[2])
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFeedZone(t, 3, func(t *testing.T, z *feedZone) {
				prepare(z)
				z.mu.Lock()
				z.delayMax = 300 * time.Millisecond
				z.mu.Unlock()
				for range 10 {
					time.Sleep(4 * time.Second)
					// Nobody reads the store from now on.
					cutAt := z.now()
					for _, d := range z.daemons {
						d.store.cut(true)
					}
					time.Sleep(5 * time.Second)
					for n, d := range z.daemons {
						if a := d.age(); a < z.now()-cutAt {
							t.Fatalf("daemon %d: confirmed %v ago, nobody has read for %v", n, a, z.now()-cutAt)
						}
					}
					for _, d := range z.daemons {
						d.store.cut(false)
					}
				}
			})
		})
	}
}

// Guards against a history that grows without bound, and against a daemon that takes
// a history with a gap for whole.
func TestFeedHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	f := NewFeed(func() time.Duration { return 0 })
	_, err := f.Watch(t.Context(), 0, 0, 0)
	is.Equal(err, ErrNoFeed)
	f.add(nil, 10, 0, 0)
	for i := range int64(maxFeedItems) + 5 {
		f.add([]Item{{Key: "k", Revision: 11 + i}}, 11+i, 0, 0)
	}
	is.Equal(len(f.history), maxFeedItems)
	_, _, err = f.page(14, 0, 0, 0)
	is.Equal(err, ErrNoFeed)
	p, _, err := f.page(15, 0, 0, 0)
	is.NoErr(err)
	is.Equal(len(p.Items), maxFeedItems)
	is.Equal(p.Items[0].Revision, int64(16))
	for _, era := range []int64{-1, 1} {
		_, _, err = f.page(15, era, 0, 0)
		is.Equal(err, ErrNoFeed)
	}
	f.add([]Item{{Key: "k", Revision: 20}}, 20, 1, 0) // the store came back from a copy
	is.Equal(len(f.history), 0)
	_, _, err = f.page(15, 1, 0, 0)
	is.Equal(err, ErrNoFeed)
}
