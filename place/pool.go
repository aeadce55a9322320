package place

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/route"
)

// Options configures a Pool.
type Options struct {
	// Name is the name of this daemon, Zone its availability zone.
	Name, Zone string
	// Shares orders the workspaces whose calls wait. Without it their order is
	// random.
	Shares wigeonladder.FairShares
	// Window knows the standings of the workspaces at the model services.
	// Without it every workspace is below its share.
	Window *fair.Window
	// LiveDaemons returns the number of live daemons, including this one.
	// Without it there is one.
	LiveDaemons func() int
	// Members returns the other daemons that take calls; nil for none.
	Members func() []Member
	// KnownMembers returns the other daemons that may be at work, also if they do not
	// reach this one; nil for those of Members.
	KnownMembers func() []Member
	// Cold bounds the requests that a cold server gets.
	Cold ColdBound
}

// Pool places calls on backend servers. It is safe for concurrent use.
type Pool struct {
	options Options

	mu       sync.Mutex
	services map[string]*serviceState
	// servers contains the servers of all services by name, used those that run
	// calls of this daemon.
	servers map[string]*server
	used    map[*server]struct{}
	// imported is the buffer of serverLoads.
	imported []serverLoad
	// stated contains the servers that stated their load since the last report.
	stated map[*server]struct{}
	// sentParts contains the prompt parts that were sent since the last report.
	sentParts []SentPart
	// leaving contains the servers that said since the last report that they leave.
	leaving []LeavingServer
	notices notices
	// evacuatedZones contains the availability zones whose servers get no calls.
	evacuatedZones map[string]bool
	// limited contains the servers with a limit in force. The limits were last divided
	// at dividedAt. limitReports contains the limits of the next report.
	// limitLifetime differs between daemons.
	limited       []*server
	dividedAt     time.Time
	limitReports  []ServerLimit
	limitLifetime time.Duration
	startedAt     time.Time
	remote        *remoteDaemons
	// unread contains the leases whose first token has not arrived.
	unread map[*Lease]struct{}
	// sweptAt is the time of the last sweep, or of the start. maxSweepDelay is the
	// longest delay of a sweep since the last call of Stats.
	sweptAt       time.Time
	maxSweepDelay time.Duration
	// sweepDelay is the mean delay of the sweeps.
	sweepDelay admission.Delay
	// lateUntil is the time until which the daemon counts as late.
	lateUntil time.Time
}

// serviceState is the state of one service.
type serviceState struct {
	name    string
	engine  *route.Engine
	rates   *serviceRates
	cold    coldRule
	servers map[string]*server
	// order contains the servers sorted by name, so that the choice among
	// servers of equal rank does not vary.
	order   []*server
	queues  map[string][]*Job
	waiting int
	// backlogs contains what admission knows of each workspace, placed what this
	// daemon has placed of late.
	backlogs          map[string]*admission.Backlog
	backlogsExpiredAt time.Time
	placed            admission.Rate
	// lastDrain is the time of the last search for waiting jobs to place.
	lastDrain time.Time
	// waitingTokens is the number of prompt tokens of the waiting jobs.
	waitingTokens int
	// wastedCost is the cost of the leases that ended before the server had read
	// the prompt.
	wastedCost int64
	// summary is the state of the servers as of summaryAt.
	summary   serviceSummary
	summaryAt time.Time
}

// NewPool returns a pool without servers. It places waiting jobs until the
// context ends.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.LiveDaemons == nil {
		o.LiveDaemons = func() int { return 1 }
	}
	p := &Pool{
		options: o, services: map[string]*serviceState{}, servers: map[string]*server{}, used: map[*server]struct{}{}, stated: map[*server]struct{}{}, notices: notices{byIncarnation: map[incarnation]*notice{}},
		limitLifetime: limitLifetime + rand.N(limitLifetime/2), // #nosec G404
		remote:        newRemoteDaemons(), unread: map[*Lease]struct{}{}, sweptAt: time.Now(), startedAt: time.Now(),
	}
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

const (
	// sweepPeriod is the interval between two checks of waiting jobs when no
	// event triggers one earlier.
	sweepPeriod = 20 * time.Millisecond
	// lateSweepDelay is the delay of a sweep from which the daemon counts as
	// late, lateTime for how long it does. A late daemon lacks processor time, so
	// that its own timeouts tell nothing about the servers.
	lateSweepDelay = 100 * time.Millisecond
	lateTime       = time.Second
)

// serviceState returns the state of a service and creates it if it does not
// exist.
func (p *Pool) serviceState(name string) *serviceState {
	g := p.services[name]
	if g == nil {
		g = &serviceState{name: name, rates: newServiceRates(), servers: map[string]*server{}, queues: map[string][]*Job{}, backlogs: map[string]*admission.Backlog{}}
		p.services[name] = g
	}
	return g
}

// Put adds a backend server or updates its entry. After a restart of the
// server, nothing that was learned of it before is kept.
func (p *Pool) Put(i wigeonladder.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, g := range p.services {
		if name != i.Service {
			delete(g.servers, i.ID)
			g.sort()
		}
	}
	g := p.serviceState(i.Service)
	if s := g.servers[i.ID]; s != nil && s.instance.SameStart(i) {
		s.instance = i
	} else {
		s := newServer(i, g.engine, g.rates)
		s.cold = &g.cold
		s.notice = p.notices.byIncarnation[incarnationOf(i)]
		g.servers[i.ID] = s
		p.watchLimit(s, time.Now())
	}
	g.servers[i.ID].evacuated = p.evacuatedZones[i.Zone]
	p.servers[i.ID] = g.servers[i.ID]
	g.sort()
	p.drain(g)
}

// Remove removes a backend server.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, id)
	for _, g := range p.services {
		delete(g.servers, id)
		g.sort()
	}
}

// sort updates the order of the servers.
func (g *serviceState) sort() {
	g.order = slices.SortedFunc(maps.Values(g.servers), func(a, b *server) int {
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
}

// SetServices applies the services of a new configuration.
func (p *Pool) SetServices(services []route.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, v := range services {
		g := p.serviceState(v.Name)
		g.engine, g.cold = v.Engine, newColdRule(v, p.options.Cold)
		for _, s := range g.servers {
			s.setEngine(v.Engine)
			p.watchLimit(s, now)
		}
	}
}

// Allowed reports whether a call may still be sent to an instance. Callers
// check it immediately before they send.
func (p *Pool) Allowed(i wigeonladder.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[i.Service]
	if g == nil {
		return false
	}
	s := g.servers[i.ID]
	return s != nil && s.instance.SameStart(i) && s.instance.Version == i.Version && s.forbidden(time.Now()) == Available
}

// Acquire waits until a call may be sent and returns its lease. An error means
// that the call has not run; unless the caller has gone, it contains a retry
// delay.
func (p *Pool) Acquire(ctx context.Context, j *Job) (*Lease, *wigeonladder.Error) {
	j.chain = newPromptChain(j.Prompt)
	p.mu.Lock()
	g := p.serviceState(j.Service)
	now := time.Now()
	if p.countsTowardShare(g, j) {
		p.options.Window.RecordDemand(j.Workspace, j.Prompt.Cost())
	}
	if err := p.earlyRefusal(g, j, now); err != nil {
		p.recordThrottled(g, j)
		p.mu.Unlock()
		return nil, err
	}
	best := p.bestServer(g, j, now)
	if best != nil && best.server.queuedJobs == 0 && p.hasRoom(g, best.server, j, p.standing(g, j)) {
		l := p.grantLease(g, j, best, now)
		p.mu.Unlock()
		return l, nil
	}
	if err := p.refusal(g, j, best, now); err != nil {
		p.recordThrottled(g, j)
		p.mu.Unlock()
		return nil, err
	}
	j.placed = make(chan placement, 1)
	p.enqueue(g, j, best)
	until := p.waitUntil(g, j)
	p.mu.Unlock()
	return p.await(ctx, g, j, until)
}

// countsTowardShare reports whether a job counts towards the share of its
// workspace.
func (p *Pool) countsTowardShare(g *serviceState, j *Job) bool {
	return p.options.Window != nil && g.engine != nil && j.Workspace != ""
}

// standing returns the standing of the workspace of a job.
func (p *Pool) standing(g *serviceState, j *Job) fair.Standing {
	if !p.countsTowardShare(g, j) {
		return fair.BelowShare
	}
	return p.options.Window.Standing(j.Workspace)
}

// recordThrottled records that a job was refused or placed late.
func (p *Pool) recordThrottled(g *serviceState, j *Job) {
	if p.countsTowardShare(g, j) {
		p.options.Window.RecordThrottled(j.Workspace)
	}
}

// await waits for the lease of a queued job.
func (p *Pool) await(ctx context.Context, g *serviceState, j *Job, until time.Time) (*Lease, *wigeonladder.Error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	var gone bool
	select {
	case x := <-j.placed:
		return x.lease, x.err
	case <-t.C:
	case <-ctx.Done():
		gone = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case x := <-j.placed:
		if !gone || x.err != nil {
			return x.lease, x.err
		}
		p.end(x.lease, Inconclusive)
	default:
		p.dequeue(g, j)
	}
	if gone {
		return nil, wigeonladder.Errorf(wigeonladder.CodeCallerGone, j.ID, "the caller went while the call waited")
	}
	p.recordThrottled(g, j)
	standing := p.standing(g, j)
	return nil, wigeonladder.Errorf(overloadCode(standing), j.Service, "no room after %v; %d calls wait; the workspace is %v its share", time.Since(j.ArrivedAt).Round(time.Millisecond), g.waiting, standing).
		WithRetryDelay(p.retryDelay(g, j))
}

// MarkSent records that the call is being sent. The time to the first token
// counts from then.
func (l *Lease) MarkSent() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.sentAt = time.Now()
}

// RecordFirstToken records that the first token arrived, which means that the
// server has read the prompt.
func (l *Lease) RecordFirstToken() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.gotFirstToken || l.ended {
		return
	}
	l.gotFirstToken = true
	delete(p.unread, l)
	s := l.server
	s.own.unreadTokens -= l.load.unreadTokens
	l.load.unreadTokens = 0
	now := time.Now()
	l.firstTokenAt = now
	s.learn(l, now)
	p.recordHeard(s, now)
	p.drain(p.serviceState(l.job.Service))
}

// End releases the capacity of the lease. If it has ended already, End does
// nothing.
func (l *Lease) End(r Result) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(l, r)
	p.drain(p.serviceState(l.job.Service))
}

// end implements End with the lock held.
func (p *Pool) end(l *Lease, r Result) {
	if l.ended {
		return
	}
	l.ended = true
	s := l.server
	if !l.gotFirstToken {
		p.serviceState(l.job.Service).wastedCost += l.job.Prompt.Cost()
	}
	delete(p.unread, l)
	s.own = load{s.own.running - 1, s.own.unreadTokens - l.load.unreadTokens, s.own.memoryTokens - l.load.memoryTokens}
	if s.own.running == 0 {
		delete(p.used, s)
	}
	now := time.Now()
	switch r {
	case Completed:
		s.recordOutcome(false, now)
		p.recordHeard(s, now)
		if l.gotFirstToken {
			s.rates.runTime.record(now.Sub(l.firstTokenAt))
		}
	case Failed, Declined:
		s.recordOutcome(true, now)
	case Unreachable:
		s.recordOutcome(true, now)
		// A server that answered meanwhile is alive; the connection was slow to open
		// because the link of this daemon, or the server, is congested.
		if !p.isLate(now) && s.heardAt.Before(l.sentAt) {
			p.recordUnreachable(p.serviceState(l.job.Service), s, now)
		}
	case Inconclusive:
	}
}
