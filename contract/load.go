package contract

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Intervals of load reports.
const (
	// loadInterval is the interval between two load requests to a server.
	loadInterval = time.Second
	// loadExpiry is how long a load report lowers the free slots of a server.
	loadExpiry = 3 * time.Second
)

// loadOutcome is how a request for a load report ended.
type loadOutcome int

const (
	loadReceived loadOutcome = iota
	// loadFailed means that the request was refused or answered wrongly.
	// Something did answer.
	loadFailed
	// loadTimedOut means that nothing answered in time.
	loadTimedOut
)

// loadOutcomeOf returns the outcome of a load request from its error.
func loadOutcomeOf(ctx context.Context, err error) loadOutcome {
	switch {
	case err == nil:
		return loadReceived
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return loadTimedOut
	}
	return loadFailed
}

// pollLoads requests the load reports of the own servers at each loadInterval
// until the context ends.
func (l *Ledger) pollLoads() {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
			l.pollLoadsOnce()
		}
	}
}

// pollLoadsOnce requests the load reports of all own servers concurrently.
func (l *Ledger) pollLoadsOnce() {
	l.mu.Lock()
	own := make([]wigeonladder.Server, 0, len(l.servers))
	for _, s := range l.servers {
		own = append(own, s.Server)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, loadInterval)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range own {
		group.Go(func() {
			load, err := l.options.FetchLoad(ctx, s)
			l.applyLoad(s.Name, load, loadOutcomeOf(ctx, err))
		})
	}
	group.Wait()
}

// requestLoad requests the load report of one server outside the regular
// interval. Only its outcome is used and not its figures, because
// recentReleases counts whole intervals.
func (l *Ledger) requestLoad(s wigeonladder.Server) {
	ctx, cancel := context.WithTimeout(l.ctx, loadInterval)
	defer cancel()
	_, err := l.options.FetchLoad(ctx, s)
	r := loadOutcomeOf(ctx, err)
	now := time.Now()
	l.mu.Lock()
	var out outbox
	if own := l.servers[s.Name]; own != nil && l.ctx.Err() == nil {
		l.applyLoadOutcome(own, r, now)
		l.dispatch(own.pool, &out)
	}
	l.mu.Unlock()
	l.send(out)
}

// applyLoad lowers the free slots of a server by the work that it reports and
// that no contract of this home accounts for. Contracts that were released in
// the last two intervals still count as known, because the report lags behind.
func (l *Ledger) applyLoad(name string, load wigeonladder.Load, r loadOutcome) {
	now := time.Now()
	l.mu.Lock()
	var out outbox
	if s := l.servers[name]; s != nil {
		known := s.slotsInUse + s.recentReleases[0] + s.recentReleases[1]
		s.recentReleases = [2]int{0, s.recentReleases[0]}
		if r == loadReceived {
			s.foreignSlots = max(0, load.Running+load.Waiting-known)
			s.lastLoad = now
		}
		if now.Sub(s.lastLoad) > loadExpiry {
			s.foreignSlots = 0
		}
		s.fixHeaps()
		if l.ctx.Err() == nil {
			l.applyLoadOutcome(s, r, now)
		}
		l.dispatch(s.pool, &out)
	}
	l.mu.Unlock()
	l.send(out)
}
