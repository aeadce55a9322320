package fake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of a server of Backend that runs no more requests than it has slots.
const (
	// BackendFirstTokenTime is the time to the first token.
	BackendFirstTokenTime = 300 * time.Millisecond
	// BackendInterTokenTime is the time between tokens. With a target of 75 ms
	// between tokens, a server can run a quarter more requests than it has slots.
	BackendInterTokenTime = 60 * time.Millisecond
	// BackendCallTime is the duration of a call of a plain service.
	BackendCallTime = 100 * time.Millisecond

	// emitInterval is the time between two writes of a running request, each with
	// all tokens since the last one. Writing every token alone would cost a timer
	// for each.
	emitInterval = 500 * time.Millisecond
)

// Backend is an in-memory stand-in for backend servers that uses package time, so
// that it also runs on the virtual clock of synctest. It implements
// wigeonladder.Backend. A server admits every request. With more requests than
// slots, all of them slow down in proportion, so that the throughput stays the
// same.
type Backend struct {
	scale float64

	mu      sync.Mutex
	servers map[string]*backendServer
}

// backendServer is the state of one backend server.
type backendServer struct {
	server   wigeonladder.Server
	kind     wigeonladder.ServiceKind
	running  int
	slowdown float64
	down     bool
}

// NewBackend returns a Backend with the servers of the services. It divides all
// times by scale.
func NewBackend(services []wigeonladder.Service, scale float64) *Backend {
	b := &Backend{scale: scale, servers: map[string]*backendServer{}}
	for _, v := range services {
		for _, s := range v.Servers {
			b.servers[s.Name] = &backendServer{server: s, kind: v.Kind, slowdown: 1}
		}
	}
	return b
}

// SetSlowdown multiplies the times of a server by a factor; 1 is normal speed.
func (b *Backend) SetSlowdown(server string, factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers[server].slowdown = factor
}

// SetDown makes a server refuse new attempts, or accept them again. Attempts that
// already run go on.
func (b *Backend) SetDown(server string, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers[server].down = down
}

// Running returns the number of requests that a server runs.
func (b *Backend) Running(server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[server].running
}

// Load implements wigeonladder.Backend. The report is current.
func (b *Backend) Load(_ context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
	return wigeonladder.Load{Running: b.Running(s.Name)}, nil
}

// Do implements wigeonladder.Backend. A model service generates as many tokens as
// max_tokens in the body says; a plain call costs one unit.
func (b *Backend) Do(ctx context.Context, a wigeonladder.Attempt, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return wigeonladder.Usage{Failed: true}, err
		}
	}
	server, err := b.admit(a)
	if err != nil {
		return wigeonladder.Usage{Failed: true}, err
	}
	defer b.endAttempt(server)
	if err := s.Start(200, a.Request.ContentType); err != nil {
		return wigeonladder.Usage{Failed: true}, err
	}
	r := attemptRun{backend: b, server: server, sink: s, totalTokens: 1, startedAt: time.Now()}
	if server.kind == wigeonladder.KindModel {
		r.totalTokens = MaxTokens(a.Request.Body) - a.ResumeFrom
	}
	err = r.generate(ctx)
	return r.usage(err), err
}

func (b *Backend) admit(a wigeonladder.Attempt) (*backendServer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.servers[a.Server.Name]
	if server == nil || server.down {
		return nil, wigeonladder.Errorf(wigeonladder.CodeConnect, a.Server.Name, "server is down")
	}
	server.running++
	return server, nil
}

func (b *Backend) endAttempt(server *backendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server.running--
}

// scaledTime returns how long a step of duration d at normal speed takes at the
// present load and slowdown of the server.
func (b *Backend) scaledTime(server *backendServer, d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := max(1, float64(server.running)/float64(server.server.Slots))
	return time.Duration(float64(d) * load * server.slowdown / b.scale)
}

// attemptRun is one attempt that runs on a server.
type attemptRun struct {
	backend     *Backend
	server      *backendServer
	sink        wigeonladder.Sink
	totalTokens int64

	startedAt     time.Time
	firstTokenAt  time.Time
	emittedTokens int64
}

// generate writes all tokens at the speed of the server.
func (r *attemptRun) generate(ctx context.Context) error {
	d := BackendFirstTokenTime
	if r.server.kind != wigeonladder.KindModel {
		d = BackendCallTime
	}
	if err := r.wait(ctx, r.backend.scaledTime(r.server, d)); err != nil {
		return err
	}
	r.firstTokenAt = time.Now()
	if err := r.emit(1); err != nil {
		return err
	}
	// fractionalTokens is the progress of the next token, from 0 to 1.
	fractionalTokens := 0.0
	for r.emittedTokens < r.totalTokens {
		tokenTime := r.backend.scaledTime(r.server, BackendInterTokenTime)
		step := time.Duration(float64(emitInterval) / r.backend.scale)
		if left := time.Duration(float64(tokenTime) * (float64(r.totalTokens-r.emittedTokens) - fractionalTokens)); left < step {
			step = left + 1
		}
		if err := r.wait(ctx, step); err != nil {
			return err
		}
		fractionalTokens += float64(step) / float64(tokenTime)
		wholeTokens := min(int64(fractionalTokens), r.totalTokens-r.emittedTokens)
		fractionalTokens -= float64(wholeTokens)
		if err := r.emit(wholeTokens); err != nil {
			return err
		}
	}
	return nil
}

// emit writes new tokens to the sink.
func (r *attemptRun) emit(tokens int64) error {
	if tokens == 0 {
		return nil
	}
	r.emittedTokens += tokens
	return r.sink.Write(nil, tokens)
}

func (r *attemptRun) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return wigeonladder.Errorf(wigeonladder.CodeBroken, r.server.server.Name, "attempt ended: %v", ctx.Err())
	case <-t.C:
		return nil
	}
}

func (r *attemptRun) usage(err error) wigeonladder.Usage {
	u := wigeonladder.Usage{Cost: r.emittedTokens, Failed: err != nil}
	if r.emittedTokens > 0 {
		u.FirstToken = r.firstTokenAt.Sub(r.startedAt)
	}
	if r.emittedTokens > 1 {
		u.InterToken = time.Since(r.firstTokenAt) / time.Duration(r.emittedTokens-1)
	}
	return u
}

// MaxTokens returns max_tokens of the body of a model request, or 1 if it is
// missing or invalid.
func MaxTokens(body []byte) int64 {
	var x struct {
		MaxTokens int64 `json:"max_tokens"`
	}
	if json.Unmarshal(body, &x) != nil || x.MaxTokens < 1 {
		return 1
	}
	return x.MaxTokens
}
