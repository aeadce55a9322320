package contract

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of load reports.
const (
	// loadPeriod is the time between two load reports of a server.
	loadPeriod = time.Second
	// loadLife is how long a report lowers the free slots.
	loadLife = 3 * time.Second
)

// report is how the request for a load report ended.
type report int

const (
	arrived report = iota
	// failed reports were refused or wrong: something answered.
	failed
	// timedOut reports got no answer at all.
	timedOut
)

// reportOf returns how a request for a load report ended.
func reportOf(ctx context.Context, err error) report {
	switch {
	case err == nil:
		return arrived
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return timedOut
	}
	return failed
}

// pollLoads asks the own servers for their load until the context ends.
func (l *Ledger) pollLoads() {
	t := time.NewTicker(loadPeriod)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
			l.pollOnce()
		}
	}
}

// pollOnce asks each own server once, at the same time.
func (l *Ledger) pollOnce() {
	l.mu.Lock()
	own := make([]wigeonladder.Server, 0, len(l.servers))
	for _, s := range l.servers {
		own = append(own, s.Server)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, loadPeriod)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range own {
		group.Go(func() {
			load, err := l.o.FetchLoad(ctx, s)
			l.applyLoad(s.Name, load, reportOf(ctx, err))
		})
	}
	group.Wait()
}

// askLoad asks one server for its report outside the period. Its figures are
// not used, as the windows of known work count whole periods.
func (l *Ledger) askLoad(s wigeonladder.Server) {
	ctx, cancel := context.WithTimeout(l.ctx, loadPeriod)
	defer cancel()
	_, err := l.o.FetchLoad(ctx, s)
	r := reportOf(ctx, err)
	now := time.Now()
	l.mu.Lock()
	var out outbox
	if own := l.servers[s.Name]; own != nil && l.ctx.Err() == nil {
		l.sighted(own, r, now)
		l.dispatch(own.pool, &out)
	}
	l.mu.Unlock()
	l.send(out)
}

// applyLoad lowers the free slots of a server by the work that it reports and
// this home does not know. Contracts that ended within the last windows still
// count as known, as the report lags.
func (l *Ledger) applyLoad(name string, load wigeonladder.Load, r report) {
	now := time.Now()
	l.mu.Lock()
	var out outbox
	if s := l.servers[name]; s != nil {
		known := s.inUse + s.released[0] + s.released[1]
		s.released = [2]int{0, s.released[0]}
		if r == arrived {
			s.foreign = max(0, load.Running+load.Waiting-known)
			s.loadAt = now
		}
		if now.Sub(s.loadAt) > loadLife {
			s.foreign = 0
		}
		s.fix()
		if l.ctx.Err() == nil {
			l.sighted(s, r, now)
		}
		l.dispatch(s.pool, &out)
	}
	l.mu.Unlock()
	l.send(out)
}
