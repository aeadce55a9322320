package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// Guards against a rate that follows an overload for longer than a second or two, or that
// a single call sets.
func TestRateFollowsLoad(t *testing.T) {
	is := is.New(t)
	var r Rate
	now := start
	add := func(d time.Duration, perSecond int64) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			r.Add(now, perSecond/100)
		}
	}
	r.Add(now, 1000000)
	is.Equal(r.PerSecond(now), 0.0)
	add(10*time.Second, 1000)
	is.True(r.PerSecond(now) > 900 && r.PerSecond(now) < 1200)
	add(500*time.Millisecond, 10000)
	is.True(r.PerSecond(now) > 9000)
	add(3*time.Second, 1000)
	is.True(r.PerSecond(now) < 1600)
	is.True(!r.Idle(now))
	is.True(r.Idle(now.Add(time.Minute)))
}

// busy returns a backlog whose calls have been placed at 1000 units a second, and in which
// calls of 300 units wait.
func busy() (*Backlog, time.Time) {
	b := &Backlog{}
	now := start
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		b.Place(now, 10)
	}
	b.Enter(300)
	return b, now
}

// Guards against an expected wait that ignores the calls ahead, the turns of other
// workspaces, or a queue that does not move.
func TestWait(t *testing.T) {
	b, now := busy()
	is := is.New(t)
	near := func(got, want time.Duration) { is.Helper(); is.True(got > want*8/10 && got < want*12/10) }
	near(b.Wait(now, Service{}), 300*time.Millisecond)
	near(b.Wait(now, Service{Placed: 9000, Backlogged: 3, Turns: true}), 100*time.Millisecond)
	near(b.Wait(now, Service{Placed: 9000, Backlogged: 3}), 300*time.Millisecond)
	near(b.Wait(now, Service{MinRate: 6000, Backlogged: 2}), 100*time.Millisecond)
	near(b.Wait(now, Service{Oldest: time.Second}), time.Second)
	b.Leave(300)
	is.Equal(b.Wait(now, Service{}), time.Duration(0))
	is.Equal((&Backlog{waiting: 1}).Wait(now, Service{}), maxTime)
}

// Guards against refused calls that come back all at once, before those that were refused
// earlier, or before there is room.
func TestRefusedCallsReturnInTurn(t *testing.T) {
	b, now := busy()
	is := is.New(t)
	last := time.Duration(0)
	for i := range 20 {
		d := b.RetryDelay(now, Service{}, 100, 50*time.Millisecond, 1500*time.Millisecond)
		is.True(d >= 250*time.Millisecond && d <= 1500*time.Millisecond)
		if i > 0 && d < 1500*time.Millisecond {
			is.True(d >= last+80*time.Millisecond)
		}
		is.True(d >= last)
		last = d
	}
	is.Equal(last, 1500*time.Millisecond)
	later := b.RetryDelay(now.Add(10*time.Second), Service{MinRate: 1000}, 100, 50*time.Millisecond, 1500*time.Millisecond)
	is.True(later < 400*time.Millisecond)

	// Nothing was placed yet, so that no rate is known.
	first := &Backlog{}
	first.RetryDelay(now, Service{}, 100, 50*time.Millisecond, 1500*time.Millisecond)
	is.Equal(first.RetryDelay(now.Add(5*time.Second), Service{MinRate: 1000}, 100, 50*time.Millisecond, 1500*time.Millisecond), 50*time.Millisecond)
}
