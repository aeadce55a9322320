package place

import (
	"time"

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
	// displaceWeight is how much a shared token that has to be read counts
	// beyond its reading: a second copy displaces other parts.
	displaceWeight = 2.0
	// zoneTime is the disadvantage of a server in another zone.
	zoneTime = 60 * time.Millisecond
	// spareCalls is how many calls more than it has slots a plain server gets.
	spareCalls = 2
	// silenceMin and silenceMax bound how much longer than expected the first
	// byte may take before the server counts as failing; between them it is the
	// target time of the call.
	silenceMin = 150 * time.Millisecond
	silenceMax = time.Second
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
	homes := p.homes(g, j, now)
	for _, s := range g.order {
		if !s.open(now) || j.ExcludedServers[s.instance.ID] {
			continue
		}
		if o := p.rate(s, j, homes, now); best == nil || o.rank < best.rank {
			best = &o
		}
	}
	return best
}

// rate returns the option that a server is for a job.
func (p *Pool) rate(s *server, j *Job, homes homes, now time.Time) option {
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
	away := s.instance.Zone != p.o.Zone
	if away && j.chain.local() {
		shared = max(shared, j.chain.subjectTokens())
	}
	weight := displaceWeight + homeStep*float64(homes.position(s))
	o.rank = o.wait + read + time.Duration((readTime(queued)+weight*readTime(shared))*s.pace) +
		time.Duration(s.faults(now)*float64(faultTime))
	if away {
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
	if l.running == 0 && standing != fair.Denied {
		return true
	}
	slots := s.slots()
	switch standing {
	case fair.Denied:
		return false
	case fair.AboveShare:
		slots = slots * 3 / 4
	case fair.Deprioritized:
		slots /= 2
		if g.waiting > 0 && j.at == nil {
			return false
		}
	case fair.BelowShare:
	}
	need := j.Prompt.Tokens + j.Prompt.MaxOutputTokens
	return l.running < slots && wait < hold(standing) &&
		float64(l.memory+need) <= memoryShare*float64(s.engine.CacheTokens)
}

// hold is the expected wait up to which a server is sent calls of a workspace.
func hold(s fair.Standing) time.Duration {
	switch s {
	case fair.AboveShare:
		return spareTime
	case fair.Deprioritized, fair.Denied:
		return aheadTime
	case fair.BelowShare:
	}
	return holdTime
}

// lease takes room on a server for a job.
func (p *Pool) lease(g *group, j *Job, o *option, now time.Time) *Lease {
	s := o.server
	l := &Lease{
		pool: p, job: j, server: s, Instance: s.instance,
		UncachedTokens: o.missing, CachedTokens: j.Prompt.Tokens - o.missing, ExpectedFirstToken: o.first, Standing: p.standing(g, j),
		load: load{1, o.missing, j.Prompt.Tokens + j.Prompt.MaxOutputTokens},
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
		p.o.Window.RecordService(j.Workspace, j.Prompt.Cost())
	}
	return l
}
