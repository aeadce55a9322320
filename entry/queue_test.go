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

// alone runs one daemon with a queue of its own bounds, past the takeover wait.
func alone(t *testing.T, o entry.Options, slots int, f func(*is.I, *life)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigWith(o, 1, slots)
		time.Sleep(2 * time.Second)
		f(is.New(t), r.life(0))
		report(t, r.finish(100*time.Millisecond))
	})
}

// try places one request in the background and returns its error.
func (d *life) try(ctx context.Context, q wigeonladder.Request) <-chan error {
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

// hasCode tests that a request ended with a code.
func hasCode(is *is.I, done <-chan error, c wigeonladder.Code) {
	is.Helper()
	synctest.Wait()
	select {
	case err := <-done:
		is.Equal(entry.CodeOf(err), c)
	default:
		is.Fail() // the request still waits
	}
}

// Guards against requests that wait for what can never serve them.
func TestNothingCouldServe(t *testing.T) {
	alone(t, entry.Options{}, 1, func(is *is.I, d *life) {
		ctx := context.Background()
		hasCode(is, d.try(ctx, wigeonladder.Request{Service: "other"}), wigeonladder.CodeNoService)
		hasCode(is, d.try(ctx, wigeonladder.Request{Model: "huge"}), wigeonladder.CodeNoModel)
		d.node.SetState("scribe-0", wigeonladder.StateLeaving)
		time.Sleep(time.Second)
		hasCode(is, d.try(ctx, wigeonladder.Request{}), wigeonladder.CodeNoServer)
	})
}

// Guards against requests that wait for ever or for a caller who left.
func TestWaitEnds(t *testing.T) {
	alone(t, entry.Options{MaxWait: time.Second}, 1, func(is *is.I, d *life) {
		c, err := d.queue.Place(context.Background(), wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		left := d.try(ctx, wigeonladder.Request{Workspace: "b"})
		late := d.try(context.Background(), wigeonladder.Request{Workspace: "b"})
		cancel()
		hasCode(is, left, wigeonladder.CodeCallerGone)
		time.Sleep(time.Second)
		hasCode(is, late, wigeonladder.CodeWaitTooLong)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
	})
}

// Guards against a flood of one workspace, or of urgent work, that has the
// requests of others refused.
func TestFullQueueRefusesTheFlood(t *testing.T) {
	alone(t, entry.Options{MaxWaiting: 4}, 1, func(is *is.I, d *life) {
		ctx, cancel := context.WithCancel(context.Background())
		c, err := d.queue.Place(ctx, wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		var flood []<-chan error
		for i := range 4 {
			u := wigeonladder.Urgency(i % 2)
			flood = append(flood, d.try(ctx, wigeonladder.Request{ID: fmt.Sprint("f", i), Workspace: "flood", Urgency: u}))
		}
		small := d.try(ctx, wigeonladder.Request{Workspace: "small"})
		hasCode(is, flood[2], wigeonladder.CodeQueueFull) // the newest of the least urgent
		urgent := d.try(ctx, wigeonladder.Request{Workspace: "flood", Urgency: wigeonladder.UrgencyHigh})
		hasCode(is, flood[0], wigeonladder.CodeQueueFull)
		batch := d.try(ctx, wigeonladder.Request{Workspace: "flood", Urgency: wigeonladder.UrgencyBatch})
		err = <-batch
		is.Equal(entry.CodeOf(err), wigeonladder.CodeQueueFull)
		var refusal *wigeonladder.Error
		is.True(errors.As(err, &refusal) && refusal.RetryAfter > 0)
		is.Equal(len(small)+len(urgent), 0) // both wait on
		cancel()
		hasCode(is, small, wigeonladder.CodeCallerGone)
		hasCode(is, urgent, wigeonladder.CodeCallerGone)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
	})
}

// Guards against a contract that is used late, twice, or on a leaving server.
func TestCheckAtTheLastStep(t *testing.T) {
	alone(t, entry.Options{}, 3, func(is *is.I, d *life) {
		place := func() wigeonladder.Contract {
			c, err := d.queue.Place(context.Background(), wigeonladder.Request{Service: "nib-scribe"})
			is.NoErr(err)
			return c
		}
		fresh, late, recalled := place(), place(), place()
		is.NoErr(d.queue.CheckBeforeSend(fresh))
		is.NoErr(d.queue.Recall(context.Background(), []wigeonladder.ContractID{fresh.ID, recalled.ID}))
		is.NoErr(d.queue.CheckBeforeSend(fresh)) // in use
		is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(recalled)), wigeonladder.CodeContractLate)
		time.Sleep(wigeonladder.ContractUseTimeout + time.Millisecond)
		is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(late)), wigeonladder.CodeContractLate)
		for _, c := range []wigeonladder.Contract{fresh, late, recalled} {
			d.queue.Release(c, wigeonladder.Usage{})
			is.Equal(entry.CodeOf(d.queue.CheckBeforeSend(c)), wigeonladder.CodeContractLate)
		}
	})
}

// Guards against a contract that arrives after its recall and is used.
func TestRecallOvertakesGrant(t *testing.T) {
	alone(t, entry.Options{}, 1, func(is *is.I, d *life) {
		ctx := context.Background()
		c, err := d.queue.Place(ctx, wigeonladder.Request{Service: "nib-scribe", Workspace: "a"})
		is.NoErr(err)
		waits := d.try(ctx, wigeonladder.Request{Workspace: "b"})
		grant := wigeonladder.Contract{
			ID: wigeonladder.ContractID{HomeIncarnation: "late", Number: 1}, Server: "scribe-0", Service: "nib-scribe", Workspace: "b",
		}
		is.NoErr(d.queue.Recall(ctx, []wigeonladder.ContractID{grant.ID}))
		is.NoErr(d.queue.Grant(ctx, []wigeonladder.Contract{grant}))
		synctest.Wait()
		is.Equal(len(waits), 0)
		d.queue.Release(c, wigeonladder.Usage{Cost: 1})
		hasCode(is, waits, wigeonladder.CodeOK) // placed by a real grant
	})
}

// Guards against requests held by a home that does not answer.
func TestDeadHomeDoesNotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(3, 2, 2, 2)
		time.Sleep(2 * time.Second)
		r.idling.Store(true)
		r.daemons["vm-1"].close() // stuck, and not yet noticed by the others
		for i := range 4 {
			r.submit(fmt.Sprint("r", i), job{Daemon: 0, Runs: 100 * time.Millisecond, Cost: 1})
		}
		r.work.Wait()
		t.Logf("longest wait %v", r.longest)
		is.True(r.longest <= 250*time.Millisecond+10*oneWay+100*time.Millisecond)
		is.Equal(r.codes[wigeonladder.CodeOK], 4)
		r.daemons["vm-1"].open()
		report(t, r.finish(8*time.Second))
	})
}

// Guards against a prefix that wanders over servers, and against a request
// that waits for its preferred server while another is free.
func TestPrefixAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1, 1, 1)
		time.Sleep(2 * time.Second)
		place := func(prefix uint64) wigeonladder.Contract {
			c, err := r.life(0).queue.Place(context.Background(),
				wigeonladder.Request{Service: "nib-scribe", Workspace: "a", PrefixHash: prefix})
			is.NoErr(err)
			return c
		}
		done := func(c wigeonladder.Contract) { r.life(0).queue.Release(c, wigeonladder.Usage{Cost: 1}) }
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

// Measures the calls that leave a daemon for each request; docs/design.md,
// section 3.3, gives ask, answer and release for an unqueued request and a
// shared report, grant and release for a queued one. Guards against chatter.
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
				before := r.sent()
				for i := range 300 {
					r.submit(fmt.Sprint("r", i), job{
						At: time.Duration(i) * c.every, Daemon: 2, Runs: c.runs, Cost: 1, Workspace: i % 5,
					})
				}
				r.work.Wait()
				calls := float64(r.sent()-before) / 300
				t.Logf("%.2f crossings for each request (a call and its answer are two)", calls)
				is.True(calls <= 2*c.most)
				report(t, r.finish(time.Second))
			})
		})
	}
}

// sent returns the crossings of all daemons.
func (r *rig) sent() int {
	n := 0
	for name := range r.daemons {
		n += r.links.Sent(name)
	}
	return n
}
