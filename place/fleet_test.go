package place

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/route"
)

// engineRequest is a request at a simulated engine.
type engineRequest struct {
	job    *Job
	unread int
	// steps is the number of decoding steps that are left.
	steps int
	// first receives the load that the engine states with the first token.
	first chan wigeonladder.ServerLoad
	done  chan struct{}
}

// simulatedEngine is a model engine that reads prompts in chunks, in order of
// arrival, in the same steps in which it decodes the requests that run. Figures of
// time are in milliseconds.
type simulatedEngine struct {
	mu                sync.Mutex
	instance          wigeonladder.Instance
	cache             *prefixCache
	speed, noise      float64
	queue, running    []*engineRequest
	wake              chan struct{}
	readTokens        int
	stepMs, perStream float64
	tokensPerMs       float64
	statesWorkTime    bool
}

// workTime returns how long work takes relative to the usual time.
func (e *simulatedEngine) workTime() float64 { return e.speed * e.noise }

// load returns the load that the engine states.
func (e *simulatedEngine) load() wigeonladder.ServerLoad {
	l := wigeonladder.ServerLoad{Running: len(e.running), Waiting: len(e.queue), Slots: e.instance.Slots}
	if e.statesWorkTime {
		l.WorkTime = e.workTime()
	}
	return l
}

// send adds a request to the queue.
func (e *simulatedEngine) send(j *Job) *engineRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &engineRequest{
		job: j, unread: max(j.Prompt.Tokens-e.cache.cachedTokens(j.chain), 1),
		steps: j.Prompt.MaxOutputTokens, first: make(chan wigeonladder.ServerLoad, 1), done: make(chan struct{}),
	}
	e.readTokens += r.unread
	e.cache.touchAll(j.chain)
	e.queue = append(e.queue, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// engineChunk is the number of prompt tokens that an engine reads in one step.
const engineChunk = 1024

// run processes requests until the context ends.
func (e *simulatedEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.beginStep()
		if d == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(d)
		e.finishStep()
	}
}

// beginStep reads the next chunk and returns the time that the step takes; 0 if there
// is nothing to do.
func (e *simulatedEngine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue)+len(e.running) == 0 {
		return 0
	}
	read := 0
	for _, r := range e.queue {
		n := min(r.unread, engineChunk-read)
		r.unread -= n
		read += n
	}
	ms := (e.stepMs + e.perStream*float64(len(e.running)) + float64(read)/e.tokensPerMs) * e.workTime()
	return time.Duration(ms * float64(time.Millisecond))
}

// finishStep produces a token for each running request and starts those whose prompts
// were read.
func (e *simulatedEngine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *engineRequest) bool {
		r.steps--
		if r.steps <= 0 {
			close(r.done)
		}
		return r.steps <= 0
	})
	for len(e.queue) > 0 && e.queue[0].unread == 0 && len(e.running) < e.instance.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.first <- e.load()
	}
}

// promptClass describes the requests of one kind. The shared parts follow each other
// in the prompt.
type promptClass struct {
	perSecond    float64
	shared       []sharedPart
	own, output  int
	target, rest time.Duration
}

// sharedPart describes a position in the prompts of a class that is filled by one of a
// number of parts of about the same length.
type sharedPart struct{ tokens, parts int }

// fleetOptions describe a simulated fleet and its traffic.
type fleetOptions struct {
	daemons, servers, zones    int
	speeds                     []float64
	noise                      bool
	statesLoad, statesWorkTime bool
	// reportPeriod is the time between two reports of a daemon, and between two messages
	// in which a hub passes them on, relayPeriod that between two relays to other zones.
	reportPeriod, relayPeriod time.Duration
	classes                   []promptClass
	duration                  time.Duration
	seed                      uint64
}

// fleetResult is what callers saw of a simulated fleet.
type fleetResult struct {
	calls, inTime, refused int
	// firstTokens are the times from arrival to the first token, ratios those of
	// observed to expected times from sending to the first token.
	firstTokens []time.Duration
	ratios      []float64
	readTokens  int
	// mostRead is the most tokens that one server read relative to the mean.
	mostRead float64
}

// quantile returns a quantile of values.
func quantile[T float64 | time.Duration](l []T, q float64) T {
	if len(l) == 0 {
		return 0
	}
	l = slices.Sorted(slices.Values(l))
	return l[min(int(q*float64(len(l))), len(l)-1)]
}

// logError returns the mean absolute logarithm of the ratios.
func (r fleetResult) logError() float64 {
	sum := 0.0
	for _, x := range r.ratios {
		sum += math.Abs(math.Log(max(x, 1e-3)))
	}
	return sum / float64(max(len(r.ratios), 1))
}

// String returns the result in one line.
func (r fleetResult) String() string {
	return fmt.Sprintf("%d calls, %d in time, %d refused; first token p50 %v p99 %v; log error %.2f; %d tokens read, most %.2f of the mean",
		r.calls, r.inTime, r.refused, quantile(r.firstTokens, 0.5).Round(time.Millisecond), quantile(r.firstTokens, 0.99).Round(time.Millisecond),
		r.logError(), r.readTokens, r.mostRead)
}

// fleet is a simulated fleet: the pools of several daemons and the engines that they
// share.
type fleet struct {
	mu      sync.Mutex
	options fleetOptions
	pools   []*Pool
	engines map[string]*simulatedEngine
	random  *rand.Rand
	result  fleetResult
}

// fleetModel is the service of a simulated fleet.
var fleetModel = route.Service{Name: "model", Engine: &route.Engine{Slots: 64, CacheTokens: 621038}}

// runFleet simulates a fleet in a synctest bubble.
func runFleet(t *testing.T, o fleetOptions) fleetResult {
	t.Helper()
	t.Logf("seed %d", o.seed)
	var r fleetResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, o)
		f.play(ctx)
		time.Sleep(10 * time.Second)
		r = f.results()
		cancel()
		time.Sleep(time.Hour) // ends all sleeps
	})
	return r
}

// results returns what callers saw and what the engines read.
func (f *fleet) results() fleetResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.result
	most := 0
	for _, e := range f.engines {
		e.mu.Lock()
		r.readTokens += e.readTokens
		most = max(most, e.readTokens)
		e.mu.Unlock()
	}
	r.mostRead = float64(most*len(f.engines)) / float64(r.readTokens)
	return r
}

// newFleet starts the pools and engines of a fleet.
func newFleet(ctx context.Context, o fleetOptions) *fleet {
	f := &fleet{options: o, engines: map[string]*simulatedEngine{}, random: rand.New(rand.NewPCG(o.seed, 1))}
	for i := range o.servers {
		e := &simulatedEngine{
			instance: wigeonladder.Instance{ID: fmt.Sprintf("m%d", i), Service: fleetModel.Name, Zone: fmt.Sprint("zone-", i%o.zones), Slots: fleetModel.Engine.Slots},
			cache:    newPrefixCache(fleetModel.Engine.CacheTokens * 8 / 10), speed: o.speeds[f.random.IntN(len(o.speeds))], noise: 1,
			wake: make(chan struct{}, 1), stepMs: 3.79, perStream: 0.0893, tokensPerMs: 56.6, statesWorkTime: o.statesWorkTime,
		}
		f.engines[e.instance.ID] = e
		go e.run(ctx)
		if o.noise {
			go e.vary(ctx, rand.New(rand.NewPCG(o.seed, uint64(i)+2)))
		}
	}
	for i := range o.daemons {
		p := NewPool(ctx, Options{Name: fmt.Sprint("edge-", i), Zone: fmt.Sprint("zone-", i%o.zones), LiveDaemons: func() int { return o.daemons }})
		p.SetServices([]route.Service{fleetModel})
		for _, e := range f.engines {
			p.Put(e.instance)
		}
		f.pools = append(f.pools, p)
	}
	for i, p := range f.pools {
		go f.report(ctx, i, p, rand.New(rand.NewPCG(o.seed, uint64(i)+1000)))
	}
	return f
}

// vary slows the engine down for short times: its machine has other work.
func (e *simulatedEngine) vary(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * 3.4 * float64(time.Second)))
		e.setNoise(2.5)
		time.Sleep(time.Duration(random.Float64() * 1.2 * float64(time.Second)))
		e.setNoise(1)
	}
}

// setNoise changes the part of the work time that other work causes.
func (e *simulatedEngine) setNoise(x float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noise = x
}

// report sends the reports of one daemon to the others until the context ends.
func (f *fleet) report(ctx context.Context, from int, p *Pool, random *rand.Rand) {
	time.Sleep(time.Duration(random.Float64() * float64(f.options.reportPeriod)))
	for ctx.Err() == nil {
		r := p.Export()
		for i, x := range f.pools {
			if i == from {
				continue
			}
			delay := random.Float64() * float64(f.options.reportPeriod)
			if x.options.Zone != p.options.Zone {
				delay = (0.5+random.Float64())*float64(f.options.reportPeriod) + random.Float64()*float64(f.options.relayPeriod)
			}
			time.AfterFunc(time.Duration(delay), func() { x.Import(p.options.Name, r, 1500*time.Millisecond) })
		}
		time.Sleep(f.options.reportPeriod)
	}
}

// play sends the traffic of all classes.
func (f *fleet) play(ctx context.Context) {
	done := make(chan struct{})
	for c := range f.options.classes {
		go func() {
			defer func() { done <- struct{}{} }()
			random := rand.New(rand.NewPCG(f.options.seed, uint64(c)+5000))
			n := 0
			for end := time.Now().Add(f.options.duration); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() / f.options.classes[c].perSecond * float64(time.Second)))
				n++
				go f.call(ctx, f.pools[random.IntN(len(f.pools))], f.job(fmt.Sprintf("%d-%d", c, n), c, random))
			}
		}()
	}
	for range f.options.classes {
		<-done
	}
}

// partLength returns the length of one of the parts of about the given length.
func partLength(tokens int, random *rand.Rand) int {
	return max(int(float64(tokens)*math.Exp(0.7*random.NormFloat64()-0.245)), 1)
}

// job returns a job of a class.
func (f *fleet) job(id string, class int, random *rand.Rand) *Job {
	c := f.options.classes[class]
	now := time.Now()
	j := &Job{
		ID: id, Service: fleetModel.Name, Workspace: "w",
		ArrivedAt: now, TargetLatency: c.target, Deadline: now.Add(c.rest), ExcludedServers: map[string]bool{},
	}
	j.Prompt = wigeonladder.Prompt{Model: "m", MaxOutputTokens: c.output}
	for i, s := range c.shared {
		// Some parts are used more often than others.
		k := int(float64(s.parts) * math.Pow(random.Float64(), 1.4))
		length := partLength(s.tokens, rand.New(rand.NewPCG(uint64(class*10+i), uint64(k))))
		j.Prompt.Parts = append(j.Prompt.Parts, wigeonladder.PromptPart{ID: fmt.Sprintf("%d-%d-%d", class, i, k), Tokens: length})
	}
	j.Prompt.Parts = append(j.Prompt.Parts, wigeonladder.PromptPart{ID: j.ID, Tokens: partLength(c.own, random)})
	for _, p := range j.Prompt.Parts {
		j.Prompt.Tokens += p.Tokens
	}
	return j
}

// call runs one call of a daemon.
func (f *fleet) call(ctx context.Context, p *Pool, j *Job) {
	l, err := p.Acquire(ctx, j)
	if err != nil {
		f.record(func(r *fleetResult) { r.refused++ })
		return
	}
	l.MarkSent()
	sentAt := time.Now()
	e := f.engines[l.Instance.ID]
	time.Sleep(time.Millisecond)
	r := e.send(j)
	select {
	case load := <-r.first:
		if f.options.statesLoad {
			p.RecordLoad(l.Instance, load, sentAt)
		}
	case <-ctx.Done():
		return
	}
	l.RecordFirstToken()
	f.record(func(r *fleetResult) {
		r.calls++
		first := time.Since(j.ArrivedAt)
		r.firstTokens = append(r.firstTokens, first)
		r.ratios = append(r.ratios, float64(time.Since(sentAt))/float64(l.ExpectedFirstToken))
		if first <= j.TargetLatency {
			r.inTime++
		}
	})
	select {
	case <-r.done:
		l.End(Completed)
	case <-ctx.Done():
	}
}

// record changes the result.
func (f *fleet) record(change func(*fleetResult)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.result)
}
