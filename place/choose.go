package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// holdTime is the expected wait up to which a server is sent more. What goes
	// beyond waits here, where the fair choice is made; the engine itself would
	// serve it in order of arrival.
	holdTime = 300 * time.Millisecond
	// missWeight is how much more a token that has to be read counts than one
	// that waits before it: reading it also displaces other parts.
	missWeight = 2.0
	// homeTime is the preference for the home of a subject that no server is
	// known to hold, so that all daemons send it to the same one.
	homeTime = 60 * time.Millisecond
	// zoneTime is the disadvantage of a server in another zone.
	zoneTime = 4 * time.Millisecond
	// spareCalls is how many calls more than it has slots a plain server gets.
	spareCalls = 2
	// silenceTime is how much longer than expected the first token may take
	// before the server counts as failing.
	silenceTime = time.Second
	// waitShare is the part of a call's time for which it waits for room.
	waitShare = 0.4
	// maxWaiting bounds the calls that wait for one service.
	maxWaiting = 2000
	// backMin and backMax bound the time after which a refused call is told to
	// come back.
	backMin = 100 * time.Millisecond
	backMax = 2 * time.Second
)

// option is one server that may take a job.
type option struct {
	server  *server
	missing int
	// first is the expected time to the first token, rank what orders options.
	first, rank time.Duration
	room        bool
}

// place leases room for a job on the best server, or returns nil if none has
// room.
func (p *Pool) place(g *group, j *Job, now time.Time) *Lease {
	best := p.choose(g, j, now)
	if best == nil || !best.room {
		return nil
	}
	return p.lease(g, j, best)
}

// choose returns the server with the lowest rank among those with room; without
// any, the one with the lowest rank of all; nil without a server.
func (p *Pool) choose(g *group, j *Job, now time.Time) *option {
	var best *option
	home := p.home(g, j, now)
	for _, s := range g.sorted() {
		if !s.open(now) || j.Avoid[s.instance.ID] {
			continue
		}
		o := p.rate(s, j, home, now)
		if best == nil || o.room && !best.room || o.room == best.room && o.rank < best.rank {
			best = &o
		}
	}
	return best
}

// sorted returns the servers in a fixed order, so that equal ranks are decided
// the same way every time.
func (g *group) sorted() []*server {
	l := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b *server) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return l
}

// home returns the server on which a subject is expected if no server is known
// to hold it: the one with the highest hash of subject and server. It is nil for
// a job without a subject, or with a holder.
func (p *Pool) home(g *group, j *Job, now time.Time) *server {
	subject := j.chain.subject()
	if subject == 0 || g.engine == nil {
		return nil
	}
	var home *server
	var top uint64
	key := strconv.FormatUint(subject, 16)
	for _, s := range g.servers {
		if !s.open(now) || j.Avoid[s.instance.ID] {
			continue
		}
		if _, held := s.cache.parts[subject]; held {
			return nil
		}
		if h := xxhash.Sum64String(key + s.instance.ID); home == nil || h > top {
			home, top = s, h
		}
	}
	return home
}

// rate returns the option that a server is for a job.
func (p *Pool) rate(s *server, j *Job, home *server, now time.Time) option {
	o := option{server: s, missing: s.missing(j)}
	wait := s.wait(now)
	read := time.Duration(readTime(o.missing) * s.pace)
	o.first = wait + read
	if s.engine != nil {
		o.first += firstTokenTime
	}
	o.rank = wait + time.Duration(float64(read)*missWeight) + time.Duration(s.faults(now)*float64(faultTime))
	if home != nil && home != s {
		o.rank += homeTime
	}
	if s.instance.Zone != p.o.Zone {
		o.rank += zoneTime
	}
	o.room = s.room(j, wait, now)
	return o
}

// room reports whether a server may be sent a job now.
func (s *server) room(j *Job, wait time.Duration, now time.Time) bool {
	l := s.total(now)
	if s.engine == nil {
		return l.running < s.slots()+spareCalls
	}
	if l.running == 0 {
		return true
	}
	need := j.Prompt.Tokens + j.Prompt.MaxOutput
	return l.running < s.slots() && wait < holdTime &&
		float64(l.memory+need) <= memoryShare*float64(s.engine.CacheTokens)
}

// lease takes room on a server for a job.
func (p *Pool) lease(g *group, j *Job, o *option) *Lease {
	s := o.server
	l := &Lease{
		pool: p, job: j, server: s, Instance: s.instance,
		Missing: o.missing, Held: j.Prompt.Tokens - o.missing, Expected: o.first,
		load: load{1, o.missing, j.Prompt.Tokens + j.Prompt.MaxOutput},
		sent: time.Now(),
	}
	s.own = s.own.add(l.load)
	s.leases[l] = struct{}{}
	if s.cache != nil {
		s.cache.useAll(j.chain)
		p.report(s, j)
	}
	if p.o.Shares != nil && j.Workspace != "" {
		p.o.Shares.Charge(g.name, j.Workspace, j.Prompt.Cost())
	}
	return l
}

// enqueue adds a job to the queue of its workspace.
func (p *Pool) enqueue(g *group, j *Job) {
	q := g.queues[j.Workspace]
	g.queues[j.Workspace] = append(q, j)
	g.waiting++
	g.tokens += j.Prompt.Tokens
	if len(q) == 0 && p.o.Shares != nil {
		p.o.Shares.Backlog(g.name, j.Workspace, true)
	}
}

// dequeue removes a job from its queue.
func (p *Pool) dequeue(g *group, j *Job) {
	q := g.queues[j.Workspace]
	i := slices.Index(q, j)
	if i < 0 {
		return
	}
	q = slices.Delete(q, i, i+1)
	g.waiting--
	g.tokens -= j.Prompt.Tokens
	if len(q) > 0 {
		g.queues[j.Workspace] = q
		return
	}
	delete(g.queues, j.Workspace)
	if p.o.Shares != nil {
		p.o.Shares.Backlog(g.name, j.Workspace, false)
	}
}

// drain places waiting jobs while there is room: first those whose answer can
// still come in time, in the order of received service, then the others.
func (p *Pool) drain(g *group) {
	now := time.Now()
	for g.waiting > 0 {
		if !p.placeNext(g, now, true) && !p.placeNext(g, now, false) {
			return
		}
	}
}

// placeNext places one waiting job and reports whether it did.
func (p *Pool) placeNext(g *group, now time.Time, inTime bool) bool {
	var chosen *Job
	var at *option
	accept := func(workspace string) bool {
		for _, j := range g.queues[workspace] {
			o := p.choose(g, j, now)
			if o == nil || !o.room || inTime && j.late(now, o.first) {
				continue
			}
			chosen, at = j, o
			return true
		}
		return false
	}
	if p.o.Shares == nil {
		for w := range g.queues {
			if accept(w) {
				break
			}
		}
	} else if _, ok := p.o.Shares.Next(g.name, accept); !ok {
		return false
	}
	if chosen == nil {
		return false
	}
	p.dequeue(g, chosen)
	chosen.ready <- p.lease(g, chosen, at)
	return true
}

// refusal returns the error of a job that need not wait, nil if it may.
func (p *Pool) refusal(g *group, j *Job, now time.Time) *wigeonladder.Error {
	if p.choose(g, j, now) == nil {
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, g.name, "none of %d backend servers takes calls", len(g.servers)).WithWait(backMin)
	}
	if g.waiting >= maxWaiting || !now.Before(patience(j)) {
		return wigeonladder.Errorf(wigeonladder.CodeOverload, g.name, "%d calls wait", g.waiting).WithWait(p.comeBack(g))
	}
	return nil
}

// patience is until when a job waits for room.
func patience(j *Job) time.Time {
	return j.Arrived.Add(time.Duration(float64(j.Deadline.Sub(j.Arrived)) * waitShare))
}

// comeBack is the time in which what waits now is expected to be read.
func (p *Pool) comeBack(g *group) time.Duration {
	servers := 0
	for _, s := range g.servers {
		if s.open(time.Now()) {
			servers++
		}
	}
	if servers == 0 {
		return backMax
	}
	t := time.Duration(readTime(g.tokens*p.o.Peers()) / float64(servers))
	return min(max(t, backMin), backMax)
}

// sweep looks for servers that are silent for too long and places waiting jobs.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, g := range p.services {
		for _, s := range g.servers {
			for l := range s.leases {
				if !l.first && !l.silent && now.Sub(l.sent) > l.Expected+silenceTime {
					l.silent = true
					s.record(true, now)
				}
			}
		}
		p.drain(g)
	}
}
