package place

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/fair"
)

const (
	// minWaitFraction is the fraction of the target latency for which a call may wait
	// here even if its answer will probably be late: servers must not idle for want of
	// calls, and a late answer is better than none.
	minWaitFraction = 0.25
	// retryTimeFraction is the fraction of the time left up to which callers follow a
	// retry delay.
	retryTimeFraction = 1.0 / 3
	// backlogExpiryPeriod is the time between two searches for backlogs that are not
	// used any more.
	backlogExpiryPeriod = 10 * time.Second
)

// backlog returns the backlog of a workspace and creates it if it does not exist.
func (g *serviceState) backlog(workspace string) *admission.Backlog {
	b := g.backlogs[workspace]
	if b == nil {
		b = &admission.Backlog{}
		g.backlogs[workspace] = b
	}
	return b
}

// expireBacklogs removes the backlogs that are not used any more.
func (g *serviceState) expireBacklogs(now time.Time) {
	if now.Sub(g.backlogsExpiredAt) < backlogExpiryPeriod {
		return
	}
	g.backlogsExpiredAt = now
	for workspace, b := range g.backlogs {
		if b.Idle(now) {
			delete(g.backlogs, workspace)
		}
	}
}

// recordPlaced records that a job was placed.
func (g *serviceState) recordPlaced(j *Job, now time.Time) {
	g.placed.Add(now, j.Prompt.Cost())
	g.backlog(j.Workspace).Place(now, j.Prompt.Cost())
}

// admissionService returns what the admission of a job has to know of the service. Without
// a best server, no rate is expected but that of late.
func (p *Pool) admissionService(g *serviceState, j *Job, best *candidate, standing fair.Standing, now time.Time) admission.Service {
	s := admission.Service{Placed: g.placed.PerSecond(now), Backlogged: len(g.queues), Turns: standing == fair.BelowShare}
	if q := g.queues[j.Workspace]; len(q) == 0 {
		s.Backlogged++
	} else {
		s.Oldest = now.Sub(q[0].ArrivedAt)
	}
	if best != nil && best.firstToken > best.wait {
		servers := g.recentSummary(now).unavailable[Available]
		s.MinRate = float64(j.Prompt.Cost()) / (best.firstToken - best.wait).Seconds() *
			float64(servers) / float64(p.options.LiveDaemons())
	}
	return s
}

// maxWait returns the time for which a job may wait for room: until it would be late on
// the best server, and no longer than waitUntil allows.
func (p *Pool) maxWait(g *serviceState, j *Job, best *candidate, standing fair.Standing, now time.Time) time.Duration {
	left := p.waitUntil(g, j).Sub(now)
	if standing != fair.BelowShare {
		// The others may leave it less than of late.
		left /= 2
	}
	if g.engine == nil || j.TargetLatency <= 0 {
		return left
	}
	// Once there is room, the server's wait is at most the limit of the standing.
	begin := best.firstToken - max(best.wait-engineWaitLimit(standing), 0)
	inTime := j.TargetLatency - now.Sub(j.ArrivedAt) - begin
	return min(left, max(inTime, time.Duration(minWaitFraction*float64(j.TargetLatency))))
}

// backlogRefusal returns the error for a job that would wait for too long behind the
// other calls of its workspace, or nil.
func (p *Pool) backlogRefusal(g *serviceState, j *Job, best *candidate, standing fair.Standing, now time.Time) *wigeonladder.Error {
	if g.engine == nil {
		return nil
	}
	s := p.admissionService(g, j, best, standing, now)
	wait := g.backlog(j.Workspace).Wait(now, s)
	if wait <= p.maxWait(g, j, best, standing, now) {
		return nil
	}
	return wigeonladder.Errorf(overloadCode(standing), g.name, "%d calls of the workspace wait for about %v; it is %v its share",
		len(g.queues[j.Workspace]), wait.Round(time.Millisecond), standing).WithRetryDelay(p.retryDelay(g, j))
}

// retryDelay returns the time after which a refused job is to come back: after the calls
// that wait, those that were refused before it, and once its workspace has room in its
// share.
func (p *Pool) retryDelay(g *serviceState, j *Job) time.Duration {
	now := time.Now()
	servers := g.recentSummary(now).unavailable[Available]
	if servers == 0 {
		return min(max(g.limitWait(), retryDelayMin), retryDelayMax)
	}
	earliest := max(time.Duration(readTime(g.waitingTokens*p.options.LiveDaemons())/float64(servers)), retryDelayMin)
	standing := p.standing(g, j)
	if p.countsTowardShare(g, j) {
		earliest = max(earliest, p.options.Window.RetryDelay(j.Workspace))
	}
	latest := min(max(time.Duration(retryTimeFraction*float64(j.Deadline.Sub(now))), retryDelayMin), retryDelayMax)
	if g.engine == nil {
		return min(earliest, latest)
	}
	return g.backlog(j.Workspace).RetryDelay(now, p.admissionService(g, j, nil, standing, now), j.Prompt.Cost(), earliest, latest)
}
