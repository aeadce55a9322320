package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// defaultReadRate is the number of prompt tokens that an engine is taken to
	// read in a millisecond before it was observed.
	defaultReadRate = 90.0
	// firstTokenTime is the time to the first token of an idle engine that has
	// nothing to read.
	firstTokenTime = 60 * time.Millisecond
	// streamTime is how much a running stream delays a first token.
	streamTime = 2 * time.Millisecond
	// callTime is what one running call of a plain service delays another.
	callTime = 5 * time.Millisecond
	// cacheShare is the part of an engine's memory that is believed to keep
	// prompt parts; the rest goes to running requests.
	cacheShare = 0.7
	// memoryShare is the part of an engine's memory up to which requests are
	// sent. An engine without room preempts its newest request.
	memoryShare = 0.9
	// faultHalfLife is the time in which a recorded failure loses half of its
	// weight.
	faultHalfLife = 2 * time.Second
	// faultStep is the weight of the newest outcome.
	faultStep = 0.3
	// faultTime is the delay that a server counts for that fails every request.
	faultTime = 1500 * time.Millisecond
	// blockMin and blockMax bound the time for which a server that cannot be
	// reached gets no requests.
	blockMin = 150 * time.Millisecond
	blockMax = 3 * time.Second
	// paceStep is the weight of the newest observation of a server's pace. A late
	// first token mostly tells of calls of other daemons that were not known yet;
	// with 0.1 such calls made servers look up to eight times as slow as they are.
	paceStep = 0.005
	// paceMin and paceMax bound the learned pace.
	paceMin, paceMax = 0.5, 8.0
)

// server is what the pool knows of one start of a backend server.
type server struct {
	instance wigeonladder.Instance
	engine   *route.Engine
	own      load
	// remote are the loads of other daemons by name, others is their sum.
	remote map[string]remoteLoad
	others load
	// hash is that of the name.
	hash  uint64
	cache *cache
	// pace is the ratio of observed to expected times to the first token.
	pace float64
	// fault is the recent share of failures, as of faultAt.
	fault   float64
	faultAt time.Time
	// blocked is until when the server gets no requests; block is the time of
	// the next block. While trial is set one request tries it out.
	blocked time.Time
	block   time.Duration
	trial   bool
	// leases are the calls of this daemon that run on it.
	leases map[*Lease]struct{}
	// queued is the number of prompt tokens of the jobs that wait here for it.
	queued int
}

// load is what daemons have running on a server.
type load struct {
	// running is the number of requests.
	running int
	// unread is the number of prompt tokens of requests without a first token.
	unread int
	// memory is the number of tokens that the requests occupy.
	memory int
}

// add returns the sum of two loads.
func (l load) add(o load) load {
	return load{l.running + o.running, l.unread + o.unread, l.memory + o.memory}
}

// sub returns the difference of two loads.
func (l load) sub(o load) load {
	return load{l.running - o.running, l.unread - o.unread, l.memory - o.memory}
}

// remoteLoad is the load of another daemon as it reported it, and until when the
// report counts.
type remoteLoad struct {
	load
	until time.Time
}

// newServer returns a server without load.
func newServer(i wigeonladder.Instance, e *route.Engine) *server {
	s := &server{
		instance: i, remote: map[string]remoteLoad{}, pace: 1, leases: map[*Lease]struct{}{},
		hash: xxhash.Sum64String(i.ID),
	}
	s.setEngine(e)
	return s
}

// setEngine takes over the description of the engine.
func (s *server) setEngine(e *route.Engine) {
	s.engine = e
	if e != nil && s.cache == nil {
		s.cache = newCache(int(float64(e.CacheTokens) * cacheShare))
	}
}

// total is the load of all daemons.
func (s *server) total() load { return s.own.add(s.others) }

// setRemote takes over the load that another daemon reports.
func (s *server) setRemote(from string, l load, until time.Time) {
	s.others = s.others.sub(s.remote[from].load).add(l)
	if l == (load{}) {
		delete(s.remote, from)
		return
	}
	s.remote[from] = remoteLoad{l, until}
}

// expire drops the loads of daemons that have not reported for long.
func (s *server) expire(now time.Time) {
	for from, r := range s.remote {
		if now.After(r.until) {
			s.setRemote(from, load{}, now)
		}
	}
}

// slots is the number of requests that the server runs at once.
func (s *server) slots() int {
	n := s.instance.Slots
	if s.engine != nil && s.engine.Slots > 0 {
		n = s.engine.Slots
	}
	return max(n, 1)
}

// missing is the number of prompt tokens that the server has to read, and how
// many of these other requests share.
func (s *server) missing(j *Job) (all, shared int) {
	if s.cache == nil {
		return 0, 0
	}
	held := s.cache.held(j.chain)
	return max(j.Prompt.Tokens-held, 1), max(j.chain.sharedTokens()-held, 0)
}

// wait is the expected time until the server has read what it was sent before.
func (s *server) wait() time.Duration {
	l := s.total()
	if s.engine == nil {
		return time.Duration(float64(l.running) * float64(callTime) * s.pace)
	}
	return time.Duration((readTime(l.unread) + float64(l.running)*float64(streamTime)) * s.pace)
}

// readTime is the time in nanoseconds in which an engine reads tokens.
func readTime(tokens int) float64 {
	return float64(tokens) / defaultReadRate * float64(time.Millisecond)
}

// faults is the recent share of failures.
func (s *server) faults(now time.Time) float64 {
	return s.fault * math.Exp2(-float64(now.Sub(s.faultAt))/float64(faultHalfLife))
}

// record takes the outcome of a request.
func (s *server) record(bad bool, now time.Time) {
	f := s.faults(now) * (1 - faultStep)
	if bad {
		f += faultStep
	}
	s.fault, s.faultAt = f, now
}

// unreachable blocks the server for a time that doubles.
func (s *server) unreachable(now time.Time) {
	s.block = min(max(2*s.block, blockMin), blockMax)
	s.blocked = now.Add(s.block)
	s.trial = true
}

// reached ends a block.
func (s *server) reached() {
	s.block, s.blocked, s.trial = 0, time.Time{}, false
}

// open reports whether the server may get requests at all.
func (s *server) open(now time.Time) bool {
	if s.instance.Leaving || now.Before(s.blocked) {
		return false
	}
	return !s.trial || s.own.running == 0
}

// learn corrects the pace by an observed time to the first token.
func (s *server) learn(expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(observed) / float64(expected) * s.pace
	s.pace += (min(max(ratio, paceMin), paceMax) - s.pace) * paceStep
}
