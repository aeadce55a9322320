package policy

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

// maxRetryAfter bounds the Retry-After of a refusal in seconds.
const maxRetryAfter = 30

// scheduler grants the slots of its servers to the requests in its queues.
type scheduler struct {
	name     string
	rules    func() wigeonladder.Rules
	canReach func(vm string, s wigeonladder.Server) bool
	counters *fair.Counters

	mu         sync.Mutex
	services   map[string]*service
	heldSlots  map[wigeonladder.ContractID]*heldSlot
	lastNumber uint64
}

// service is one service with its queue and its servers.
type service struct {
	name    string
	queue   *serviceQueue
	servers []*server
}

// server counts the slots in use of one backend server.
type server struct {
	wigeonladder.Server
	limit wigeonladder.Limiter
	inUse int
}

// heldSlot is a slot that is granted to a contract.
type heldSlot struct {
	contract wigeonladder.Contract
	server   *server
	charged  int64
}

func newScheduler(o Options, name string, queueLimit int, newLimiter func(wigeonladder.Server) wigeonladder.Limiter) *scheduler {
	s := &scheduler{
		name:      name,
		rules:     o.Rules,
		canReach:  o.CanReach,
		services:  map[string]*service{},
		heldSlots: map[wigeonladder.ContractID]*heldSlot{},
	}
	if s.rules == nil {
		s.rules = func() wigeonladder.Rules { return wigeonladder.Rules{} }
	}
	if s.canReach == nil {
		s.canReach = func(string, wigeonladder.Server) bool { return true }
	}
	s.counters = fair.NewCounters(fair.Options{HomeIncarnation: name, Rules: s.rules})
	for _, v := range o.Services {
		p := &service{name: v.Name, queue: newQueue(queueLimit)}
		for _, x := range v.Servers {
			p.servers = append(p.servers, &server{Server: x, limit: newLimiter(x)})
		}
		s.services[v.Name] = p
	}
	return s
}

// placer is the placer of one daemon on a scheduler.
type placer struct {
	*scheduler
	vm string
}

var _ wigeonladder.Placer = placer{}

// Place implements wigeonladder.Placer.
func (p placer) Place(ctx context.Context, r wigeonladder.Request) (wigeonladder.Contract, error) {
	return p.place(ctx, p.vm, r)
}

func (s *scheduler) place(ctx context.Context, vm string, r wigeonladder.Request) (wigeonladder.Contract, error) {
	w := &waiter{request: r, vm: vm, done: make(chan struct{})}
	p, err := s.enqueue(w)
	if err != nil {
		return wigeonladder.Contract{}, err
	}
	select {
	case <-w.done:
		return w.contract, w.refusal
	case <-ctx.Done():
	}
	if s.withdraw(p, w) {
		return wigeonladder.Contract{}, wigeonladder.Errorf(wigeonladder.CodeCallerGone, r.ID, "waiting ended: %v", ctx.Err())
	}
	if w.refusal == nil {
		s.Release(w.contract, wigeonladder.Usage{Failed: true})
		return wigeonladder.Contract{}, wigeonladder.Errorf(wigeonladder.CodeCallerGone, r.ID, "waiting ended: %v", ctx.Err())
	}
	return wigeonladder.Contract{}, w.refusal
}

// enqueue adds a request, grants the free slots, and refuses a request if the
// queue is over its limit.
func (s *scheduler) enqueue(w *waiter) (*service, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.services[w.request.Service]
	if p == nil {
		return nil, wigeonladder.Errorf(wigeonladder.CodeNoService, w.request.ID, "service %q does not exist", w.request.Service)
	}
	p.queue.push(w)
	s.counters.SetBacklogged(p.name, w.request.Workspace, true)
	s.dispatch(p)
	if refused := p.queue.requestToRefuse(s.weight); refused != nil {
		s.remove(p, refused)
		refused.refusal = p.queueFullError(refused.request)
		close(refused.done)
	}
	return p, nil
}

func (s *scheduler) weight(workspace string) int { return s.rules().Share(workspace).Weight }

// queueFullError returns the refusal of a request. Its Retry-After is the time in
// which the queue drains if each slot serves one request a second.
func (p *service) queueFullError(r wigeonladder.Request) error {
	slots := 0
	for _, x := range p.servers {
		slots += x.limit.Slots()
	}
	retryAfter := 1 + p.queue.length/max(slots, 1)
	return wigeonladder.Errorf(wigeonladder.CodeQueueFull, r.ID, "%d requests wait for %s", p.queue.length, p.name).
		WithRetryAfter(min(retryAfter, maxRetryAfter))
}

// withdraw takes a request out of the queue when its caller has disconnected; ok
// is false if the request was already granted or refused.
func (s *scheduler) withdraw(p *service, w *waiter) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(p, w)
}

func (s *scheduler) remove(p *service, w *waiter) (ok bool) {
	if !p.queue.remove(w) {
		return false
	}
	if p.queue.workspace(w.request.Workspace).length == 0 {
		s.counters.SetBacklogged(p.name, w.request.Workspace, false)
	}
	return true
}

// dispatch grants the free slots, each to the workspace with the lowest counter.
func (s *scheduler) dispatch(p *service) {
	for {
		var to *server
		workspace, ok := s.counters.Next(p.name, func(workspace string) bool {
			to = s.leastLoaded(p, p.queue.workspace(workspace).first())
			return to != nil
		})
		if !ok {
			return
		}
		s.grant(p, p.queue.workspace(workspace).first(), to)
	}
}

// leastLoaded returns the reachable server that has the model and a free slot and
// the least load in proportion to its limit, or nil.
func (s *scheduler) leastLoaded(p *service, w *waiter) *server {
	if w == nil {
		return nil
	}
	var best *server
	for _, x := range p.servers {
		if x.inUse >= x.limit.Slots() || !x.hasModel(w.request.Model) || !s.canReach(w.vm, x.Server) {
			continue
		}
		if best == nil || x.inUse*best.limit.Slots() < best.inUse*x.limit.Slots() {
			best = x
		}
	}
	return best
}

// hasModel reports whether the server has a model loaded. Every server has the
// empty model.
func (x *server) hasModel(model string) bool {
	if model == "" {
		return true
	}
	for _, m := range x.Models {
		if m == model {
			return true
		}
	}
	return false
}

func (s *scheduler) grant(p *service, w *waiter, to *server) {
	r := w.request
	s.lastNumber++
	estimate := s.counters.EstimateCost(p.name, r.Workspace, r.Estimate)
	w.contract = wigeonladder.Contract{
		ID:        wigeonladder.ContractID{HomeIncarnation: s.name, Number: s.lastNumber},
		Server:    to.Name,
		Service:   r.Service,
		Workspace: r.Workspace,
		Entry:     w.vm,
		Estimate:  estimate,
		Received:  time.Now(),
	}
	to.inUse++
	s.heldSlots[w.contract.ID] = &heldSlot{contract: w.contract, server: to, charged: estimate}
	s.counters.Charge(p.name, r.Workspace, estimate)
	s.remove(p, w)
	close(w.done)
}

// Progress implements wigeonladder.Placer.
func (s *scheduler) Progress(c wigeonladder.Contract, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.heldSlots[c.ID]; l != nil && cost > l.charged {
		s.counters.Charge(c.Service, c.Workspace, cost-l.charged)
		l.charged = cost
	}
}

// Release implements wigeonladder.Placer.
func (s *scheduler) Release(c wigeonladder.Contract, u wigeonladder.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.heldSlots[c.ID]
	if l == nil {
		return
	}
	delete(s.heldSlots, c.ID)
	l.server.limit.Observe(u, l.server.inUse)
	l.server.inUse--
	if !u.Failed {
		s.counters.RecordCost(c.Service, c.Workspace, u.Cost)
	}
	s.counters.Charge(c.Service, c.Workspace, u.Cost-l.charged)
	s.dispatch(s.services[c.Service])
}
