package entry_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/entry"
)

// runOneDaemon runs a test with one daemon whose queue has the given bounds,
// after the takeover delay.
func runOneDaemon(t *testing.T, o entry.Options, slots int, f func(*is.I, *daemonRun)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigWith(o, 1, slots)
		time.Sleep(2 * time.Second)
		f(is.New(t), r.currentRun(0))
		report(t, r.finish(100*time.Millisecond))
	})
}

// placeInBackground places one request in the background. Its error arrives on
// the returned channel.
func (d *daemonRun) placeInBackground(ctx context.Context, q wigeonladder.Request) <-chan error {
	done := make(chan error, 1)
	if q.Service == "" {
		q.Service = "nib-scribe"
	}
	go func() {
		c, err := d.queue.Place(ctx, q)
		if err == nil {
			d.queue.Release(c, wigeonladder.Usage{Cost: 1})
		}
		done <- err
	}()
	synctest.Wait()
	return done
}

// expectCode checks that a request ended with a code.
func expectCode(is *is.I, done <-chan error, c wigeonladder.Code) {
	is.Helper()
	synctest.Wait()
	select {
	case err := <-done:
		is.Equal(entry.CodeOf(err), c)
	default:
		is.Fail() // the request still waits
	}
}

// Guards against requests that wait although no server can serve them.
func TestUnservableRequestIsRefused(t *testing.T) {
	runOneDaemon(t, entry.Options{}, 1, func(is *is.I, d *daemonRun) {
		ctx := context.Background()
		expectCode(is, d.placeInBackground(ctx, wigeonladder.Request{Service: "other"}), wigeonladder.CodeNoService)
		expectCode(is, d.placeInBackground(ctx, wigeonladder.Request{Model: "huge"}), wigeonladder.CodeNoModel)
		d.node.SetState("scribe-0", wigeonladder.StateLeaving)
		time.Sleep(time.Second)
		expectCode(is, d.placeInBackground(ctx, wigeonladder.Request{}), wigeonladder.CodeNoServer)
	})
}

// Guards against requests that wait without end, or for a caller who left.
func TestWaitEnds(t *testing.T) {
	runOneDaemon(t, entry.Options{MaxWait: time.Second}, 1, func(is *is.I, d *daemonRun) {
		c, err := d.queue.Place(context.Background(), wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		left := d.placeInBackground(ctx, wigeonladder.Request{Workspace: "b"})
		late := d.placeInBackground(context.Background(), wigeonladder.Request{Workspace: "b"})
		cancel()
		expectCode(is, left, wigeonladder.CodeCallerGone)
		time.Sleep(time.Second)
		expectCode(is, late, wigeonladder.CodeWaitTooLong)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
	})
}

// Guards against a flood of requests of one workspace, or of urgent ones, that
// has the requests of other workspaces refused.
func TestFullQueueRefusesLongestQueue(t *testing.T) {
	runOneDaemon(t, entry.Options{MaxWaiting: 4}, 1, func(is *is.I, d *daemonRun) {
		ctx, cancel := context.WithCancel(context.Background())
		c, err := d.queue.Place(ctx, wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		var flood []<-chan error
		for i := range 4 {
			u := wigeonladder.Urgency(i % 2)
			flood = append(flood, d.placeInBackground(ctx, wigeonladder.Request{ID: fmt.Sprint("f", i), Workspace: "flood", Urgency: u}))
		}
		small := d.placeInBackground(ctx, wigeonladder.Request{Workspace: "small"})
		expectCode(is, flood[2], wigeonladder.CodeQueueFull) // the newest of the least urgent
		urgent := d.placeInBackground(ctx, wigeonladder.Request{Workspace: "flood", Urgency: wigeonladder.UrgencyHigh})
		expectCode(is, flood[0], wigeonladder.CodeQueueFull)
		batch := d.placeInBackground(ctx, wigeonladder.Request{Workspace: "flood", Urgency: wigeonladder.UrgencyBatch})
		err = <-batch
		is.Equal(entry.CodeOf(err), wigeonladder.CodeQueueFull)
		var refusal *wigeonladder.Error
		is.True(errors.As(err, &refusal) && refusal.RetryAfter > 0)
		is.Equal(len(small)+len(urgent), 0) // both still wait
		cancel()
		expectCode(is, small, wigeonladder.CodeCallerGone)
		expectCode(is, urgent, wigeonladder.CodeCallerGone)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
	})
}

// Guards against a contract that is used too late, after its recall or after
// its release.
func TestCheckBeforeSend(t *testing.T) {
	runOneDaemon(t, entry.Options{}, 3, func(is *is.I, d *daemonRun) {
		place := func() wigeonladder.Contract {
			c, err := d.queue.Place(context.Background(), wigeonladder.Request{Service: "nib-scribe"})
			is.NoErr(err)
			return c
		}
		fresh, late, recalled := place(), place(), place()
		is.NoErr(d.queue.CheckBeforeSend(fresh))
		is.NoErr(d.queue.Recall(context.Background(), []wigeonladder.ContractID{fresh.ID, recalled.ID}))
		is.NoErr(d.queue.CheckBeforeSend(fresh)) // in use, so that the recall has no effect
		is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(recalled)), wigeonladder.CodeContractLate)
		time.Sleep(wigeonladder.ContractUseTimeout + time.Millisecond)
		is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(late)), wigeonladder.CodeContractLate)
		for _, c := range []wigeonladder.Contract{fresh, late, recalled} {
			d.queue.Release(c, wigeonladder.Usage{})
			is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(c)), wigeonladder.CodeContractLate)
		}
	})
}

// Guards against the use of a contract whose recall arrived before the
// contract.
func TestRecallOvertakesGrant(t *testing.T) {
	runOneDaemon(t, entry.Options{}, 1, func(is *is.I, d *daemonRun) {
		ctx := context.Background()
		c, err := d.queue.Place(ctx, wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		waits := d.placeInBackground(ctx, wigeonladder.Request{Workspace: "b"})
		grant := wigeonladder.Contract{
			ID: wigeonladder.ContractID{HomeIncarnation: "late", Number: 1}, Server: "scribe-0", Service: "nib-scribe", Workspace: "b",
		}
		is.NoErr(d.queue.Recall(ctx, []wigeonladder.ContractID{grant.ID}))
		is.NoErr(d.queue.Grant(ctx, []wigeonladder.Contract{grant}))
		synctest.Wait()
		is.Equal(len(waits), 0)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
		expectCode(is, waits, wigeonladder.CodeOK) // placed by a real grant
	})
}

// Guards against requests that are held up by a home that does not answer.
func TestUnresponsiveHomeDoesNotDelayRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(3, 2, 2, 2)
		time.Sleep(2 * time.Second)
		r.idleSlotsAllowed.Store(true)
		r.daemons["vm-1"].close() // paused, which the others have not noticed yet
		for i := range 4 {
			r.submit(fmt.Sprint("r", i), job{Daemon: 0, Runs: 100 * time.Millisecond, Cost: 1})
		}
		r.work.Wait()
		t.Logf("longest wait %v", r.longestWait)
		is.True(r.longestWait <= 250*time.Millisecond+10*zoneDelay+100*time.Millisecond)
		is.Equal(r.codes[wigeonladder.CodeOK], 4)
		r.daemons["vm-1"].open()
		report(t, r.finish(8*time.Second))
	})
}

// Guards against requests with the same prefix that move between servers
// without need, and against a request that waits for its preferred server while
// another one is free.
func TestPrefixAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1, 1, 1)
		time.Sleep(2 * time.Second)
		place := func(prefix uint64) wigeonladder.Contract {
			c, err := r.currentRun(0).queue.Place(context.Background(),
				wigeonladder.Request{Service: "nib-scribe", Workspace: "a", PrefixHash: prefix})
			is.NoErr(err)
			return c
		}
		done := func(c wigeonladder.Contract) { r.currentRun(0).queue.Release(c, wigeonladder.Usage{Cost: 1}) }
		other, first := place(0), place(7)
		done(first)
		done(other)
		again := place(7)
		is.Equal(again.Server, first.Server)
		elsewhere := place(7) // the preferred server has no free slot
		is.True(elsewhere.Server != first.Server)
		done(again)
		done(elsewhere)
		report(t, r.finish(0))
	})
}

// Guards against more calls between daemons than a request needs: slot request,
// offer and release for an unqueued one, and a shared report, grant and release
// for a queued one (docs/design.md, section 3.3).
func TestCallsPerRequest(t *testing.T) {
	cases := []struct {
		name   string
		every  time.Duration
		runs   time.Duration
		most   float64
		daemon int
	}{
		{"unqueued", 100 * time.Millisecond, 50 * time.Millisecond, 3.2, 1},
		{"queued", 20 * time.Millisecond, 100 * time.Millisecond, 6, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(3, 2, 1)
				time.Sleep(2 * time.Second)
				before := r.crossings()
				for i := range 300 {
					r.submit(fmt.Sprint("r", i), job{
						At: time.Duration(i) * c.every, Daemon: 2, Runs: c.runs, Cost: 1, Workspace: i % 5,
					})
				}
				r.work.Wait()
				calls := float64(r.crossings()-before) / 300
				t.Logf("%.2f crossings for each request (a call and its answer are two)", calls)
				is.True(calls <= 2*c.most)
				report(t, r.finish(time.Second))
			})
		})
	}
}

// crossings returns the number of messages that all daemons sent.
func (r *rig) crossings() int {
	n := 0
	for name := range r.daemons {
		n += r.links.SentMessages(name)
	}
	return n
}
