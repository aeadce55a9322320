package demo

import (
	"context"
	"errors"
	"sync"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/policy"
)

// maxAttempts is how often a request is sent at most when it surely did not
// run.
const maxAttempts = 3

// MemoryTarget runs a policy in front of in-memory servers, on the runtime's clock.
// It implements Target and Injector.
type MemoryTarget struct {
	ctx  context.Context
	site Site
	pool *fake.Backend

	mu     sync.Mutex
	policy policy.Policy
	cut    map[string]bool
	lives  map[string]*life
	number int
	open   map[int]*attempt
}

// life is the time in which a daemon runs.
type life struct {
	ctx    context.Context
	cancel context.CancelFunc
	lost   bool
}

// attempt is one running attempt, so that faults can break it.
type attempt struct {
	vm, server string
	cancel     context.CancelFunc
}

var (
	_ Target   = (*MemoryTarget)(nil)
	_ Injector = (*MemoryTarget)(nil)
)

// NewMemoryTarget returns the servers of a site. Set a policy with Use.
func NewMemoryTarget(ctx context.Context, s Site, scale float64) *MemoryTarget {
	m := &MemoryTarget{
		ctx:   ctx,
		site:  s,
		pool:  fake.NewBackend(s.Register.Services, scale),
		cut:   map[string]bool{},
		lives: map[string]*life{},
		open:  map[int]*attempt{},
	}
	for _, v := range s.Register.VMs {
		m.start(v.Name)
	}
	return m
}

// SetPolicy sets the policy that places the requests.
func (m *MemoryTarget) SetPolicy(p policy.Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.policy = p
}

// Backend returns the servers.
func (m *MemoryTarget) Backend() *fake.Backend { return m.pool }

// PolicyOptions returns the options of the baselines.
func (m *MemoryTarget) PolicyOptions(bound int) policy.Options {
	return policy.Options{
		VMs:        m.site.Register.VMs,
		Services:   m.site.Register.Services,
		Rules:      func() wigeonladder.Rules { return m.site.Rules },
		QueueLimit: bound,
		CanReach:   func(vm string, s wigeonladder.Server) bool { return m.reaches(vm, s.Name) },
	}
}

func (m *MemoryTarget) start(vm string) {
	ctx, cancel := context.WithCancel(m.ctx)
	m.lives[vm] = &life{ctx: ctx, cancel: cancel}
}

// reaches reports whether no cut lies between two VMs.
func (m *MemoryTarget) reaches(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected(a, b)
}

func (m *MemoryTarget) connected(a, b string) bool {
	x, y := m.site.Zone(a), m.site.Zone(b)
	return x == y || (!m.cut[x] && !m.cut[y])
}

// FetchLoad asks a server for its load report over the network between two VMs.
func (m *MemoryTarget) FetchLoad(ctx context.Context, vm string, s wigeonladder.Server) (wigeonladder.Load, error) {
	if !m.reaches(vm, s.Name) {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeConnect, s.Name, "the zone is cut off")
	}
	return m.pool.Load(ctx, s)
}

// Send implements Target.
func (m *MemoryTarget) Send(ctx context.Context, vm string, r wigeonladder.Request, s wigeonladder.Sink) error {
	m.mu.Lock()
	l, p := m.lives[vm], m.policy.PlacerFor(vm)
	m.mu.Unlock()
	if l.lost {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, vm, "the daemon is lost")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	for n := 1; ; n++ {
		err := m.try(ctx, p, vm, r, n, s)
		if l.ctx.Err() != nil && err != nil {
			return wigeonladder.Errorf(wigeonladder.CodeBroken, vm, "the daemon was lost")
		}
		if err == nil || n == maxAttempts || !again(err) {
			return err
		}
	}
}

// again reports whether a request may be placed once more.
func again(err error) bool {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == wigeonladder.CodeConnect || e.Code == wigeonladder.CodeContractLate
}

// try places a request and sends it once.
func (m *MemoryTarget) try(ctx context.Context, p wigeonladder.Placer, vm string, r wigeonladder.Request, n int, s wigeonladder.Sink) error {
	c, err := p.Place(ctx, r)
	if err != nil {
		return err
	}
	a := wigeonladder.Attempt{Request: r, Number: n, Server: wigeonladder.Server{Name: c.Server}}
	a.BeforeSend = func() error { return m.check(p, c, vm) }
	ctx, end := m.attempt(ctx, vm, c.Server)
	u, err := m.pool.Do(ctx, a, &progress{placer: p, contract: c, sink: s})
	end()
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		u = u.WithCode(e.Code)
	}
	p.Release(c, u)
	return err
}

// check is the last step before the first byte.
func (m *MemoryTarget) check(p wigeonladder.Placer, c wigeonladder.Contract, vm string) error {
	if !m.reaches(vm, c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, c.Server, "the zone is cut off")
	}
	if k, ok := p.(interface {
		Check(c wigeonladder.Contract) error
	}); ok {
		return k.Check(c)
	}
	return nil
}

// attempt records a running attempt; end forgets it.
func (m *MemoryTarget) attempt(ctx context.Context, vm, server string) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number++
	id := m.number
	m.open[id] = &attempt{vm, server, cancel}
	return ctx, func() {
		cancel()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.open, id)
	}
}

// Inject implements Injector.
func (m *MemoryTarget) Inject(f Fault, on bool) {
	switch f.Kind {
	case FaultServerSlow:
		factor := 1.0
		if on {
			factor = f.SlowFactor
		}
		m.pool.SetSlowdown(f.Target, factor)
	case FaultZoneCut:
		m.cutZone(f.Target, on)
	case FaultDaemonCrash:
		m.lose(f.Target, on)
	}
	m.mu.Lock()
	in, ok := m.policy.(Injector)
	m.mu.Unlock()
	if ok {
		in.Inject(f, on)
	}
}

// cutZone cuts a zone off. Attempts over the cut break.
func (m *MemoryTarget) cutZone(zone string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[zone] = on
	for _, a := range m.open {
		if !m.connected(a.vm, a.server) {
			a.cancel()
		}
	}
}

// lose stops or starts a daemon. Its open requests break.
func (m *MemoryTarget) lose(vm string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !on {
		m.start(vm)
		return
	}
	m.lives[vm] = &life{ctx: m.lives[vm].ctx, cancel: m.lives[vm].cancel, lost: true}
	m.lives[vm].cancel()
}

// progress hands an answer on and reports its cost.
type progress struct {
	placer   wigeonladder.Placer
	contract wigeonladder.Contract
	sink     wigeonladder.Sink
	cost     int64
}

// Start implements wigeonladder.Sink.
func (p *progress) Start(status int, contentType string) error {
	return p.sink.Start(status, contentType)
}

// Write implements wigeonladder.Sink.
func (p *progress) Write(part []byte, tokens int64) error {
	p.cost += tokens
	p.placer.Progress(p.contract, p.cost)
	return p.sink.Write(part, tokens)
}
