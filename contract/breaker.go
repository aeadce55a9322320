package contract

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of circuit breakers.
const (
	// unheardLimit is how long a server may give no sign of life before a
	// failed load report closes it to everybody.
	unheardLimit = 2 * time.Second
	// breakMin and breakMax bound the time between two probes of a server.
	breakMin = time.Second
	breakMax = 8 * time.Second
)

// breaker is the circuit breaker of one server, for all entries or for one. It
// is closed while until is zero. After that time one contract may probe the
// server.
type breaker struct {
	failures int
	until    time.Time
	probe    wigeonladder.ContractID
}

// allows reports whether a contract may be granted.
func (b *breaker) allows(now time.Time) bool {
	if b == nil || b.until.IsZero() {
		return true
	}
	return !now.Before(b.until) && b.probe == wigeonladder.ContractID{}
}

// open keeps grants off for a time that doubles with each failure. The jitter
// is between 0 and 1.
func (b *breaker) open(now time.Time, jitter float64) {
	wait := min(breakMax, breakMin<<min(b.failures, 8))
	b.failures++
	b.until = now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
	b.probe = wigeonladder.ContractID{}
}

// granted makes a contract the probe if the breaker is not closed.
func (b *breaker) granted(id wigeonladder.ContractID) {
	if b != nil && !b.until.IsZero() {
		b.probe = id
	}
}

// ended lets another contract probe after the probe ended without a result.
func (b *breaker) ended(id wigeonladder.ContractID) {
	if b != nil && b.probe == id {
		b.probe = wigeonladder.ContractID{}
	}
}

// verdict is what the end of an attempt says about the way to the server.
type verdict int

const (
	unknown verdict = iota
	reached
	unreached
)

// judge returns the verdict of a release.
func judge(r wigeonladder.Release) verdict {
	if r.Unused {
		return unknown
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
	return unknown
}

// blocked reports whether a server may not be granted to an entry now.
func (s *server) blocked(vm string, now time.Time) bool {
	return !s.byEntry[vm].allows(now)
}

// prove ends the wait for the first load report.
func (s *server) prove() {
	if !s.unproven {
		return
	}
	s.unproven = false
	s.fix()
}

// heard notes that an entry reached the server.
func (l *Ledger) heard(s *server, vm string, now time.Time) {
	s.heard = now
	s.prove()
	delete(s.byEntry, vm)
	l.shut(s, nil)
}

// observe applies the verdict of a release. One entry's failure keeps the
// server from that entry only, because its own link may be the cause. It closes
// the server to everybody only if the home does not reach it either, which a
// load report made at once tells. A broken connection is no verdict: one
// request may have crashed the server.
func (l *Ledger) observe(t *lease, r wigeonladder.Release, now time.Time) {
	s, vm := t.server, t.contract.Entry
	switch judge(r) {
	case reached:
		l.heard(s, vm, now)
	case unreached:
		s.failed = now
		b := s.byEntry[vm]
		if b == nil {
			b = &breaker{}
			s.byEntry[vm] = b
		}
		// Attempts that were under way together count once.
		if b.until.IsZero() || b.probe == r.ID {
			b.open(now, l.random.Float64())
			l.o.Journal.Note("", "server blocked", "server", s.Name, "entry", vm,
				"code", r.Usage.Code.String(), "until", time.Until(b.until).String())
		}
		if s.all != nil && s.all.probe == r.ID {
			s.all.open(now, l.random.Float64())
			s.probing = false
			s.fix()
		}
		l.verify(s)
	case unknown:
	}
}

// verify asks a server for its load report at once, unless that is under way.
func (l *Ledger) verify(s *server) {
	if l.o.FetchLoad == nil || s.verifying || s.all != nil {
		return
	}
	s.verifying = true
	name := s.Name
	ask := s.Server
	go func() {
		l.askLoad(ask)
		l.mu.Lock()
		defer l.mu.Unlock()
		if s := l.servers[name]; s != nil {
			s.verifying = false
		}
	}()
}

// sighted applies what a load report says about the way to the server. A good
// one ends the breaker for all entries; the blocks of single entries end with
// it, as the server was away for everybody.
func (l *Ledger) sighted(s *server, r report, now time.Time) {
	s.silent = r == timedOut
	s.prove()
	if r == arrived {
		if s.all != nil {
			clear(s.byEntry)
		}
		s.heard = now
		l.shut(s, nil)
		return
	}
	missed := !s.failed.IsZero() && !s.failed.Before(s.heard)
	if s.all == nil && (missed || now.Sub(s.heard) >= unheardLimit) {
		b := &breaker{}
		b.open(now, l.random.Float64())
		l.shut(s, b)
	}
}

// shut sets or ends the breaker for all entries.
func (l *Ledger) shut(s *server, b *breaker) {
	if s.all == b {
		return
	}
	s.all = b
	s.probing = false
	s.fix()
	l.o.Journal.Note("", "server reachable", "server", s.Name, "ok", b == nil)
}

// probe lets one contract probe a server whose breaker time is over. It runs at
// each tick, because the order of the heaps must not change by itself. A server
// whose last load report timed out is left to the next report: a request sent to
// it would hang until its first byte is due.
func (l *Ledger) probe(s *server, now time.Time) {
	if s.all != nil && !s.silent && !s.probing && s.all.allows(now) {
		s.probing = true
		s.fix()
	}
}
