package demo

import (
	"context"
	"errors"
	"sync"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/policy"
)

// maxAttempts limits how often a request is placed if no attempt ran.
const maxAttempts = 3

// MemoryTarget runs a policy in front of in-memory backend servers, on the
// runtime's clock. It implements Target and Injector.
type MemoryTarget struct {
	ctx     context.Context
	site    Site
	backend *fake.Backend

	mu            sync.Mutex
	policy        policy.Policy
	cutZones      map[string]bool
	lifetimes     map[string]*daemonLifetime
	lastAttemptID int
	openAttempts  map[int]*attempt
}

// daemonLifetime is one run of a daemon, from its start to its crash.
type daemonLifetime struct {
	ctx     context.Context
	cancel  context.CancelFunc
	crashed bool
}

// attempt is a running attempt, recorded so that a fault can cancel it.
type attempt struct {
	vm, server string
	cancel     context.CancelFunc
}

var (
	_ Target   = (*MemoryTarget)(nil)
	_ Injector = (*MemoryTarget)(nil)
)

// NewMemoryTarget returns a target with the backend servers of a site, which run
// faster by the factor speedup. Set a policy with SetPolicy before the first
// request.
func NewMemoryTarget(ctx context.Context, s Site, speedup float64) *MemoryTarget {
	m := &MemoryTarget{
		ctx:          ctx,
		site:         s,
		backend:      fake.NewBackend(s.Register.Services, speedup),
		cutZones:     map[string]bool{},
		lifetimes:    map[string]*daemonLifetime{},
		openAttempts: map[int]*attempt{},
	}
	for _, v := range s.Register.VMs {
		m.startDaemon(v.Name)
	}
	return m
}

// SetPolicy sets the policy that places the requests.
func (m *MemoryTarget) SetPolicy(p policy.Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.policy = p
}

// Backend returns the backend servers.
func (m *MemoryTarget) Backend() *fake.Backend { return m.backend }

// PolicyOptions returns the options of the baseline policies, with the given
// queue limit.
func (m *MemoryTarget) PolicyOptions(queueLimit int) policy.Options {
	return policy.Options{
		VMs:        m.site.Register.VMs,
		Services:   m.site.Register.Services,
		Rules:      func() wigeonladder.Rules { return m.site.Rules },
		QueueLimit: queueLimit,
		CanReach:   func(vm string, s wigeonladder.Server) bool { return m.canReach(vm, s.Name) },
	}
}

func (m *MemoryTarget) startDaemon(vm string) {
	ctx, cancel := context.WithCancel(m.ctx)
	m.lifetimes[vm] = &daemonLifetime{ctx: ctx, cancel: cancel}
}

// canReach reports whether the network connects two VMs.
func (m *MemoryTarget) canReach(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.canReachLocked(a, b)
}

// canReachLocked is canReach for a caller that holds the lock.
func (m *MemoryTarget) canReachLocked(a, b string) bool {
	x, y := m.site.Zone(a), m.site.Zone(b)
	return x == y || (!m.cutZones[x] && !m.cutZones[y])
}

// FetchLoad fetches the load report of a backend server for a VM. It fails
// while the network does not connect the two.
func (m *MemoryTarget) FetchLoad(ctx context.Context, vm string, s wigeonladder.Server) (wigeonladder.Load, error) {
	if !m.canReach(vm, s.Name) {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeConnect, s.Name, "the zone is cut off")
	}
	return m.backend.Load(ctx, s)
}

// Send implements Target.
func (m *MemoryTarget) Send(ctx context.Context, vm string, r wigeonladder.Request, s wigeonladder.Sink) error {
	m.mu.Lock()
	l, p := m.lifetimes[vm], m.policy.PlacerFor(vm)
	m.mu.Unlock()
	if l.crashed {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, vm, "the daemon is lost")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	for n := 1; ; n++ {
		err := m.placeAndSend(ctx, p, vm, r, n, s)
		if l.ctx.Err() != nil && err != nil {
			return wigeonladder.Errorf(wigeonladder.CodeBroken, vm, "the daemon was lost")
		}
		if err == nil || n == maxAttempts || !mayPlaceAgain(err) {
			return err
		}
	}
}

// mayPlaceAgain reports whether a request may be placed again after an error:
// it did not run.
func mayPlaceAgain(err error) bool {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == wigeonladder.CodeConnect || e.Code == wigeonladder.CodeContractLate
}

// placeAndSend places a request and makes one attempt.
func (m *MemoryTarget) placeAndSend(ctx context.Context, p wigeonladder.Placer, vm string, r wigeonladder.Request, n int, s wigeonladder.Sink) error {
	c, err := p.Place(ctx, r)
	if err != nil {
		return err
	}
	a := wigeonladder.Attempt{Request: r, Number: n, Server: wigeonladder.Server{Name: c.Server}}
	a.BeforeSend = func() error { return m.checkBeforeSend(p, c, vm) }
	ctx, end := m.beginAttempt(ctx, vm, c.Server)
	u, err := m.backend.Do(ctx, a, &progressSink{placer: p, contract: c, sink: s})
	end()
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		u = u.WithCode(e.Code)
	}
	p.Release(c, u)
	return err
}

// checkBeforeSend runs right before the first byte of an attempt is sent. It
// checks that the network still connects the VM to the server and, if the placer
// has a Check method, that the contract may still be used.
func (m *MemoryTarget) checkBeforeSend(p wigeonladder.Placer, c wigeonladder.Contract, vm string) error {
	if !m.canReach(vm, c.Server) {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, c.Server, "the zone is cut off")
	}
	if k, ok := p.(interface {
		Check(c wigeonladder.Contract) error
	}); ok {
		return k.Check(c)
	}
	return nil
}

// beginAttempt records a running attempt; the returned function removes it.
func (m *MemoryTarget) beginAttempt(ctx context.Context, vm, server string) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAttemptID++
	id := m.lastAttemptID
	m.openAttempts[id] = &attempt{vm, server, cancel}
	return ctx, func() {
		cancel()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.openAttempts, id)
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
		m.backend.SetSlowdown(f.Target, factor)
	case FaultZoneCut:
		m.setZoneCut(f.Target, on)
	case FaultDaemonCrash:
		m.setDaemonCrashed(f.Target, on)
	}
	m.mu.Lock()
	in, ok := m.policy.(Injector)
	m.mu.Unlock()
	if ok {
		in.Inject(f, on)
	}
}

// setZoneCut cuts a zone off from the others or reconnects it. A cut cancels
// the attempts that cross it.
func (m *MemoryTarget) setZoneCut(zone string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutZones[zone] = on
	for _, a := range m.openAttempts {
		if !m.canReachLocked(a.vm, a.server) {
			a.cancel()
		}
	}
}

// setDaemonCrashed stops a daemon, which breaks its open requests, or starts it
// again.
func (m *MemoryTarget) setDaemonCrashed(vm string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !on {
		m.startDaemon(vm)
		return
	}
	m.lifetimes[vm] = &daemonLifetime{ctx: m.lifetimes[vm].ctx, cancel: m.lifetimes[vm].cancel, crashed: true}
	m.lifetimes[vm].cancel()
}

// progressSink passes an answer on and reports its cost to the placer.
type progressSink struct {
	placer   wigeonladder.Placer
	contract wigeonladder.Contract
	sink     wigeonladder.Sink
	cost     int64
}

// Start implements wigeonladder.Sink.
func (p *progressSink) Start(status int, contentType string) error {
	return p.sink.Start(status, contentType)
}

// Write implements wigeonladder.Sink.
func (p *progressSink) Write(part []byte, tokens int64) error {
	p.cost += tokens
	p.placer.Progress(p.contract, p.cost)
	return p.sink.Write(part, tokens)
}
