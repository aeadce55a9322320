package place

import (
	"math"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/estimate"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// readTokensPerMs is the number of prompt tokens that an engine is assumed
	// to read per millisecond. The latency ratio of a server corrects it.
	readTokensPerMs = 90.0
	// firstTokenTime is the time to the first token of an idle engine that has
	// nothing to read.
	firstTokenTime = 60 * time.Millisecond
	// streamTime is the delay of a first token for each running stream.
	streamTime = 2 * time.Millisecond
	// callTime is the delay of a call to a plain service for each other running
	// call.
	callTime = 5 * time.Millisecond
	// cacheFraction is the fraction of an engine's memory that is assumed to be
	// available for cached prompt parts; running requests use the rest.
	cacheFraction = 0.7
	// memoryLimitFraction is the fraction of an engine's memory up to which it
	// is sent requests. An engine that runs out of memory preempts its newest
	// request.
	memoryLimitFraction = 0.9
	// failureHalfLife is the time in which a recorded failure loses half of its
	// weight.
	failureHalfLife = 2 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate.
	outcomeWeight = 0.3
	// blockMin and blockMax bound the time for which a server that cannot be
	// reached gets no requests.
	blockMin = 150 * time.Millisecond
	blockMax = 3 * time.Second
	// latencyRatioStep is the weight of the newest observation in the latency
	// ratio. A late first token is mostly caused by calls of other daemons that
	// were not known yet. With 0.1, such calls made servers look up to eight
	// times as slow as they are.
	latencyRatioStep = 0.005
	// initialRunTime is the assumed time from the first token of a request to its
	// end, runTimeStep the weight of the newest observation in its mean.
	initialRunTime = time.Second
	runTimeStep    = 0.02
	// latencyRatioMin and latencyRatioMax bound the latency ratio.
	latencyRatioMin, latencyRatioMax = 0.5, 8.0
)

// server is the state of one incarnation of a backend server.
type server struct {
	instance wigeonladder.Instance
	engine   *route.Engine
	own      load
	// remoteSum is the sum of the loads of other daemons.
	remoteSum load
	// hash is the hash of the server's name.
	hash  uint64
	cache *prefixCache
	// latencyRatio is the ratio of observed to expected times to the first
	// token.
	latencyRatio float64
	// failureRate is the recent fraction of failed requests, as of
	// failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// blockedUntil is the time until which the server gets no requests because
	// it could not be reached, blockTime the length of that block. While
	// probing is set the server gets only one request at a time.
	blockedUntil time.Time
	blockTime    time.Duration
	probing      bool
	// heardAt is the time of the last answer to a call of this daemon.
	heardAt time.Time
	// evacuated is true while no calls may be sent to the zone of the server.
	evacuated bool
	// notice contains the restrictions on calls to this incarnation; nil without any.
	notice *notice
	// cold is the rule for cold servers of the service. restarted is true after the
	// server could not be reached, until it answers; it counts as cold until
	// restartUntil.
	cold         *coldRule
	restarted    bool
	restartUntil time.Time
	// part is this daemon's part of the limit that the server named, or of the calls
	// that it takes while it is cold.
	part limitPart
	// queuedTokens is the number of prompt tokens of the jobs that wait in this
	// daemon for the server, queuedJobs the number of these jobs.
	queuedTokens, queuedJobs int
	// rates is what was learned about the servers of the service together.
	rates *serviceRates
	// workTime is how long work takes on the server's machine, stated the load that the
	// server stated to this daemon last, at statedAt.
	workTime estimate.WorkTime
	stated   wigeonladder.ServerLoad
	statedAt time.Time
}

// runTime is the mean time from the first token of a request to its end.
type runTime struct{ mean time.Duration }

// record adds the time that a request took.
func (r *runTime) record(d time.Duration) {
	r.mean += time.Duration(float64(d-r.mean) * runTimeStep)
}

// load is the load that one or more daemons put on a server.
type load struct {
	// running is the number of requests.
	running int
	// unreadTokens is the number of prompt tokens of the requests that have no
	// first token yet.
	unreadTokens int
	// memoryTokens is the number of tokens that the requests occupy in the
	// engine's memory.
	memoryTokens int
}

// add returns the sum of two loads.
func (l load) add(o load) load {
	return load{l.running + o.running, l.unreadTokens + o.unreadTokens, l.memoryTokens + o.memoryTokens}
}

// sub returns the difference of two loads.
func (l load) sub(o load) load {
	return load{l.running - o.running, l.unreadTokens - o.unreadTokens, l.memoryTokens - o.memoryTokens}
}

// newServer returns a server without load.
func newServer(i wigeonladder.Instance, e *route.Engine, r *serviceRates) *server {
	s := &server{
		instance: i, latencyRatio: 1, rates: r,
		hash: nameHash(i.ID),
	}
	s.setEngine(e)
	return s
}

// setEngine applies the description of the engine.
func (s *server) setEngine(e *route.Engine) {
	s.engine = e
	switch {
	case e == nil:
		s.cache = nil
	case s.cache == nil:
		s.cache = newPrefixCache(cacheCapacity(e))
	default:
		s.cache.setCapacity(cacheCapacity(e))
	}
}

// cacheCapacity returns the number of tokens that an engine is assumed to cache.
func cacheCapacity(e *route.Engine) int { return int(float64(e.CacheTokens) * cacheFraction) }

// total returns the load of all daemons.
func (s *server) total() load { return s.own.add(s.remoteSum) }

// slots returns the number of requests that the server runs concurrently.
func (s *server) slots() int {
	n := s.instance.Slots
	if s.engine != nil && s.engine.Slots > 0 {
		n = s.engine.Slots
	}
	return max(n, 1)
}

// uncachedTokens returns the number of prompt tokens that the server has to
// read, and how many of them other requests share.
func (s *server) uncachedTokens(j *Job) (all, shared int) {
	if s.cache == nil {
		return 0, 0
	}
	cached := s.cache.cachedTokens(j.chain)
	return max(j.Prompt.Tokens-cached, 1), max(j.chain.sharedTokens()-cached, 0)
}

// expectedWait returns the expected time until the server has read the prompts
// that were sent to it before.
func (s *server) expectedWait() time.Duration {
	l := s.total()
	switch {
	case s.engine == nil && s.workTime.IsKnown():
		return s.scaled(s.rates.call * time.Duration(l.running) / time.Duration(s.slots()))
	case s.engine == nil:
		return time.Duration(float64(l.running) * float64(callTime) * s.latencyRatio)
	}
	if s.workTime.IsKnown() {
		return s.scaled(s.rates.engine.Read(l.unreadTokens) + s.rates.engine.Streams(l.running))
	}
	return time.Duration((readTime(l.unreadTokens) + float64(l.running)*float64(streamTime)) * s.latencyRatio)
}

// queuedWork returns the work that was sent to the server before, as the wait at an engine
// of the assumed rates. The limits of the work at an engine are in this measure: with the
// learned, lower rates they would leave engines idle, because the reports of other
// daemons still count prompts that have been read.
func (s *server) queuedWork() time.Duration {
	if s.engine == nil || !s.workTime.IsKnown() {
		return s.expectedWait()
	}
	l := s.total()
	return time.Duration(readTime(l.unreadTokens) + float64(l.running)*float64(streamTime))
}

// scaled returns a time at the usual work time as the time on this server.
func (s *server) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(s.workTime.Scale(time.Now(), d)) * s.latencyRatio)
}

// readTime returns the time that the server needs to read prompt tokens.
func (s *server) readTime(tokens int) time.Duration {
	if s.workTime.IsKnown() {
		return s.scaled(s.rates.engine.Read(tokens))
	}
	return time.Duration(readTime(tokens) * s.latencyRatio)
}

// idleTime returns the time to the first token of an idle server that has nothing to
// read: of an engine, and of a plain service whose servers state their work time.
func (s *server) idleTime() time.Duration {
	switch {
	case s.engine == nil && s.workTime.IsKnown():
		return s.scaled(s.rates.call)
	case s.engine == nil:
		return 0
	case s.workTime.IsKnown():
		return s.scaled(s.rates.engine.Base())
	}
	return firstTokenTime
}

// slotWait returns the expected time until a slot of the engine is free for a job,
// after the other jobs that wait for the server. While all slots are taken, one of
// them becomes free in each fraction of the mean run time.
func (s *server) slotWait(queuedJobs int) time.Duration {
	if s.engine == nil {
		return 0
	}
	ends := max(s.total().running+queuedJobs+1-s.slots(), 0)
	return time.Duration(ends) * s.rates.runTime.mean / time.Duration(s.slots())
}

// memoryLimit returns the number of tokens of the engine's memory up to which it is
// sent requests.
func (s *server) memoryLimit() int { return int(memoryLimitFraction * float64(s.engine.CacheTokens)) }

// readTime returns the time in nanoseconds that an engine needs to read tokens.
func readTime(tokens int) float64 {
	return float64(tokens) / readTokensPerMs * float64(time.Millisecond)
}

// currentFailureRate returns the failure rate, decayed to the present.
func (s *server) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureRateAt))/float64(failureHalfLife))
}

// recordOutcome adds the outcome of a request to the failure rate.
func (s *server) recordOutcome(bad bool, now time.Time) {
	f := s.currentFailureRate(now) * (1 - outcomeWeight)
	if bad {
		f += outcomeWeight
	}
	s.failureRate, s.failureRateAt = f, now
}

// blockUnreachable blocks the server. The time doubles with each block until
// the server is reached again.
func (s *server) blockUnreachable(now time.Time) {
	s.blockTime = min(max(2*s.blockTime, blockMin), blockMax)
	s.blockedUntil = now.Add(s.blockTime)
	s.probing = true
}

// hear records that the server answered. That ends a block and the probing after it.
func (s *server) hear(now time.Time) {
	s.heardAt = now
	s.blockTime, s.blockedUntil, s.probing = 0, time.Time{}, false
}

// updateLatencyRatio corrects the latency ratio by an observed time to the
// first token.
func (s *server) updateLatencyRatio(expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(observed) / float64(expected) * s.latencyRatio
	s.latencyRatio += (min(max(ratio, latencyRatioMin), latencyRatioMax) - s.latencyRatio) * latencyRatioStep
}
