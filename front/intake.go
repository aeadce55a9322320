package front

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/conn"
)

const (
	// maxIntakeWait is the time after which a request that still waits to be read is
	// refused. Callers abandon requests that are not read within a third of their time.
	maxIntakeWait = 250 * time.Millisecond
	// busyIntakeWait is the wait from which new connections are refused.
	busyIntakeWait = maxIntakeWait / 2
	// intakeDelayPeriod is the time constant of the mean wait.
	intakeDelayPeriod = 200 * time.Millisecond
)

// Intake delays new requests so that work in progress runs first. The runtime schedules
// goroutines in FIFO order: in a flood of requests, closed connections, answers of backend
// servers and updates of the store would be queued behind every readable request. The
// Intake admits one request in each round of the scheduler. It is safe for concurrent use.
type Intake struct {
	ctx context.Context
	// limit is the number of requests that may wait; 0 for no bound.
	limit int
	// wake tells the goroutine of the intake that a request waits.
	wake chan struct{}

	mu      sync.Mutex
	waiting []*turn
	// delay is the mean wait as of delayAt.
	delay   time.Duration
	delayAt time.Time
}

// turn is the wait of one request.
type turn struct {
	since time.Time
	// passed receives whether the request may be read.
	passed chan bool
}

// NewIntake returns an intake in which up to limit requests may wait; 0 sets no bound. It
// passes requests until the context ends.
func NewIntake(ctx context.Context, limit int) *Intake {
	q := &Intake{ctx: ctx, limit: limit, wake: make(chan struct{}, 1)}
	go q.run()
	return q
}

// run passes requests until the context ends.
func (q *Intake) run() {
	y := conn.NewYielder()
	defer y.Close()
	for q.ctx.Err() == nil {
		t := q.next()
		if t == nil {
			select {
			case <-q.ctx.Done():
			case <-q.wake:
			}
			continue
		}
		wait := time.Since(t.since)
		q.record(wait)
		t.passed <- wait <= maxIntakeWait
		if wait <= maxIntakeWait {
			y.Yield()
		}
	}
}

// Enter waits until a request may be read, and returns how long that took. It reports
// false if the request is to be refused, because too many wait or it has waited too long.
func (q *Intake) Enter() (wait time.Duration, ok bool) {
	t := &turn{since: time.Now(), passed: make(chan bool, 1)}
	if !q.add(t) {
		return 0, false
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case ok = <-t.passed:
		return time.Since(t.since), ok
	case <-q.ctx.Done():
		return time.Since(t.since), false
	}
}

// add adds a request to those that wait. It reports false if too many do.
func (q *Intake) add(t *turn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limit > 0 && len(q.waiting) >= q.limit {
		return false
	}
	q.waiting = append(q.waiting, t)
	return true
}

// next removes the request that has waited longest; nil if none waits.
func (q *Intake) next() *turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return nil
	}
	t := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return t
}

// record adds a wait to the mean.
func (q *Intake) record(wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.delay = q.decayed(now) + time.Duration((1-q.weight(now))*float64(wait))
	q.delayAt = now
}

// weight returns the weight that the mean still has.
func (q *Intake) weight(now time.Time) float64 {
	return math.Exp(-now.Sub(q.delayAt).Seconds() / intakeDelayPeriod.Seconds())
}

// decayed returns the part of the mean that is left without new requests.
func (q *Intake) decayed(now time.Time) time.Duration {
	return time.Duration(q.weight(now) * float64(q.delay))
}

// Busy reports whether requests on new connections would probably have to be refused.
func (q *Intake) Busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit > 0 && len(q.waiting) >= q.limit || q.currentDelay(time.Now()) >= busyIntakeWait
}

// Delay returns the time for which requests wait to be read: the mean of late, or the
// time for which the first one has waited if that is longer.
func (q *Intake) Delay() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.currentDelay(time.Now())
}

// currentDelay implements Delay with the lock held.
func (q *Intake) currentDelay(now time.Time) time.Duration {
	d := q.decayed(now)
	if len(q.waiting) > 0 {
		d = max(d, now.Sub(q.waiting[0].since))
	}
	return d
}
