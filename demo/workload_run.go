package demo

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// costSigma is the standard deviation of the logarithm of the costs: one
	// request in twenty costs more than five times the median.
	costSigma = 1.0
	// MaxCost is the largest cost of a request, in cost units.
	MaxCost = 2000
	// maxHintFactor is the largest factor, up or down, by which a random size
	// hint differs from the cost.
	maxHintFactor = 4
	// defaultRetryDelay is the pause of a client after a failure without a retry
	// delay.
	defaultRetryDelay = 200 * time.Millisecond
	// balancerDetectionTime is how long the load balancer still sends requests to
	// a lost VM.
	balancerDetectionTime = 2 * time.Second
)

// Target handles requests at an entry VM, as the load balancer sends them. Send
// passes the answer to the sink and returns when the request has ended.
type Target interface {
	Send(ctx context.Context, vm string, r wigeonladder.Request, s wigeonladder.Sink) error
}

// Injector injects faults. Inject begins the fault if on is true and ends it
// otherwise.
type Injector interface {
	Inject(f Fault, on bool)
}

// RunWorkload runs a workload against a target, on the runtime's clock. It
// returns when all requests have ended or the drain time is over. The injector
// may be nil for a workload without faults.
func RunWorkload(ctx context.Context, s Site, w Workload, t Target, in Injector, rec *Recorder) {
	ctx, cancel := context.WithTimeout(ctx, w.clockTime(w.SendDuration()+w.DrainTime))
	defer cancel()
	p := &workloadRun{site: s, workload: w, target: t, recorder: rec, lostVMs: map[string]time.Time{}, started: time.Now()}
	rec.start(w, p.started)
	var all sync.WaitGroup
	for i, x := range w.Sources {
		generator := &requestGenerator{run: p, source: x, random: rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(fmt.Sprint(i, x.Workspace, x.Service))))}
		all.Go(func() { generator.sendRequests(ctx) })
	}
	for _, f := range w.Faults {
		all.Go(func() { p.runFault(ctx, in, f) })
	}
	all.Wait()
	rec.end(time.Now())
}

// workloadRun is one run of a workload.
type workloadRun struct {
	site     Site
	workload Workload
	target   Target
	recorder *Recorder
	started  time.Time

	mu      sync.Mutex
	lostVMs map[string]time.Time
}

// runFault begins a fault at its time and ends it.
func (p *workloadRun) runFault(ctx context.Context, in Injector, f Fault) {
	if !p.waitUntil(ctx, f.At) {
		return
	}
	p.setVMLost(f, true)
	in.Inject(f, true)
	p.waitUntil(ctx, f.At+f.Duration)
	in.Inject(f, false)
	p.setVMLost(f, false)
}

// setVMLost records for the load balancer that the daemon of a VM is lost or
// runs again.
func (p *workloadRun) setVMLost(f Fault, on bool) {
	if f.Kind != FaultDaemonCrash {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.lostVMs[f.Target] = time.Now()
	} else {
		delete(p.lostVMs, f.Target)
	}
}

// isAvailable reports whether the load balancer sends requests to a VM.
func (p *workloadRun) isAvailable(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, lost := p.lostVMs[vm]
	return !lost || time.Since(at) < p.workload.clockTime(balancerDetectionTime)
}

// waitUntil waits for a time of the workload. It returns false if the context
// ended first.
func (p *workloadRun) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleep(ctx, time.Until(p.started.Add(p.workload.clockTime(at))))
}

// sendingEnded reports whether the time until which a source sends is over.
func (p *workloadRun) sendingEnded(to time.Duration) bool {
	if to == 0 || to > p.workload.SendDuration() {
		to = p.workload.SendDuration()
	}
	return time.Since(p.started) >= p.workload.clockTime(to)
}

// sleep waits on the runtime's clock. It returns false if the context ended
// first.
func sleep(ctx context.Context, d time.Duration) bool {
	// Go 1.26 crashes under the race detector when a goroutine in a synctest
	// bubble selects on a timer that has expired already.
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// requestGenerator sends the requests of a RequestSource.
type requestGenerator struct {
	run    *workloadRun
	source RequestSource

	mu         sync.Mutex
	random     *rand.Rand
	lastNumber int
}

func (s *requestGenerator) sendRequests(ctx context.Context) {
	if !s.run.waitUntil(ctx, s.source.From) {
		return
	}
	var open sync.WaitGroup
	defer open.Wait()
	if s.source.Clients == 0 {
		s.runOpenLoop(ctx, &open)
		return
	}
	for range s.source.Clients {
		open.Go(func() { s.runClient(ctx) })
	}
}

// runOpenLoop sends requests as a Poisson process.
func (s *requestGenerator) runOpenLoop(ctx context.Context, open *sync.WaitGroup) {
	for {
		s.mu.Lock()
		gap := s.random.ExpFloat64() / s.source.Rate
		s.mu.Unlock()
		if !sleep(ctx, s.run.workload.clockTime(time.Duration(gap*float64(time.Second)))) {
			return
		}
		if s.run.sendingEnded(s.source.To) {
			return
		}
		x := s.nextRequest()
		open.Go(func() { _ = s.send(ctx, x) })
	}
}

// runClient runs one client of a closed loop. It sends the next request when
// the previous one has ended. After a failure it first waits for the retry
// delay of the error, if there is one.
func (s *requestGenerator) runClient(ctx context.Context) {
	for !s.run.sendingEnded(s.source.To) && ctx.Err() == nil {
		err := s.send(ctx, s.nextRequest())
		if err == nil {
			continue
		}
		pause := defaultRetryDelay
		var e *wigeonladder.Error
		if errors.As(err, &e) && e.RetryAfter > 0 {
			pause = time.Duration(e.RetryAfter) * time.Second
		}
		if !sleep(ctx, s.run.workload.clockTime(pause)) {
			return
		}
	}
}

// generatedRequest is a request together with the entry VM that gets it and its
// true cost, which the fleet does not know.
type generatedRequest struct {
	request    wigeonladder.Request
	vm         string
	cost       int64
	closedLoop bool
}

// nextRequest draws a request.
func (s *requestGenerator) nextRequest() generatedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	cost, hint := s.drawCost()
	r := wigeonladder.Request{
		ID:        fmt.Sprintf("%s-%s-%d-%d", s.source.Workspace, s.source.Service, s.source.Urgency, s.lastNumber),
		Workspace: s.source.Workspace,
		Service:   s.source.Service,
		Urgency:   s.source.Urgency,
		Estimate:  hint,
		Method:    "POST",
		Path:      "/v1/chat/completions",
		Stream:    true,
	}
	r.ContentType = "application/json"
	r.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":%d}`, cost)
	if s.source.Service == s.run.site.PlainService {
		r.Method, r.Path, r.Stream, r.Body = "GET", "/status", false, nil
	}
	return generatedRequest{request: r, vm: s.pickEntryVM(), cost: cost, closedLoop: s.source.Clients > 0}
}

// drawCost draws a cost and a wrong size hint for it. A plain call costs one
// unit.
func (s *requestGenerator) drawCost() (cost, hint int64) {
	if s.source.Service == s.run.site.PlainService {
		return 1, 1
	}
	// The mean of a log-normal distribution is exp(mu + sigma^2/2).
	mu := math.Log(s.source.MeanCost) - costSigma*costSigma/2
	x := math.Exp(mu + costSigma*s.random.NormFloat64())
	cost = int64(min(max(x, 2), MaxCost))
	hintFactor := math.Pow(maxHintFactor, 2*s.random.Float64()-1)
	if s.source.HintFactor > 0 {
		hintFactor = s.source.HintFactor
	}
	return cost, max(1, int64(float64(cost)*hintFactor))
}

// pickEntryVM draws an entry VM among those that the load balancer considers
// available.
func (s *requestGenerator) pickEntryVM() string {
	vms := s.run.site.Register.VMs
	sum := 0.0
	for i, part := range s.source.EntryFractions {
		if s.run.isAvailable(vms[i].Name) {
			sum += part
		}
	}
	x := s.random.Float64() * sum
	last := vms[0].Name
	for i, v := range vms {
		if !s.run.isAvailable(v.Name) {
			continue
		}
		last = v.Name
		if sum == 0 {
			return last
		}
		x -= s.source.EntryFractions[i]
		if x < 0 {
			return last
		}
	}
	return last
}

// send sends one request and records its outcome.
func (s *requestGenerator) send(ctx context.Context, x generatedRequest) error {
	delay := s.run.workload.clockTime(s.run.site.ClientDelay)
	tr := s.run.recorder.requestSent(x)
	if !sleep(ctx, delay) {
		tr.requestEnded(ctx.Err())
		return ctx.Err()
	}
	err := s.run.target.Send(ctx, x.vm, x.request, tr)
	tr.requestEnded(err)
	return err
}
