package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder/estimate"
)

// Stats is the state of a Pool in a few numbers.
type Stats struct {
	// SweepDelay is by how much a check of the waiting jobs was late at most
	// since the last Stats. It grows when the daemon lacks processor time.
	SweepDelay time.Duration
	// TimerDelay is the mean delay of the checks of late.
	TimerDelay time.Duration
	Services   []ServiceStats
}

// ServiceStats is the state of one service.
type ServiceStats struct {
	Service string
	// Servers is the number of backend servers, Available the number of those
	// that take calls.
	Servers, Available int
	// Evacuated is the number of servers in evacuated zones, Cold the number of cold
	// servers whose calls are limited.
	Evacuated, Cold int
	// Waiting is the number of jobs that wait, WaitingTokens the number of their
	// prompt tokens.
	Waiting, WaitingTokens int
	// Running is the number of this daemon's calls that run.
	Running int
	// MeanWait is the mean expected wait at the available servers.
	MeanWait time.Duration
	// WastedCost is the cost of the leases of this daemon that ended before the
	// server had read the prompt, since the start.
	WastedCost int64
	// FirstTokens compares observed with expected times to the first token.
	FirstTokens estimate.Summary
}

// FirstTokens returns for each service the comparison of observed with expected times to
// the first token.
func (p *Pool) FirstTokens() map[string]estimate.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]estimate.Summary{}
	for name, g := range p.services {
		if s := g.rates.accuracy.Summary(); s.Count > 0 {
			m[name] = s
		}
	}
	return m
}

// Stats returns the state of the pool, with services sorted by name. It resets
// SweepDelay.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	st := Stats{SweepDelay: max(p.maxSweepDelay, now.Sub(p.sweptAt)-sweepPeriod), TimerDelay: p.sweepDelay.Mean()}
	p.maxSweepDelay = 0
	for _, g := range p.services {
		st.Services = append(st.Services, g.stats(now))
	}
	slices.SortFunc(st.Services, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return st
}

// TimerDelay returns the mean delay of late with which timers of the process fire.
func (p *Pool) TimerDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sweepDelay.Mean()
}

// MeanRunTime returns the mean time from the first token of a call of a service to its
// end.
func (p *Pool) MeanRunTime(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceState(service).rates.runTime.mean
}

// stats returns the state of the service.
func (g *serviceState) stats(now time.Time) ServiceStats {
	t := ServiceStats{Service: g.name, Servers: len(g.servers), Waiting: g.waiting, WaitingTokens: g.waitingTokens, WastedCost: g.wastedCost, FirstTokens: g.rates.accuracy.Summary()}
	wait := time.Duration(0)
	for _, s := range g.order {
		t.Running += s.own.running
		if s.evacuated {
			t.Evacuated++
		}
		if s.coldLeft(now) > 0 {
			t.Cold++
		}
		if s.available(now) {
			t.Available++
			wait += s.expectedWait()
		}
	}
	if t.Available > 0 {
		t.MeanWait = wait / time.Duration(t.Available)
	}
	return t
}

// recordSweep records that sweep runs now.
func (p *Pool) recordSweep(now time.Time) {
	delay := now.Sub(p.sweptAt) - sweepPeriod
	p.maxSweepDelay = max(p.maxSweepDelay, delay)
	p.sweepDelay.Fire(now, sweepPeriod)
	if delay > lateSweepDelay {
		p.lateUntil = now.Add(lateTime)
	}
	p.sweptAt = now
}

// isLate reports whether the daemon lacks processor time.
func (p *Pool) isLate(now time.Time) bool {
	return now.Before(p.lateUntil) || now.Sub(p.sweptAt)-sweepPeriod > lateSweepDelay
}
