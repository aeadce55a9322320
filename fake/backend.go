package fake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of an engine that is not over its slots.
const (
	// BackendFirstTokenTime is the time to the first token.
	BackendFirstTokenTime = 300 * time.Millisecond
	// BackendInterTokenTime is the time between tokens. With the target of 75 ms an
	// engine takes a quarter more requests than its slots.
	BackendInterTokenTime = 60 * time.Millisecond
	// BackendCallTime is the duration of a call of a plain service.
	BackendCallTime = 100 * time.Millisecond

	// poolStep is how often a running request hands on its new tokens. Single
	// tokens would cost a timer each.
	poolStep = 500 * time.Millisecond
)

// Backend is an in-memory stand-in for backend servers on the runtime's clock. It
// implements wigeonladder.Backend. An engine runs whatever it gets; beyond its
// slots all its requests slow down in proportion, so that its throughput stays
// the same.
type Backend struct {
	scale float64

	mu      sync.Mutex
	engines map[string]*engine
}

// engine is one backend server.
type engine struct {
	server  wigeonladder.Server
	kind    wigeonladder.ServiceKind
	running int
	slow    float64
	down    bool
}

// NewBackend returns the servers of the services. All times are divided by scale.
func NewBackend(services []wigeonladder.Service, scale float64) *Backend {
	p := &Backend{scale: scale, engines: map[string]*engine{}}
	for _, v := range services {
		for _, s := range v.Servers {
			p.engines[s.Name] = &engine{server: s, kind: v.Kind, slow: 1}
		}
	}
	return p
}

// SetSlowdown multiplies the times of a server; 1 heals it.
func (p *Backend) SetSlowdown(server string, factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[server].slow = factor
}

// SetDown stops or starts a server for new attempts.
func (p *Backend) SetDown(server string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[server].down = down
}

// Running returns the number of requests that a server runs.
func (p *Backend) Running(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[server].running
}

// Load implements wigeonladder.Backend without lag.
func (p *Backend) Load(_ context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
	return wigeonladder.Load{Running: p.Running(s.Name)}, nil
}

// Do implements wigeonladder.Backend. A model service generates max_tokens
// tokens of the body; a plain call costs one unit.
func (p *Backend) Do(ctx context.Context, a wigeonladder.Attempt, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return wigeonladder.Usage{Failed: true}, err
		}
	}
	e, err := p.admit(a)
	if err != nil {
		return wigeonladder.Usage{Failed: true}, err
	}
	defer p.end(e)
	if err := s.Start(200, a.Request.ContentType); err != nil {
		return wigeonladder.Usage{Failed: true}, err
	}
	r := session{pool: p, engine: e, sink: s, total: 1, began: time.Now()}
	if e.kind == wigeonladder.KindModel {
		r.total = MaxTokens(a.Request.Body) - a.ResumeFrom
	}
	err = r.toEnd(ctx)
	return r.usage(err), err
}

func (p *Backend) admit(a wigeonladder.Attempt) (*engine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[a.Server.Name]
	if e == nil || e.down {
		return nil, wigeonladder.Errorf(wigeonladder.CodeConnect, a.Server.Name, "server is down")
	}
	e.running++
	return e, nil
}

func (p *Backend) end(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.running--
}

// pace returns the duration that something takes at the engine's load.
func (p *Backend) pace(e *engine, d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := max(1, float64(e.running)/float64(e.server.Slots))
	return time.Duration(float64(d) * load * e.slow / p.scale)
}

// run is one request in an engine.
type session struct {
	pool   *Backend
	engine *engine
	sink   wigeonladder.Sink
	total  int64

	began time.Time
	first time.Time
	done  int64
}

// toEnd generates all tokens.
func (r *session) toEnd(ctx context.Context) error {
	d := BackendFirstTokenTime
	if r.engine.kind != wigeonladder.KindModel {
		d = BackendCallTime
	}
	if err := r.wait(ctx, r.pool.pace(r.engine, d)); err != nil {
		return err
	}
	r.first = time.Now()
	if err := r.emit(1); err != nil {
		return err
	}
	part := 0.0
	for r.done < r.total {
		each := r.pool.pace(r.engine, BackendInterTokenTime)
		step := time.Duration(float64(poolStep) / r.pool.scale)
		if left := time.Duration(float64(each) * (float64(r.total-r.done) - part)); left < step {
			step = left + 1
		}
		if err := r.wait(ctx, step); err != nil {
			return err
		}
		part += float64(step) / float64(each)
		whole := min(int64(part), r.total-r.done)
		part -= float64(whole)
		if err := r.emit(whole); err != nil {
			return err
		}
	}
	return nil
}

// emit hands on new tokens.
func (r *session) emit(tokens int64) error {
	if tokens == 0 {
		return nil
	}
	r.done += tokens
	return r.sink.Write(nil, tokens)
}

func (r *session) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return wigeonladder.Errorf(wigeonladder.CodeBroken, r.engine.server.Name, "attempt ended: %v", ctx.Err())
	case <-t.C:
		return nil
	}
}

func (r *session) usage(err error) wigeonladder.Usage {
	u := wigeonladder.Usage{Cost: r.done, Failed: err != nil}
	if r.done > 0 {
		u.FirstToken = r.first.Sub(r.began)
	}
	if r.done > 1 {
		u.InterToken = time.Since(r.first) / time.Duration(r.done-1)
	}
	return u
}

// MaxTokens returns the number of tokens that the body of a model request asks
// for; 1 without a valid number.
func MaxTokens(body []byte) int64 {
	var x struct {
		MaxTokens int64 `json:"max_tokens"`
	}
	if json.Unmarshal(body, &x) != nil || x.MaxTokens < 1 {
		return 1
	}
	return x.MaxTokens
}
