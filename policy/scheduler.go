package policy

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

// maxRetryAfter bounds the retry time of a refusal in seconds.
const maxRetryAfter = 30

// scheduler lends the slots that it covers to the requests that it knows of.
type scheduler struct {
	name  string
	rules func() wigeonladder.Rules
	reach func(vm string, s wigeonladder.Server) bool
	fair  *fair.Counters

	mu       sync.Mutex
	services map[string]*pool
	lent     map[wigeonladder.ContractID]*loan
	number   uint64
}

// pool is one service: its queue and the servers.
type pool struct {
	name    string
	queue   *queue
	servers []*server
}

// server counts the lent slots of one backend server.
type server struct {
	wigeonladder.Server
	limit wigeonladder.Limiter
	inUse int
}

// loan is a slot in use.
type loan struct {
	contract wigeonladder.Contract
	server   *server
	charged  int64
}

func newScheduler(o Options, name string, bound int, learn func(wigeonladder.Server) wigeonladder.Limiter) *scheduler {
	s := &scheduler{
		name:     name,
		rules:    o.Rules,
		reach:    o.CanReach,
		services: map[string]*pool{},
		lent:     map[wigeonladder.ContractID]*loan{},
	}
	if s.rules == nil {
		s.rules = func() wigeonladder.Rules { return wigeonladder.Rules{} }
	}
	if s.reach == nil {
		s.reach = func(string, wigeonladder.Server) bool { return true }
	}
	s.fair = fair.NewCounters(fair.Options{HomeIncarnation: name, Rules: s.rules})
	for _, v := range o.Services {
		p := &pool{name: v.Name, queue: newQueue(bound)}
		for _, x := range v.Servers {
			p.servers = append(p.servers, &server{Server: x, limit: learn(x)})
		}
		s.services[v.Name] = p
	}
	return s
}

// placer is what one daemon sees of a scheduler.
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

// enqueue adds a request and grants what can be granted.
func (s *scheduler) enqueue(w *waiter) (*pool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.services[w.request.Service]
	if p == nil {
		return nil, wigeonladder.Errorf(wigeonladder.CodeNoService, w.request.ID, "service %q does not exist", w.request.Service)
	}
	p.queue.push(w)
	s.fair.SetBacklogged(p.name, w.request.Workspace, true)
	s.dispatch(p)
	if over := p.queue.overflow(s.weight); over != nil {
		s.remove(p, over)
		over.refusal = p.full(over.request)
		close(over.done)
	}
	return p, nil
}

func (s *scheduler) weight(workspace string) int { return s.rules().Share(workspace).Weight }

// full returns the refusal of a request, with the time in which the queue
// drains if each slot serves one request a second.
func (p *pool) full(r wigeonladder.Request) error {
	slots := 0
	for _, x := range p.servers {
		slots += x.limit.Slots()
	}
	wait := 1 + p.queue.length/max(slots, 1)
	return wigeonladder.Errorf(wigeonladder.CodeQueueFull, r.ID, "%d requests wait for %s", p.queue.length, p.name).
		WithRetryAfter(min(wait, maxRetryAfter))
}

// withdraw takes a request whose caller has gone out of the queue; ok is false
// if it was granted or refused.
func (s *scheduler) withdraw(p *pool, w *waiter) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(p, w)
}

func (s *scheduler) remove(p *pool, w *waiter) (ok bool) {
	if !p.queue.remove(w) {
		return false
	}
	if p.queue.line(w.request.Workspace).length == 0 {
		s.fair.SetBacklogged(p.name, w.request.Workspace, false)
	}
	return true
}

// dispatch grants free slots to the workspaces with the lowest counters.
func (s *scheduler) dispatch(p *pool) {
	for {
		var to *server
		workspace, ok := s.fair.Next(p.name, func(workspace string) bool {
			to = s.pick(p, p.queue.line(workspace).head())
			return to != nil
		})
		if !ok {
			return
		}
		s.grant(p, p.queue.line(workspace).head(), to)
	}
}

// pick returns the reachable server with a free slot that has the least load,
// or nil.
func (s *scheduler) pick(p *pool, w *waiter) *server {
	if w == nil {
		return nil
	}
	var best *server
	for _, x := range p.servers {
		if x.inUse >= x.limit.Slots() || !x.has(w.request.Model) || !s.reach(w.vm, x.Server) {
			continue
		}
		if best == nil || x.inUse*best.limit.Slots() < best.inUse*x.limit.Slots() {
			best = x
		}
	}
	return best
}

// has reports whether the server has a model loaded; any will do for none.
func (x *server) has(model string) bool {
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

func (s *scheduler) grant(p *pool, w *waiter, to *server) {
	r := w.request
	s.number++
	expected := s.fair.EstimateCost(p.name, r.Workspace, r.Estimate)
	w.contract = wigeonladder.Contract{
		ID:        wigeonladder.ContractID{HomeIncarnation: s.name, Number: s.number},
		Server:    to.Name,
		Service:   r.Service,
		Workspace: r.Workspace,
		Entry:     w.vm,
		Estimate:  expected,
		Received:  time.Now(),
	}
	to.inUse++
	s.lent[w.contract.ID] = &loan{contract: w.contract, server: to, charged: expected}
	s.fair.Charge(p.name, r.Workspace, expected)
	s.remove(p, w)
	close(w.done)
}

// Progress implements wigeonladder.Placer.
func (s *scheduler) Progress(c wigeonladder.Contract, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.lent[c.ID]; l != nil && cost > l.charged {
		s.fair.Charge(c.Service, c.Workspace, cost-l.charged)
		l.charged = cost
	}
}

// Release implements wigeonladder.Placer.
func (s *scheduler) Release(c wigeonladder.Contract, u wigeonladder.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lent[c.ID]
	if l == nil {
		return
	}
	delete(s.lent, c.ID)
	l.server.limit.Observe(u, l.server.inUse)
	l.server.inUse--
	if !u.Failed {
		s.fair.RecordCost(c.Service, c.Workspace, u.Cost)
	}
	s.fair.Charge(c.Service, c.Workspace, u.Cost-l.charged)
	s.dispatch(s.services[c.Service])
}
