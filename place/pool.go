package place

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/route"
)

// Options are what a Pool needs.
type Options struct {
	// Zone is the zone of this daemon.
	Zone string
	// Shares orders the workspaces whose calls wait.
	Shares wigeonladder.FairShares
	// Window tells which workspaces got their share of the model services.
	Window *fair.Window
	// LiveDaemons returns the number of daemons that are alive, this one included.
	LiveDaemons func() int
}

// Pool places calls on backend servers.
type Pool struct {
	o Options

	mu       sync.Mutex
	services map[string]*group
	// sent are the prompt parts that were sent since the last report.
	sent []SentPart
}

// group is one service.
type group struct {
	name    string
	engine  *route.Engine
	servers map[string]*server
	// order holds the servers by name, so that equal ranks are decided the same
	// way every time.
	order   []*server
	queues  map[string][]*Job
	waiting int
	// drained is when waiting jobs were looked at last.
	drained time.Time
	// tokens is the number of prompt tokens that wait.
	tokens int
}

// NewPool returns a pool without servers. It places waiting jobs until the
// context ends.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.LiveDaemons == nil {
		o.LiveDaemons = func() int { return 1 }
	}
	p := &Pool{o: o, services: map[string]*group{}}
	go func() {
		t := time.NewTicker(sweepPeriod)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				p.sweep()
			}
		}
	}()
	return p
}

// sweepPeriod is how often waiting jobs are looked at without an event.
const sweepPeriod = 20 * time.Millisecond

// group returns a service and creates it at need.
func (p *Pool) group(name string) *group {
	g := p.services[name]
	if g == nil {
		g = &group{name: name, servers: map[string]*server{}, queues: map[string][]*Job{}}
		p.services[name] = g
	}
	return g
}

// Put adds a backend server or changes its entry. A new start of a server begins
// with nothing known of it.
func (p *Pool) Put(i wigeonladder.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, g := range p.services {
		if name != i.Service {
			delete(g.servers, i.ID)
			g.sort()
		}
	}
	g := p.group(i.Service)
	if s := g.servers[i.ID]; s != nil && s.instance.SameStart(i) {
		s.instance = i
	} else {
		g.servers[i.ID] = newServer(i, g.engine)
	}
	g.sort()
	p.drain(g)
}

// Remove removes a backend server that left or is gone.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.services {
		delete(g.servers, id)
		g.sort()
	}
}

// sort brings the servers into their order.
func (g *group) sort() {
	g.order = slices.SortedFunc(maps.Values(g.servers), func(a, b *server) int {
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
}

// SetServices takes over the services of a new configuration.
func (p *Pool) SetServices(services []route.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range services {
		g := p.group(v.Name)
		g.engine = v.Engine
		for _, s := range g.servers {
			s.setEngine(v.Engine)
		}
	}
}

// Allowed reports whether an instance may still get a call. It is asked again
// at the last step before a call is sent.
func (p *Pool) Allowed(i wigeonladder.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[i.Service]
	if g == nil {
		return false
	}
	s := g.servers[i.ID]
	return s != nil && s.instance.SameStart(i) && !s.instance.Leaving
}

// Acquire waits until a call may be sent. The error means that it may not, and
// that it has not run; it tells when to come back.
func (p *Pool) Acquire(ctx context.Context, j *Job) (*Lease, *wigeonladder.Error) {
	j.chain = newChain(j.Prompt)
	p.mu.Lock()
	g := p.group(j.Service)
	now := time.Now()
	if p.counts(g, j) {
		p.o.Window.RecordDemand(j.Workspace, j.Prompt.Cost())
	}
	best := p.choose(g, j, now)
	if best != nil && best.server.queued == 0 && p.hasRoom(g, best.server, best.wait, j, p.standing(g, j)) {
		l := p.lease(g, j, best, now)
		p.mu.Unlock()
		return l, nil
	}
	if err := p.refusal(g, j, best, now); err != nil {
		p.restrain(g, j)
		p.mu.Unlock()
		return nil, err
	}
	j.ready = make(chan *Lease, 1)
	p.enqueue(g, j, best)
	until := p.patience(g, j)
	p.mu.Unlock()
	return p.await(ctx, g, j, until)
}

// counts reports whether a job counts towards the share of its workspace.
func (p *Pool) counts(g *group, j *Job) bool {
	return p.o.Window != nil && g.engine != nil && j.Workspace != ""
}

// standing is how the workspace of a job stands towards its share.
func (p *Pool) standing(g *group, j *Job) fair.Standing {
	if !p.counts(g, j) {
		return fair.BelowShare
	}
	return p.o.Window.Standing(j.Workspace)
}

// restrain notes that a job was refused or comes late.
func (p *Pool) restrain(g *group, j *Job) {
	if p.counts(g, j) {
		p.o.Window.RecordThrottled(j.Workspace)
	}
}

// await waits for the turn of a job.
func (p *Pool) await(ctx context.Context, g *group, j *Job, until time.Time) (*Lease, *wigeonladder.Error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	var gone bool
	select {
	case l := <-j.ready:
		return l, nil
	case <-t.C:
	case <-ctx.Done():
		gone = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case l := <-j.ready:
		if !gone {
			return l, nil
		}
		p.end(l, CallerGone)
	default:
		p.dequeue(g, j)
	}
	if gone {
		return nil, wigeonladder.Errorf(wigeonladder.CodeCallerGone, j.ID, "the caller went while the call waited")
	}
	p.restrain(g, j)
	return nil, wigeonladder.Errorf(wigeonladder.CodeOverload, j.Service, "no room after %v; %d calls wait; the workspace is %v its share", time.Since(j.ArrivedAt).Round(time.Millisecond), g.waiting, p.standing(g, j)).
		WithRetryDelay(p.comeBack(g, j))
}

// MarkSent marks the lease as sent.
func (l *Lease) MarkSent() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.sent = time.Now()
}

// RecordFirstToken tells that the first token arrived: the prompt has been read.
func (l *Lease) RecordFirstToken() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.first || l.ended {
		return
	}
	l.first = true
	s := l.server
	s.own.unread -= l.load.unread
	l.load.unread = 0
	s.learn(l.ExpectedFirstToken, time.Since(l.sent))
	s.reached()
	p.drain(p.group(l.job.Service))
}

// End gives the room back.
func (l *Lease) End(r Result) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(l, r)
	p.drain(p.group(l.job.Service))
}

// end implements End with the lock held.
func (p *Pool) end(l *Lease, r Result) {
	if l.ended {
		return
	}
	l.ended = true
	s := l.server
	delete(s.leases, l)
	s.own = load{s.own.running - 1, s.own.unread - l.load.unread, s.own.memory - l.load.memory}
	now := time.Now()
	switch r {
	case Completed:
		s.record(false, now)
		s.reached()
	case Failed, Declined:
		s.record(true, now)
	case Unreachable:
		s.record(true, now)
		s.unreachable(now)
	case CallerGone:
	}
}
