package place

import (
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

const (
	// beyondWaitPart and aheadWaitPart are the parts of the target time for which
	// the calls of such workspaces wait, as divisors.
	beyondWaitPart = 2
	aheadWaitPart  = 8
	// drainPeriod is the least time between two searches for jobs to place,
	// movePeriod the same for a better server for one job.
	drainPeriod = 4 * time.Millisecond
	movePeriod  = 100 * time.Millisecond
	// lookAhead is the number of calls of one workspace that are looked at for
	// one that can be placed. With 8, a workspace whose calls came to one daemon
	// got a third of its share, because the first 8 waited for busy servers.
	lookAhead = 256
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
		p.o.Shares.SetBacklogged(g.name, j.Workspace, true)
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
		p.o.Shares.SetBacklogged(g.name, j.Workspace, false)
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
	for most := fair.BelowShare; most <= fair.Deprioritized; most++ {
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
		r := p.rate(j.at, j, homes{}, now)
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
	if sound && now.Sub(j.ArrivedAt) < j.TargetLatency/2 || now.Sub(j.moved) < movePeriod {
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
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, g.name, "none of %d backend servers takes calls", len(g.servers)).WithRetryDelay(backMin)
	}
	// What waits here for the best server is read before this job; then there is
	// room once the server has less to read than what it is sent at the most.
	ahead := best.wait + time.Duration(readTime(best.server.queued)*best.server.pace) - hold(p.standing(g, j))
	if g.waiting >= maxWaiting || !now.Add(max(ahead, 0)).Before(p.patience(g, j)) {
		return wigeonladder.Errorf(wigeonladder.CodeOverload, g.name, "%d calls wait", g.waiting).WithRetryDelay(p.comeBack(g, j))
	}
	return nil
}

// patience is until when a job waits for room. A workspace that got its share is
// told soon that there is no more.
func (p *Pool) patience(g *group, j *Job) time.Time {
	most := time.Duration(float64(j.Deadline.Sub(j.ArrivedAt)) * waitShare)
	if j.TargetLatency > 0 {
		switch p.standing(g, j) {
		case fair.AboveShare:
			most = j.TargetLatency / beyondWaitPart
		case fair.Deprioritized, fair.Denied:
			most = j.TargetLatency / aheadWaitPart
		case fair.BelowShare:
			most = min(most, j.TargetLatency*waitTargets)
		}
	}
	return j.ArrivedAt.Add(most)
}

// comeBack is the time in which what waits now is expected to be read, or in which
// the workspace has room in its share, if that is later.
func (p *Pool) comeBack(g *group, j *Job) time.Duration {
	share := time.Duration(0)
	if p.counts(g, j) {
		share = p.o.Window.RetryDelay(j.Workspace)
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
	t := time.Duration(readTime(g.tokens*p.o.LiveDaemons()) / float64(servers))
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
				if !l.first && !l.silent && now.Sub(l.sent) > l.ExpectedFirstToken+min(max(l.job.TargetLatency, silenceMin), silenceMax) {
					l.silent = true
					s.record(true, now)
				}
			}
		}
		p.drain(g)
	}
}
