package contract

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Timeouts of circuit breakers.
const (
	// unreachedLimit is the time since a load report last arrived from a server
	// or an entry last reached it, after which a failed load request opens the
	// breaker of the server for all entries.
	unreachedLimit = 2 * time.Second
	// minProbeDelay and maxProbeDelay bound the delay before a probe. The
	// jitter shortens it by up to a half.
	minProbeDelay = time.Second
	maxProbeDelay = 8 * time.Second
)

// breaker is the circuit breaker of one server, for all entries or for one. It
// is closed while openUntil is zero. After openUntil it is half-open: one
// contract may probe the server.
type breaker struct {
	failures  int
	openUntil time.Time
	probe     wigeonladder.ContractID
}

// allowsGrant reports whether a contract may be granted: the breaker is closed,
// or half-open without a probe. A nil breaker is closed.
func (b *breaker) allowsGrant(now time.Time) bool {
	if b == nil || b.openUntil.IsZero() {
		return true
	}
	return !now.Before(b.openUntil) && b.probe == wigeonladder.ContractID{}
}

// open opens the breaker for a time that doubles with each failure. The jitter
// is between 0 and 1.
func (b *breaker) open(now time.Time, jitter float64) {
	wait := min(maxProbeDelay, minProbeDelay<<min(b.failures, 8))
	b.failures++
	b.openUntil = now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
	b.probe = wigeonladder.ContractID{}
}

// startProbe makes a contract the probe if the breaker is not closed.
func (b *breaker) startProbe(id wigeonladder.ContractID) {
	if b != nil && !b.openUntil.IsZero() {
		b.probe = id
	}
}

// endProbe allows another probe after the given probe ended without a result.
func (b *breaker) endProbe(id wigeonladder.ContractID) {
	if b != nil && b.probe == id {
		b.probe = wigeonladder.ContractID{}
	}
}

// reachability is what the end of an attempt tells about whether the entry
// reached the server.
type reachability int

const (
	reachUnknown reachability = iota
	reached
	unreached
)

// reachabilityOf returns what a release tells about the reachability of the
// server.
func reachabilityOf(r wigeonladder.Release) reachability {
	if r.Unused {
		return reachUnknown
	}
	switch r.Usage.Code {
	case wigeonladder.CodeConnect, wigeonladder.CodeTimeout:
		return unreached
	case wigeonladder.CodeRefused, wigeonladder.CodeBackend, wigeonladder.CodeCrossed:
		return reached
	case wigeonladder.CodeOK:
		if !r.Usage.Failed {
			return reached
		}
	}
	return reachUnknown
}

// blockedFor reports whether the breaker of an entry keeps the server from
// being granted to it now.
func (s *server) blockedFor(vm string, now time.Time) bool {
	return !s.entryBreakers[vm].allowsGrant(now)
}

// endFirstLoadWait ends the wait for the first load report.
func (s *server) endFirstLoadWait() {
	if !s.awaitingFirstLoad {
		return
	}
	s.awaitingFirstLoad = false
	s.fixHeaps()
}

// recordReached records that an entry reached the server. It closes the breaker
// of the entry and that for all entries.
func (l *Ledger) recordReached(s *server, vm string, now time.Time) {
	s.lastReached = now
	s.endFirstLoadWait()
	delete(s.entryBreakers, vm)
	l.setBreaker(s, nil)
}

// recordRelease applies what a release tells about the reachability of its
// server. A failure of one entry opens the breaker of that entry only, because
// its own link may be the cause. The breaker for all entries opens only if the
// home does not reach the server either; to find out, the home requests a load
// report at once. A broken connection does not count, because a single request
// may have crashed the server.
func (l *Ledger) recordRelease(t *lease, r wigeonladder.Release, now time.Time) {
	s, vm := t.server, t.contract.Entry
	switch reachabilityOf(r) {
	case reached:
		l.recordReached(s, vm, now)
	case unreached:
		s.lastUnreached = now
		b := s.entryBreakers[vm]
		if b == nil {
			b = &breaker{}
			s.entryBreakers[vm] = b
		}
		// Attempts that were in flight at the same time count as one failure.
		if b.openUntil.IsZero() || b.probe == r.ID {
			b.open(now, l.random.Float64())
			l.options.Journal.Note("", "server blocked", "server", s.Name, "entry", vm,
				"code", r.Usage.Code.String(), "until", time.Until(b.openUntil).String())
		}
		if s.breaker != nil && s.breaker.probe == r.ID {
			s.breaker.open(now, l.random.Float64())
			s.probeAllowed = false
			s.fixHeaps()
		}
		l.verifyReachable(s)
	case reachUnknown:
	}
}

// verifyReachable requests the load report of a server at once, unless such a
// request is under way or the breaker for all entries is open.
func (l *Ledger) verifyReachable(s *server) {
	if l.options.FetchLoad == nil || s.requestingLoad || s.breaker != nil {
		return
	}
	s.requestingLoad = true
	name := s.Name
	target := s.Server
	go func() {
		l.requestLoad(target)
		l.mu.Lock()
		defer l.mu.Unlock()
		if s := l.servers[name]; s != nil {
			s.requestingLoad = false
		}
	}()
}

// applyLoadOutcome applies what a load request tells about the reachability of
// the server. A received report closes the breaker for all entries. If this
// breaker was open, the report also closes the breakers of single entries, as
// the server was unreachable for all. A failed request opens the breaker for
// all entries if an entry has failed to reach the server since it was last
// reached, or if unreachedLimit has passed since then.
func (l *Ledger) applyLoadOutcome(s *server, r loadOutcome, now time.Time) {
	s.lastLoadTimedOut = r == loadTimedOut
	s.endFirstLoadWait()
	if r == loadReceived {
		if s.breaker != nil {
			clear(s.entryBreakers)
		}
		s.lastReached = now
		l.setBreaker(s, nil)
		return
	}
	entryUnreached := !s.lastUnreached.IsZero() && !s.lastUnreached.Before(s.lastReached)
	if s.breaker == nil && (entryUnreached || now.Sub(s.lastReached) >= unreachedLimit) {
		b := &breaker{}
		b.open(now, l.random.Float64())
		l.setBreaker(s, b)
	}
}

// setBreaker opens the breaker for all entries, or closes it if b is nil.
func (l *Ledger) setBreaker(s *server, b *breaker) {
	if s.breaker == b {
		return
	}
	s.breaker = b
	s.probeAllowed = false
	s.fixHeaps()
	l.options.Journal.Note("", "server reachable", "server", s.Name, "ok", b == nil)
}

// allowProbe lets one contract probe a server whose breaker has been open for
// its full time. It runs at each refresh, because the order of the heaps must
// not change on its own as time passes. A server whose last load request timed
// out gets no probe before the next load report: a request sent to it would
// hang until its first byte is due.
func (l *Ledger) allowProbe(s *server, now time.Time) {
	if s.breaker != nil && !s.lastLoadTimedOut && !s.probeAllowed && s.breaker.allowsGrant(now) {
		s.probeAllowed = true
		s.fixHeaps()
	}
}
