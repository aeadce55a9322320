package demo

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// samplePeriod is the time between two samples of a Recorder, in time of the
// workload.
const samplePeriod = time.Second

// Recorder hears of every request of a run and samples the received service.
// It is safe for concurrent use.
type Recorder struct {
	weight func(workspace string) float64

	mu       sync.Mutex
	workload Workload
	began    time.Time
	ended    time.Time
	samples  int
	books    map[bookKey]*book
}

type bookKey struct{ service, workspace string }

// book is what is recorded of one workspace at one service.
type book struct {
	received int64
	waiting  int
	since    time.Time
	// idle is true if nothing waited at some time since the last sample.
	idle bool
	// rows begins with the state at the start of the run.
	rows []sample

	offered   int64 // cost of the requests first sent while measuring
	delivered int64 // part of it that was delivered
	endless   bool
	served    int
	refused   int
	failed    int
	unended   int
	worst     time.Duration
	// turn is when work last began, or when work began to wait after that.
	turn time.Time
	// stall is the longest time in which work waited and none began.
	stall time.Duration
}

// sample is the state at one point of time.
type sample struct {
	received int64
	// backlogged is true if work waited all the time since the last sample.
	backlogged bool
}

// NewRecorder returns a recorder that takes the weights from rules.
func NewRecorder(r wigeonladder.Rules) *Recorder {
	weights := map[string]float64{}
	for _, s := range r.Shares {
		weights[s.Workspace] = float64(s.Weight)
	}
	weight := func(workspace string) float64 {
		if w, ok := weights[workspace]; ok {
			return w
		}
		return 1
	}
	return &Recorder{weight: weight, books: map[bookKey]*book{}}
}

func (r *Recorder) begin(w Workload, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload, r.began = w, at
	for _, x := range w.Sources {
		b := r.book(x.Service, x.Workspace)
		b.since = at
		b.rows = make([]sample, 1)
		if x.Clients > 0 {
			b.endless = true
		}
	}
}

func (r *Recorder) end(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(at)
	r.ended = at
}

func (r *Recorder) book(service, workspace string) *book {
	k := bookKey{service, workspace}
	b := r.books[k]
	if b == nil {
		b = &book{}
		r.books[k] = b
	}
	return b
}

// advance takes the samples that are due. Nothing changed since the last call,
// so they all see the same state.
func (r *Recorder) advance(now time.Time) {
	step := r.workload.real(samplePeriod)
	for {
		due := r.began.Add(time.Duration(r.samples+1) * step)
		if now.Before(due) {
			return
		}
		r.samples++
		for _, b := range r.books {
			b.sample(due)
		}
	}
}

func (b *book) sample(at time.Time) {
	b.note(at)
	b.rows = append(b.rows, sample{b.received, !b.idle})
	b.idle = false
}

// note ends a time without change of the waiting number.
func (b *book) note(now time.Time) {
	if b.waiting == 0 && now.After(b.since) {
		b.idle = true
	}
	b.since = now
}

// measuring reports whether a time is in the measured part of the run.
func (r *Recorder) measuring(at time.Time) bool {
	t := at.Sub(r.began)
	return t >= r.workload.real(r.workload.WarmUp) && t < r.workload.real(r.workload.SendDuration())
}

// over reports whether the drain time is over.
func (r *Recorder) over(at time.Time) bool {
	return at.Sub(r.began) >= r.workload.real(r.workload.SendDuration()+r.workload.DrainTime)
}

// open records a request that was just sent.
func (r *Recorder) open(x item) *track {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.advance(now)
	t := &track{recorder: r, book: r.book(x.request.Service, x.request.Workspace), sent: now, counts: r.measuring(now)}
	t.book.note(now)
	if t.book.waiting == 0 {
		t.book.turn = now
	}
	t.book.waiting++
	if t.counts {
		t.book.offered += x.cost
	}
	return t
}

// track is one request. It implements wigeonladder.Sink.
type track struct {
	recorder *Recorder
	book     *book
	sent     time.Time
	counts   bool
	started  bool
}

// Start implements wigeonladder.Sink: the request no longer waits.
func (t *track) Start(int, string) error {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.advance(time.Now())
	t.serve(time.Now())
	return nil
}

// serve records that the request was granted a slot and its answer began.
func (t *track) serve(now time.Time) {
	if t.started {
		return
	}
	if t.recorder.measuring(now) {
		t.book.stall = max(t.book.stall, now.Sub(t.book.turn))
	}
	t.book.turn = now
	t.start(now)
}

func (t *track) start(now time.Time) {
	if t.started {
		return
	}
	t.started = true
	t.book.note(now)
	t.book.waiting--
	if t.counts {
		t.book.worst = max(t.book.worst, now.Sub(t.sent))
	}
}

// Write implements wigeonladder.Sink: service is received as it is delivered.
func (t *track) Write(_ []byte, tokens int64) error {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.advance(time.Now())
	t.serve(time.Now())
	t.book.received += tokens
	if t.counts {
		t.book.delivered += tokens
	}
	return nil
}

// close records the end of the request.
func (t *track) close(err error) {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.advance(time.Now())
	t.start(time.Now())
	var e *wigeonladder.Error
	switch {
	case !t.counts:
	case t.recorder.over(time.Now()), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		// The run ended before the request.
		t.book.unended++
	case err == nil:
		t.book.served++
	case errors.As(err, &e) && e.Code.Info().Outcome == wigeonladder.NotRun:
		t.book.refused++
	default:
		t.book.failed++
	}
}
