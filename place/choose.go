package place

import (
	"time"

	"github.com/wigeonladder/wigeonladder/fair"
)

const (
	// maxEngineWait is the expected wait at an engine up to which it is sent
	// more calls. Further calls wait in the Pool, where they are ordered by
	// fair share; the engine would serve them in order of arrival.
	maxEngineWait = 300 * time.Millisecond
	// aboveShareEngineWait and deprioritizedEngineWait take the place of
	// maxEngineWait for workspaces with these standings; IdleOnly and Denied
	// count as Deprioritized.
	aboveShareEngineWait    = 150 * time.Millisecond
	deprioritizedEngineWait = 40 * time.Millisecond
	// spareCalls is the number of calls beyond its slots that a server of a
	// plain service, which has no model engine, is sent.
	spareCalls = 2
	// isolationMaxFailureRate is the failure rate up to which a server runs isolated
	// calls. One recent failure is above it.
	isolationMaxFailureRate = 0.2
	// firstByteGraceMin and firstByteGraceMax bound how much later than
	// expected the first byte may arrive before the call counts as a failure of
	// the server. Between them the bound is the target latency of the call.
	firstByteGraceMin = 150 * time.Millisecond
	firstByteGraceMax = time.Second
)

// candidate is a server to which a job may be sent.
type candidate struct {
	server *server
	// uncachedTokens is the number of prompt tokens that the server would have
	// to read.
	uncachedTokens int
	// wait is the expected time until the server has read the prompts that were
	// sent to it before, firstToken the expected time to the first token.
	// slotWait is the expected time until a slot of the server is free and its limit
	// allows the job. Candidates are ordered by rank, lowest first.
	wait, slotWait, firstToken, rank time.Duration
}

// bestServer returns the candidate with the lowest rank; nil if no server takes
// calls.
func (p *Pool) bestServer(g *serviceState, j *Job, now time.Time) *candidate {
	if j.IsolationKey != 0 {
		return p.isolatedServer(g, j, now)
	}
	var best candidate
	preferred := p.preferredServers(g, j, now)
	for _, s := range preferred.servers[:preferred.count] {
		if o := p.evaluate(s, j, preferred, now); best.server == nil || o.isBefore(best) {
			best = o
		}
	}
	for _, s := range g.order {
		// What a server has cached is looked up only if it can still be the best.
		if best.server != nil && p.minRank(s) > best.rank || !s.available(now) || !j.accepts(s) {
			continue
		}
		if o := p.evaluate(s, j, preferred, now); best.server == nil || o.isBefore(best) {
			best = o
		}
	}
	if best.server == nil {
		return nil
	}
	return &best
}

// isolatedServer returns the server on which all daemons run the jobs with the
// isolation key of a job; nil if no server takes calls. A server that fails calls is
// chosen only if all do, since its silence would keep the key isolated.
func (p *Pool) isolatedServer(g *serviceState, j *Job, now time.Time) *candidate {
	var chosen *server
	var weight uint64
	var failing bool
	for _, s := range g.order {
		if !s.available(now) || !j.accepts(s) {
			continue
		}
		w, f := mix(j.IsolationKey^s.hash), s.currentFailureRate(now) > isolationMaxFailureRate
		if chosen == nil || failing && !f || failing == f && w > weight {
			chosen, weight, failing = s, w, f
		}
	}
	if chosen == nil {
		return nil
	}
	o := p.evaluate(chosen, j, preferredSet{}, now)
	return &o
}

// minRank returns a lower bound of the ranks that jobs have at a server.
func (p *Pool) minRank(s *server) time.Duration {
	if s.instance.Zone != p.options.Zone {
		return s.expectedWait() + crossZonePenalty
	}
	return s.expectedWait()
}

// isBefore reports whether the candidate is better than another one. Candidates of the
// same rank are ordered by name.
func (o candidate) isBefore(other candidate) bool {
	return o.rank < other.rank || o.rank == other.rank && o.server.instance.ID < other.server.instance.ID
}

// evaluate returns the server as a candidate for a job.
func (p *Pool) evaluate(s *server, j *Job, preferred preferredSet, now time.Time) candidate {
	uncached, shared := s.uncachedTokens(j)
	o := candidate{server: s, uncachedTokens: uncached, wait: s.expectedWait()}
	queued, queuedJobs := s.queuedTokens, s.queuedJobs
	if j.assigned == s {
		queued -= j.queuedTokens
		queuedJobs--
	}
	o.slotWait = max(s.slotWait(queuedJobs), s.part.wait(queuedJobs, now))
	x := offer{
		wait: o.wait, slotWait: o.slotWait, queuedRead: s.readTime(queued), read: s.readTime(uncached),
		position: preferred.position(s), otherZone: s.instance.Zone != p.options.Zone, failureRate: s.currentFailureRate(now),
	}
	if x.otherZone && j.chain.zoneLocal() {
		shared = max(shared, j.chain.affinityTokens())
	}
	x.sharedRead = s.readTime(shared)
	o.firstToken = o.wait + x.read + s.idleTime()
	o.rank = x.cost()
	return o
}

// hasRoom reports whether a job may be sent to a server now. A workspace that
// has received its share gets only spare capacity.
func (p *Pool) hasRoom(g *serviceState, s *server, j *Job, standing fair.Standing) bool {
	if s.part.watched && s.part.wait(0, time.Now()) > 0 {
		return false
	}
	l := s.total()
	if s.engine == nil {
		return l.running < s.slots()+spareCalls
	}
	if l.running == 0 && standing != fair.Denied {
		return true
	}
	slots := s.slots()
	switch standing {
	case fair.AboveShare:
		slots = slots * 3 / 4
	case fair.Denied:
		return false
	case fair.Deprioritized, fair.IdleOnly:
		slots /= 2
		if g.waiting > 0 && j.assigned == nil {
			return false
		}
	case fair.BelowShare:
	}
	return l.running < slots && s.queuedWork() < engineWaitLimit(standing) && l.memoryTokens+j.memoryTokens() <= s.memoryLimit()
}

// engineWaitLimit returns the expected wait at an engine up to which it is sent
// calls of a workspace.
func engineWaitLimit(s fair.Standing) time.Duration {
	switch s {
	case fair.AboveShare:
		return aboveShareEngineWait
	case fair.Deprioritized, fair.IdleOnly, fair.Denied:
		return deprioritizedEngineWait
	case fair.BelowShare:
	}
	return maxEngineWait
}

// grantLease reserves capacity on a server for a job.
func (p *Pool) grantLease(g *serviceState, j *Job, o *candidate, now time.Time) *Lease {
	s := o.server
	l := &Lease{
		pool: p, job: j, server: s, Instance: s.instance,
		UncachedTokens: o.uncachedTokens, CachedTokens: j.Prompt.Tokens - o.uncachedTokens, ExpectedFirstToken: o.firstToken, Standing: p.standing(g, j),
		load: load{1, o.uncachedTokens, j.memoryTokens()}, ahead: s.total(), workTime: s.workTime.At(now),
		sentAt: now, Unavailable: g.recentSummary(now).unavailable.String(),
	}
	s.part.take(now)
	s.rates.recordPrompt(o.uncachedTokens)
	s.own = s.own.add(l.load)
	p.used[s] = struct{}{}
	p.unread[l] = struct{}{}
	g.recordPlaced(j, now)
	if s.cache != nil {
		s.cache.touchAll(j.chain)
		p.recordSentParts(s, j)
	}
	if p.options.Shares != nil && j.Workspace != "" {
		p.options.Shares.Charge(g.name, j.Workspace, j.Prompt.Cost())
	}
	if p.countsTowardShare(g, j) {
		p.options.Window.RecordService(j.Workspace, j.Prompt.Cost())
	}
	return l
}
