package demo

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// samplePeriod is the time between two samples of a Recorder, in the time of
// the workload.
const samplePeriod = time.Second

// Recorder records every request of a run and samples the service that each
// workspace received. It is safe for concurrent use.
type Recorder struct {
	weight func(workspace string) float64

	mu          sync.Mutex
	workload    Workload
	started     time.Time
	ended       time.Time
	sampleCount int
	records     map[recordKey]*workspaceRecord
}

type recordKey struct{ service, workspace string }

// workspaceRecord is what a Recorder keeps about one workspace at one service.
type workspaceRecord struct {
	received   int64 // service received in the whole run, in cost units
	waiting    int   // requests that wait now
	lastUpdate time.Time
	// wasIdle is true if at some time since the last sample no request waited.
	wasIdle bool
	// samples begins with the state at the start of the run.
	samples []sample

	offeredCost     int64 // cost of the requests that were sent in the measured window
	deliveredCost   int64 // part of offeredCost that was delivered
	unlimitedDemand bool
	served          int
	refused         int
	failed          int
	unfinished      int
	longestWait     time.Duration
	// stallStart is when an answer last began or, if no request waited after that,
	// when the next one began to wait.
	stallStart time.Time
	// longestStall is the longest time in which requests waited and no answer
	// began.
	longestStall time.Duration
}

// sample is the state at the end of a sample period.
type sample struct {
	received int64
	// backlogged is true if requests waited all the time since the last sample.
	backlogged bool
}

// NewRecorder returns a recorder that takes the weights of the workspaces from
// the rules.
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
	return &Recorder{weight: weight, records: map[recordKey]*workspaceRecord{}}
}

func (r *Recorder) start(w Workload, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload, r.started = w, at
	for _, x := range w.Sources {
		b := r.record(x.Service, x.Workspace)
		b.lastUpdate = at
		b.samples = make([]sample, 1)
		if x.Clients > 0 {
			b.unlimitedDemand = true
		}
	}
}

func (r *Recorder) end(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeDueSamples(at)
	r.ended = at
}

func (r *Recorder) record(service, workspace string) *workspaceRecord {
	k := recordKey{service, workspace}
	b := r.records[k]
	if b == nil {
		b = &workspaceRecord{}
		r.records[k] = b
	}
	return b
}

// takeDueSamples takes the samples that are due. It is called before every
// change, so all due samples see the same state.
func (r *Recorder) takeDueSamples(now time.Time) {
	step := r.workload.clockTime(samplePeriod)
	for {
		due := r.started.Add(time.Duration(r.sampleCount+1) * step)
		if now.Before(due) {
			return
		}
		r.sampleCount++
		for _, b := range r.records {
			b.addSample(due)
		}
	}
}

func (b *workspaceRecord) addSample(at time.Time) {
	b.updateIdle(at)
	b.samples = append(b.samples, sample{b.received, !b.wasIdle})
	b.wasIdle = false
}

// updateIdle updates wasIdle for the time since the last call, in which the
// number of waiting requests did not change.
func (b *workspaceRecord) updateIdle(now time.Time) {
	if b.waiting == 0 && now.After(b.lastUpdate) {
		b.wasIdle = true
	}
	b.lastUpdate = now
}

// inWindow reports whether a time is in the measured window.
func (r *Recorder) inWindow(at time.Time) bool {
	t := at.Sub(r.started)
	return t >= r.workload.clockTime(r.workload.WarmUp) && t < r.workload.clockTime(r.workload.SendDuration())
}

// drainTimeEnded reports whether the drain time is over.
func (r *Recorder) drainTimeEnded(at time.Time) bool {
	return at.Sub(r.started) >= r.workload.clockTime(r.workload.SendDuration()+r.workload.DrainTime)
}

// requestSent records a request that was just sent.
func (r *Recorder) requestSent(x generatedRequest) *requestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.takeDueSamples(now)
	t := &requestRecord{recorder: r, record: r.record(x.request.Service, x.request.Workspace), sent: now, inWindow: r.inWindow(now)}
	t.record.updateIdle(now)
	if t.record.waiting == 0 {
		t.record.stallStart = now
	}
	t.record.waiting++
	if t.inWindow {
		t.record.offeredCost += x.cost
	}
	return t
}

// requestRecord records one request. It implements wigeonladder.Sink.
type requestRecord struct {
	recorder  *Recorder
	record    *workspaceRecord
	sent      time.Time
	inWindow  bool
	waitEnded bool
}

// Start implements wigeonladder.Sink. The request no longer waits.
func (t *requestRecord) Start(int, string) error {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.takeDueSamples(time.Now())
	t.answerStarted(time.Now())
	return nil
}

// answerStarted records that the answer of the request began.
func (t *requestRecord) answerStarted(now time.Time) {
	if t.waitEnded {
		return
	}
	if t.recorder.inWindow(now) {
		t.record.longestStall = max(t.record.longestStall, now.Sub(t.record.stallStart))
	}
	t.record.stallStart = now
	t.endWait(now)
}

// endWait records that the request no longer waits, because its answer began or
// it ended.
func (t *requestRecord) endWait(now time.Time) {
	if t.waitEnded {
		return
	}
	t.waitEnded = true
	t.record.updateIdle(now)
	t.record.waiting--
	if t.inWindow {
		t.record.longestWait = max(t.record.longestWait, now.Sub(t.sent))
	}
}

// Write implements wigeonladder.Sink. It counts the delivered service.
func (t *requestRecord) Write(_ []byte, tokens int64) error {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.takeDueSamples(time.Now())
	t.answerStarted(time.Now())
	t.record.received += tokens
	if t.inWindow {
		t.record.deliveredCost += tokens
	}
	return nil
}

// requestEnded records the end of the request.
func (t *requestRecord) requestEnded(err error) {
	t.recorder.mu.Lock()
	defer t.recorder.mu.Unlock()
	t.recorder.takeDueSamples(time.Now())
	t.endWait(time.Now())
	var e *wigeonladder.Error
	switch {
	case !t.inWindow:
	case t.recorder.drainTimeEnded(time.Now()), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		// The run ended before the request.
		t.record.unfinished++
	case err == nil:
		t.record.served++
	case errors.As(err, &e) && e.Code.Info().Outcome == wigeonladder.NotRun:
		t.record.refused++
	default:
		t.record.failed++
	}
}
