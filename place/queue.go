package place

import (
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

const (
	// aboveShareWaitDivisor and deprioritizedWaitDivisor divide the target
	// latency; the calls of workspaces with these standings wait at most for
	// the quotient. IdleOnly and Denied count as Deprioritized.
	aboveShareWaitDivisor    = 2
	deprioritizedWaitDivisor = 8
	// drainPeriod is the minimum time between two searches for jobs to place,
	// reassignPeriod between two searches for a better server for one job.
	drainPeriod    = 4 * time.Millisecond
	reassignPeriod = 100 * time.Millisecond
	// maxScannedJobs is the number of waiting calls of one workspace that are
	// searched for one that can be placed. With 8, a workspace whose calls all
	// came to one daemon got a third of its share, because the first 8 waited
	// for busy servers.
	maxScannedJobs = 256
	// minQueueJobs is the number of calls of one workspace that may wait however
	// few of its calls are placed, so that there are calls for most servers.
	minQueueJobs = 64
	// waitFraction is the fraction of the time between arrival and deadline for
	// which a call waits for room. waitTargets is the number of target
	// latencies for which it waits at most, because callers abandon a stream
	// that has not begun after a few times its target latency.
	waitFraction = 0.4
	waitTargets  = 2
	// maxWaiting bounds the number of calls that wait for one service.
	maxWaiting = 2000
	// retryDelayMin and retryDelayMax bound the retry delay of a refused call.
	retryDelayMin = 100 * time.Millisecond
	retryDelayMax = 4 * time.Second
)

// enqueue adds a job to the queue of its workspace and assigns it to the server
// that is best now.
func (p *Pool) enqueue(g *serviceState, j *Job, best *candidate) {
	q := g.queues[j.Workspace]
	g.queues[j.Workspace] = append(q, j)
	g.waiting++
	g.waitingTokens += j.Prompt.Tokens
	g.backlog(j.Workspace).Enter(j.Prompt.Cost())
	j.assign(best)
	if len(q) == 0 && p.options.Shares != nil {
		p.options.Shares.SetBacklogged(g.name, j.Workspace, true)
	}
}

// dequeue removes a job from its queue.
func (p *Pool) dequeue(g *serviceState, j *Job) {
	q := g.queues[j.Workspace]
	i := slices.Index(q, j)
	if i < 0 {
		return
	}
	q = slices.Delete(q, i, i+1)
	g.waiting--
	g.waitingTokens -= j.Prompt.Tokens
	g.backlog(j.Workspace).Leave(j.Prompt.Cost())
	j.unassign()
	if len(q) > 0 {
		g.queues[j.Workspace] = q
		return
	}
	delete(g.queues, j.Workspace)
	if p.options.Shares != nil {
		p.options.Shares.SetBacklogged(g.name, j.Workspace, false)
	}
}

// drain places waiting jobs while there is room, first those of workspaces
// below their share, within one standing in the order of received service. It
// runs at most once in drainPeriod, since it examines many jobs; after a skipped
// run, sweep drains the queues.
func (p *Pool) drain(g *serviceState) {
	now := time.Now()
	if g.waiting == 0 || now.Sub(g.lastDrain) < drainPeriod {
		return
	}
	g.lastDrain = now
	for maxStanding := fair.BelowShare; maxStanding <= fair.Deprioritized; maxStanding++ {
		for g.waiting > 0 && p.placeNext(g, now, maxStanding) {
		}
	}
}

// placeNext places one waiting job of a workspace whose standing is at most the
// given one, and reports whether there was such a job.
func (p *Pool) placeNext(g *serviceState, now time.Time, maxStanding fair.Standing) bool {
	var chosen *Job
	var best *candidate
	accept := func(workspace string) bool {
		q := g.queues[workspace]
		if len(q) == 0 {
			return false
		}
		standing := p.standing(g, q[0])
		if standing > maxStanding {
			return false
		}
		chosen, best = p.next(g, q, standing, now)
		return chosen != nil
	}
	if p.options.Shares == nil {
		for w := range g.queues {
			if accept(w) {
				break
			}
		}
	} else if _, ok := p.options.Shares.Next(g.name, accept); !ok {
		return false
	}
	if chosen == nil {
		return false
	}
	p.dequeue(g, chosen)
	if chosen.wouldBeLate(now, best.firstToken) {
		p.recordThrottled(g, chosen)
	}
	chosen.placed <- placement{lease: p.grantLease(g, chosen, best, now)}
	return true
}

// next returns the next job of a queue to place and its candidate: the first
// job with room whose answer can still meet the target latency, otherwise the
// first one with room.
func (p *Pool) next(g *serviceState, q []*Job, standing fair.Standing, now time.Time) (*Job, *candidate) {
	var lateJob *Job
	var lateCandidate *candidate
	for _, j := range q[:min(len(q), maxScannedJobs)] {
		p.reassign(g, j, now)
		if !g.has(j.assigned) || !j.assigned.available(now) || !j.accepts(j.assigned) || !p.hasRoom(g, j.assigned, j, standing) {
			continue
		}
		r := p.evaluate(j.assigned, j, preferredSet{}, now)
		o := &r
		if !j.wouldBeLate(now, o.firstToken) {
			return j, o
		}
		if lateJob == nil {
			lateJob, lateCandidate = j, o
		}
	}
	return lateJob, lateCandidate
}

// has reports whether a server still belongs to the service.
func (g *serviceState) has(s *server) bool { return g.servers[s.instance.ID] == s }

// reassign assigns a waiting job to the server that is best now, if the job has
// waited for half of its target latency or its server takes no calls. It does
// so at most once in reassignPeriod.
func (p *Pool) reassign(g *serviceState, j *Job, now time.Time) {
	usable := j.assigned.available(now) && g.has(j.assigned) && j.accepts(j.assigned)
	if usable && now.Sub(j.ArrivedAt) < j.TargetLatency/2 || now.Sub(j.lastReassigned) < reassignPeriod {
		return
	}
	j.lastReassigned = now
	best := p.bestServer(g, j, now)
	if best == nil || best.server == j.assigned {
		return
	}
	j.unassign()
	j.assign(best)
}

// assign adds the job to those that wait for a server.
func (j *Job) assign(o *candidate) {
	j.assigned, j.queuedTokens = o.server, o.uncachedTokens
	j.assigned.queuedTokens += j.queuedTokens
	j.assigned.queuedJobs++
}

// unassign removes the job from those that wait for its server.
func (j *Job) unassign() {
	j.assigned.queuedTokens -= j.queuedTokens
	j.assigned.queuedJobs--
	j.assigned, j.queuedTokens = nil, 0
}

// earlyRefusal returns the error for a job that cannot be placed in time
// whichever server is best, or nil. It does not look for a server, so that a
// flood of calls does not take the processor time that placing others needs.
func (p *Pool) earlyRefusal(g *serviceState, j *Job, now time.Time) *wigeonladder.Error {
	if !p.countsTowardShare(g, j) {
		return nil
	}
	standing := p.standing(g, j)
	switch standing {
	case fair.BelowShare, fair.AboveShare, fair.Deprioritized:
		if !p.queueIsFull(g, j, now) {
			return nil
		}
	case fair.IdleOnly:
		if g.hasSpareCapacity(now) {
			return nil
		}
	case fair.Denied:
	}
	return wigeonladder.Errorf(overloadCode(standing), g.name, "%d calls of the workspace wait; it is %v its share", len(g.queues[j.Workspace]), standing).
		WithRetryDelay(p.retryDelay(g, j))
}

// overloadCode returns the code of a refusal for want of room. A workspace that has
// received its share is told so: sending less helps it, and the others have room.
func overloadCode(s fair.Standing) wigeonladder.Code {
	if s == fair.BelowShare {
		return wigeonladder.CodeOverload
	}
	return wigeonladder.CodeShareUsed
}

// queueIsFull reports whether more calls of the workspace wait than this daemon
// places in the time for which the job would wait.
func (p *Pool) queueIsFull(g *serviceState, j *Job, now time.Time) bool {
	q := g.queues[j.Workspace]
	if len(q) < minQueueJobs {
		return false
	}
	waiting := 0.0
	for _, x := range q {
		waiting += float64(x.Prompt.Cost())
	}
	return waiting > p.options.Window.OwnRate(j.Workspace)*p.waitUntil(g, j).Sub(now).Seconds()
}

// refusal returns the error for a job that cannot expect to be placed in time,
// or nil if it may wait.
func (p *Pool) refusal(g *serviceState, j *Job, best *candidate, now time.Time) *wigeonladder.Error {
	if best == nil {
		return p.noServerError(g, j, now)
	}
	// The prompts that wait here for the best server are read before this job.
	// After that there is room once the server's expected wait falls below the
	// limit up to which it is sent calls of this workspace.
	standing := p.standing(g, j)
	if standing == fair.IdleOnly {
		return wigeonladder.Errorf(overloadCode(standing), g.name, "the best server does not idle; the workspace is %v its share", standing).WithRetryDelay(p.retryDelay(g, j))
	}
	expected := best.server.queuedWork() + best.slotWait + best.server.readTime(best.server.queuedTokens) - engineWaitLimit(standing)
	if g.waiting >= maxWaiting || !now.Add(max(expected, 0)).Before(p.waitUntil(g, j)) {
		return wigeonladder.Errorf(overloadCode(standing), g.name, "%d calls wait; the workspace is %v its share", g.waiting, standing).WithRetryDelay(p.retryDelay(g, j))
	}
	return p.backlogRefusal(g, j, best, standing, now)
}

// waitUntil returns the time until which a job waits for room. A workspace that
// has received its share is refused sooner.
func (p *Pool) waitUntil(g *serviceState, j *Job) time.Time {
	maxWait := time.Duration(float64(j.Deadline.Sub(j.ArrivedAt)) * waitFraction)
	if j.TargetLatency > 0 {
		switch p.standing(g, j) {
		case fair.AboveShare:
			maxWait = j.TargetLatency / aboveShareWaitDivisor
		case fair.Deprioritized, fair.IdleOnly, fair.Denied:
			maxWait = j.TargetLatency / deprioritizedWaitDivisor
		case fair.BelowShare:
			maxWait = min(maxWait, j.TargetLatency*waitTargets)
		}
	}
	return j.ArrivedAt.Add(maxWait)
}

// sweep records a failure for servers whose first byte is overdue, and places
// waiting jobs.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.recordSweep(now)
	p.remote.expire(now)
	p.updateLimits(now)
	if !p.isLate(now) {
		p.recordSilence(now)
	}
	for _, g := range p.services {
		p.drain(g)
		if g.waiting > 0 {
			p.refuseUnplaceable(g, now)
		}
		g.expireBacklogs(now)
	}
}

// recordSilence records a failure for each server whose first byte is overdue.
func (p *Pool) recordSilence(now time.Time) {
	for l := range p.unread {
		grace := min(max(l.job.TargetLatency, firstByteGraceMin), firstByteGraceMax)
		if !l.countedSilent && now.Sub(l.sentAt) > l.ExpectedFirstToken+grace {
			l.countedSilent = true
			l.server.recordOutcome(true, now)
		}
	}
}
