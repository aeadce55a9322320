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
	// costSigma is the shape of the log-normal costs: one request in twenty
	// costs more than five times the median.
	costSigma = 1.0
	// MaxCost is the largest cost of a request.
	MaxCost = 2000
	// hintFactor is by how much a size hint is wrong at most, either way.
	hintFactor = 4
	// resendPause is the pause of a client after a failure without a retry
	// time.
	resendPause = 200 * time.Millisecond
	// balancerLag is the time in which the load balancer notices a lost VM.
	balancerLag = 2 * time.Second
)

// Target takes requests at an entry VM, as the load balancer hands them over.
// Send returns when the request ended. The sink hears of the answer.
type Target interface {
	Send(ctx context.Context, vm string, r wigeonladder.Request, s wigeonladder.Sink) error
}

// Injector brings faults about. A call with on set to false ends the fault.
type Injector interface {
	Inject(f Fault, on bool)
}

// RunWorkload runs a workload against a target, on the runtime's clock, and returns
// when all requests ended or the drain time is over. The injector may be nil
// for a workload without faults.
func RunWorkload(ctx context.Context, s Site, w Workload, t Target, in Injector, rec *Recorder) {
	ctx, cancel := context.WithTimeout(ctx, w.real(w.SendDuration()+w.DrainTime))
	defer cancel()
	p := &player{site: s, workload: w, target: t, recorder: rec, lost: map[string]time.Time{}, began: time.Now()}
	rec.begin(w, p.began)
	var all sync.WaitGroup
	for i, x := range w.Sources {
		source := &source{player: p, stream: x, random: rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(fmt.Sprint(i, x.Workspace, x.Service))))}
		all.Go(func() { source.run(ctx) })
	}
	for _, f := range w.Faults {
		all.Go(func() { p.fault(ctx, in, f) })
	}
	all.Wait()
	rec.end(time.Now())
}

// player is one run of a workload.
type player struct {
	site     Site
	workload Workload
	target   Target
	recorder *Recorder
	began    time.Time

	mu   sync.Mutex
	lost map[string]time.Time
}

// fault brings a fault about and ends it.
func (p *player) fault(ctx context.Context, in Injector, f Fault) {
	if !p.until(ctx, f.At) {
		return
	}
	p.lose(f, true)
	in.Inject(f, true)
	p.until(ctx, f.At+f.Duration)
	in.Inject(f, false)
	p.lose(f, false)
}

// lose tells the load balancer of a lost VM.
func (p *player) lose(f Fault, on bool) {
	if f.Kind != FaultDaemonCrash {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.lost[f.Target] = time.Now()
	} else {
		delete(p.lost, f.Target)
	}
}

// usable reports whether the load balancer hands requests to a VM.
func (p *player) usable(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, lost := p.lost[vm]
	return !lost || time.Since(at) < p.workload.real(balancerLag)
}

// until waits for a time of the workload; false if the run ended before.
func (p *player) until(ctx context.Context, at time.Duration) bool {
	return sleep(ctx, time.Until(p.began.Add(p.workload.real(at))))
}

// over reports whether the time for sending is over.
func (p *player) over(to time.Duration) bool {
	if to == 0 || to > p.workload.SendDuration() {
		to = p.workload.SendDuration()
	}
	return time.Since(p.began) >= p.workload.real(to)
}

// sleep waits on the runtime's clock; false if the context ended before.
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

// source sends the requests of a stream.
type source struct {
	player *player
	stream RequestSource

	mu     sync.Mutex
	random *rand.Rand
	number int
}

func (s *source) run(ctx context.Context) {
	if !s.player.until(ctx, s.stream.From) {
		return
	}
	var open sync.WaitGroup
	defer open.Wait()
	if s.stream.Clients == 0 {
		s.open(ctx, &open)
		return
	}
	for range s.stream.Clients {
		open.Go(func() { s.client(ctx) })
	}
}

// open sends requests as a Poisson process.
func (s *source) open(ctx context.Context, open *sync.WaitGroup) {
	for {
		s.mu.Lock()
		gap := s.random.ExpFloat64() / s.stream.Rate
		s.mu.Unlock()
		if !sleep(ctx, s.player.workload.real(time.Duration(gap*float64(time.Second)))) {
			return
		}
		if s.player.over(s.stream.To) {
			return
		}
		x := s.next()
		open.Go(func() { _ = s.send(ctx, x) })
	}
}

// client sends the next request when the last one ended, and sends a refused
// one again when the refusal says so.
func (s *source) client(ctx context.Context) {
	for !s.player.over(s.stream.To) && ctx.Err() == nil {
		err := s.send(ctx, s.next())
		if err == nil {
			continue
		}
		pause := resendPause
		var e *wigeonladder.Error
		if errors.As(err, &e) && e.RetryAfter > 0 {
			pause = time.Duration(e.RetryAfter) * time.Second
		}
		if !sleep(ctx, s.player.workload.real(pause)) {
			return
		}
	}
}

// item is a request with what only the workload knows of it.
type item struct {
	request wigeonladder.Request
	vm      string
	cost    int64
	closed  bool
}

// next draws a request.
func (s *source) next() item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	cost, hint := s.cost()
	r := wigeonladder.Request{
		ID:        fmt.Sprintf("%s-%s-%d-%d", s.stream.Workspace, s.stream.Service, s.stream.Urgency, s.number),
		Workspace: s.stream.Workspace,
		Service:   s.stream.Service,
		Urgency:   s.stream.Urgency,
		Estimate:  hint,
		Method:    "POST",
		Path:      "/v1/chat/completions",
		Stream:    true,
	}
	r.ContentType = "application/json"
	r.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":%d}`, cost)
	if s.stream.Service == s.player.site.PlainService {
		r.Method, r.Path, r.Stream, r.Body = "GET", "/status", false, nil
	}
	return item{request: r, vm: s.pick(), cost: cost, closed: s.stream.Clients > 0}
}

// cost draws a cost and a wrong hint of it. Plain calls cost one unit.
func (s *source) cost() (cost, hint int64) {
	if s.stream.Service == s.player.site.PlainService {
		return 1, 1
	}
	// The mean of a log-normal distribution is exp(mu + sigma^2/2).
	mu := math.Log(s.stream.MeanCost) - costSigma*costSigma/2
	x := math.Exp(mu + costSigma*s.random.NormFloat64())
	cost = int64(min(max(x, 2), MaxCost))
	wrong := math.Pow(hintFactor, 2*s.random.Float64()-1)
	if s.stream.HintFactor > 0 {
		wrong = s.stream.HintFactor
	}
	return cost, max(1, int64(float64(cost)*wrong))
}

// pick draws an entry VM that the load balancer believes to be there.
func (s *source) pick() string {
	vms := s.player.site.Register.VMs
	sum := 0.0
	for i, part := range s.stream.EntryFractions {
		if s.player.usable(vms[i].Name) {
			sum += part
		}
	}
	x := s.random.Float64() * sum
	last := vms[0].Name
	for i, v := range vms {
		if !s.player.usable(v.Name) {
			continue
		}
		last = v.Name
		if sum == 0 {
			return last
		}
		x -= s.stream.EntryFractions[i]
		if x < 0 {
			return last
		}
	}
	return last
}

// send sends one request and records what becomes of it.
func (s *source) send(ctx context.Context, x item) error {
	delay := s.player.workload.real(s.player.site.ClientDelay)
	tr := s.player.recorder.open(x)
	if !sleep(ctx, delay) {
		tr.close(ctx.Err())
		return ctx.Err()
	}
	err := s.player.target.Send(ctx, x.vm, x.request, tr)
	tr.close(err)
	return err
}
