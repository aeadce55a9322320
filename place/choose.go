package place

import (
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

const (
	// holdTime is the expected wait up to which a server is sent more. What goes
	// beyond waits here, where the fair choice is made; the engine itself would
	// serve it in order of arrival.
	holdTime = 300 * time.Millisecond
	// spareTime and aheadTime are the same for workspaces that got their share,
	// and for those that got more than others that are held back.
	spareTime = 150 * time.Millisecond
	aheadTime = 40 * time.Millisecond
	// beyondWaitPart and aheadWaitPart are the parts of the target time for which
	// the calls of such workspaces wait, as divisors.
	beyondWaitPart = 2
	aheadWaitPart  = 8
	// displaceWeight is how much a shared token that has to be read counts
	// beyond its reading: a second copy displaces other parts.
	displaceWeight = 2.0
	// drainPeriod is the least time between two searches for jobs to place,
	// movePeriod the same for a better server for one job.
	drainPeriod = 4 * time.Millisecond
	movePeriod  = 100 * time.Millisecond
	// lookAhead is the number of calls of one workspace that are looked at for
	// one that can be placed. With 8, a workspace whose calls came to one daemon
	// got a third of its share, because the first 8 waited for busy servers.
	lookAhead = 256
	// homeTime is the preference for the home of a subject that no server is
	// known to hold, so that all daemons send it to the same one.
	homeTime = 60 * time.Millisecond
	// zoneTime is the disadvantage of a server in another zone.
	zoneTime = 4 * time.Millisecond
	// spareCalls is how many calls more than it has slots a plain server gets.
	spareCalls = 2
	// silenceMin and silenceMax bound how much longer than expected the first
	// byte may take before the server counts as failing; between them it is the
	// target time of the call.
	silenceMin = 150 * time.Millisecond
	silenceMax = time.Second
	// waitShare is the part of a call's time for which it waits for room, and
	// waitTargets the same as a multiple of the target time: callers give up on
	// a stream that has not begun after a few times its target.
	waitShare   = 0.4
	waitTargets = 2
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
	// wait is the expected time until the server has read what it was sent,
	// first that to the first token; rank is what orders options.
	wait, first, rank time.Duration
}

// choose returns the server with the lowest rank; nil if none takes calls.
func (p *Pool) choose(g *group, j *Job, now time.Time) *option {
	var best *option
	home := p.home(g, j, now)
	for _, s := range g.order {
		if !s.open(now) || j.Avoid[s.instance.ID] {
			continue
		}
		if o := p.rate(s, j, home, now); best == nil || o.rank < best.rank {
			best = &o
		}
	}
	return best
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
	for _, s := range g.order {
		if !s.open(now) || j.Avoid[s.instance.ID] {
			continue
		}
		if _, held := s.cache.parts[subject]; held {
			return nil
		}
		if h := mix(subject ^ s.hash); home == nil || h > top {
			home, top = s, h
		}
	}
	return home
}

// mix spreads the bits of a number: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rate returns the option that a server is for a job.
func (p *Pool) rate(s *server, j *Job, home *server, now time.Time) option {
	missing, shared := s.missing(j)
	o := option{server: s, missing: missing, wait: s.wait()}
	queued := s.queued
	if j.at == s {
		queued -= j.queued
	}
	read := time.Duration(readTime(missing) * s.pace)
	o.first = o.wait + read
	if s.engine != nil {
		o.first += firstTokenTime
	}
	o.rank = o.wait + read + time.Duration((readTime(queued)+displaceWeight*readTime(shared))*s.pace) +
		time.Duration(s.faults(now)*float64(faultTime))
	if home != nil && home != s {
		o.rank += homeTime
	}
	if s.instance.Zone != p.o.Zone {
		o.rank += zoneTime
	}
	return o
}

// hasRoom reports whether a server may be sent a job now. A workspace that got
// its share gets only what the server has to spare.
func (p *Pool) hasRoom(g *group, s *server, wait time.Duration, j *Job, standing fair.Standing) bool {
	l := s.total()
	if s.engine == nil {
		return l.running < s.slots()+spareCalls
	}
	if l.running == 0 && standing != fair.Barred {
		return true
	}
	slots := s.slots()
	switch standing {
	case fair.Barred:
		return false
	case fair.Beyond:
		slots = slots * 3 / 4
	case fair.Ahead:
		slots /= 2
		if g.waiting > 0 && j.at == nil {
			return false
		}
	case fair.Within:
	}
	need := j.Prompt.Tokens + j.Prompt.MaxOutput
	return l.running < slots && wait < hold(standing) &&
		float64(l.memory+need) <= memoryShare*float64(s.engine.CacheTokens)
}

// hold is the expected wait up to which a server is sent calls of a workspace.
func hold(s fair.Standing) time.Duration {
	switch s {
	case fair.Beyond:
		return spareTime
	case fair.Ahead, fair.Barred:
		return aheadTime
	case fair.Within:
	}
	return holdTime
}

// lease takes room on a server for a job.
func (p *Pool) lease(g *group, j *Job, o *option, now time.Time) *Lease {
	s := o.server
	l := &Lease{
		pool: p, job: j, server: s, Instance: s.instance,
		Missing: o.missing, Held: j.Prompt.Tokens - o.missing, Expected: o.first, Standing: p.standing(g, j),
		load: load{1, o.missing, j.Prompt.Tokens + j.Prompt.MaxOutput},
		sent: now,
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
	if p.counts(g, j) {
		p.o.Window.Got(j.Workspace, j.Prompt.Cost())
	}
	return l
}

// enqueue adds a job to the queue of its workspace. It waits for the server that
// was best when it came.
func (p *Pool) enqueue(g *group, j *Job, best *option) {
	q := g.queues[j.Workspace]
	g.queues[j.Workspace] = append(q, j)
	g.waiting++
	g.tokens += j.Prompt.Tokens
	j.at, j.queued = best.server, best.missing
	j.at.queued += j.queued
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
	j.at.queued -= j.queued
	j.at, j.queued = nil, 0
	if len(q) > 0 {
		g.queues[j.Workspace] = q
		return
	}
	delete(g.queues, j.Workspace)
	if p.o.Shares != nil {
		p.o.Shares.Backlog(g.name, j.Workspace, false)
	}
}

// drain places waiting jobs while there is room, in the order of received
// service: first those of workspaces that got less than their share. It does so at
// most once in drainPeriod, since it looks at many jobs; sweep makes up for the
// rest.
func (p *Pool) drain(g *group) {
	now := time.Now()
	if g.waiting == 0 || now.Sub(g.drained) < drainPeriod {
		return
	}
	g.drained = now
	for most := fair.Within; most <= fair.Ahead; most++ {
		for g.waiting > 0 && p.placeNext(g, now, most) {
		}
	}
}

// placeNext places one waiting job of a workspace with at most the given standing
// and reports whether it did.
func (p *Pool) placeNext(g *group, now time.Time, most fair.Standing) bool {
	var chosen *Job
	var at *option
	accept := func(workspace string) bool {
		q := g.queues[workspace]
		if len(q) == 0 {
			return false
		}
		standing := p.standing(g, q[0])
		if standing > most {
			return false
		}
		chosen, at = p.next(g, q, standing, now)
		return chosen != nil
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
	if chosen.late(now, at.first) {
		p.restrain(g, chosen)
	}
	chosen.ready <- p.lease(g, chosen, at, now)
	return true
}

// next returns the job of a queue that is placed next, and where: the first one
// whose answer can still come in time, otherwise the first one with room.
func (p *Pool) next(g *group, q []*Job, standing fair.Standing, now time.Time) (*Job, *option) {
	var late *Job
	var lateAt *option
	for _, j := range q[:min(len(q), lookAhead)] {
		p.move(g, j, now)
		if !j.at.open(now) || !p.hasRoom(g, j.at, j.at.wait(), j, standing) {
			continue
		}
		r := p.rate(j.at, j, nil, now)
		o := &r
		if !j.late(now, o.first) {
			return j, o
		}
		if late == nil {
			late, lateAt = j, o
		}
	}
	return late, lateAt
}

// move has a waiting job wait for the best server if it has waited for long, or if
// its server takes no calls. It looks for one at most once in movePeriod.
func (p *Pool) move(g *group, j *Job, now time.Time) {
	sound := j.at.open(now) && g.servers[j.at.instance.ID] == j.at
	if sound && now.Sub(j.Arrived) < j.Target/2 || now.Sub(j.moved) < movePeriod {
		return
	}
	j.moved = now
	best := p.choose(g, j, now)
	if best == nil || best.server == j.at {
		return
	}
	j.at.queued -= j.queued
	j.at, j.queued = best.server, best.missing
	j.at.queued += j.queued
}

// refusal returns the error of a job that need not wait, nil if it may.
func (p *Pool) refusal(g *group, j *Job, best *option, now time.Time) *wigeonladder.Error {
	if best == nil {
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, g.name, "none of %d backend servers takes calls", len(g.servers)).WithWait(backMin)
	}
	// What waits here for the best server is read before this job; then there is
	// room once the server has less to read than what it is sent at the most.
	ahead := best.wait + time.Duration(readTime(best.server.queued)*best.server.pace) - hold(p.standing(g, j))
	if g.waiting >= maxWaiting || !now.Add(max(ahead, 0)).Before(p.patience(g, j)) {
		return wigeonladder.Errorf(wigeonladder.CodeOverload, g.name, "%d calls wait", g.waiting).WithWait(p.comeBack(g, j))
	}
	return nil
}

// patience is until when a job waits for room. A workspace that got its share is
// told soon that there is no more.
func (p *Pool) patience(g *group, j *Job) time.Time {
	most := time.Duration(float64(j.Deadline.Sub(j.Arrived)) * waitShare)
	if j.Target > 0 {
		switch p.standing(g, j) {
		case fair.Beyond:
			most = j.Target / beyondWaitPart
		case fair.Ahead, fair.Barred:
			most = j.Target / aheadWaitPart
		case fair.Within:
			most = min(most, j.Target*waitTargets)
		}
	}
	return j.Arrived.Add(most)
}

// comeBack is the time in which what waits now is expected to be read, or in which
// the workspace has room in its share, if that is later.
func (p *Pool) comeBack(g *group, j *Job) time.Duration {
	share := time.Duration(0)
	if p.counts(g, j) {
		share = p.o.Window.Wait(j.Workspace)
	}
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
	return min(max(t, share, backMin), backMax)
}

// sweep looks for servers that are silent for too long and places waiting jobs.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, g := range p.services {
		for _, s := range g.order {
			s.expire(now)
			for l := range s.leases {
				if !l.first && !l.silent && now.Sub(l.sent) > l.Expected+min(max(l.job.Target, silenceMin), silenceMax) {
					l.silent = true
					s.record(true, now)
				}
			}
		}
		p.drain(g)
	}
}
