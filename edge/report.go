package edge

import (
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder/exchange"
	"github.com/wigeonladder/wigeonladder/place"
)

const (
	// learnTimeout is the time after the start from which a daemon takes calls even if
	// no other daemon has answered its hello.
	learnTimeout = time.Second
	// suspicionsPeriod is the time between two reports with all suspicions, from which
	// a restarted daemon, or one that was cut off, learns them.
	suspicionsPeriod = time.Second
)

// exportReport returns the next report to the other daemons. Charges and totals are
// part of it only if charges is true, suspicions when they change and each
// suspicionsPeriod. It is not safe for concurrent use.
func (d *Daemon) exportReport(charges bool) exchange.Report {
	r := exchange.Report{Place: d.pool.Export(), Suspicions: d.suspects.ExportChanges(), Draining: d.leaving.Load()}
	if charges {
		if c := d.counters.Export(); len(c.Rows) > 0 {
			r.Charges = &c
		}
		r.Totals = d.window.Export()
	}
	if now := time.Now(); now.Sub(d.suspicionsSentAt) >= suspicionsPeriod {
		d.suspicionsSentAt = now
		r.Suspicions = append(r.Suspicions, d.suspects.Export()...)
	}
	return r
}

// importReport applies the report of another daemon.
func (d *Daemon) importReport(r exchange.Report) {
	d.pool.Import(r.From, r.Place, r.Lifetime())
	if r.Charges != nil {
		d.counters.Import(*r.Charges)
	}
	d.window.Import(r.Incarnation, r.Totals)
	if len(r.Suspicions) > 0 {
		d.suspects.Import(r.Suspicions)
	}
}

// hasLearned reports whether another daemon has answered since the start, or none is
// expected to.
func (d *Daemon) hasLearned() bool {
	if d.learned.Load() || time.Since(d.startedAt) >= learnTimeout {
		return true
	}
	return !slices.ContainsFunc(*d.seeds.Load(), func(a string) bool { return a != d.settings.PeerAddress })
}

// known returns what a daemon that connects has to know before it takes calls.
func (d *Daemon) known() exchange.Report {
	versions := d.streams.versions.Export()
	return exchange.Report{Suspicions: d.suspects.Export(), Place: place.Report{Limits: d.pool.Limits()}, Versions: &versions}
}

// learn applies what another daemon knows.
func (d *Daemon) learn(r exchange.Report) {
	d.suspects.Import(r.Suspicions)
	d.pool.ImportLimits(r.Place.Limits)
	if r.Versions != nil {
		d.streams.versions.Import(*r.Versions)
	}
	d.learned.Store(true)
}
