package entry

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
)

// Place implements wigeonladder.Placer.
func (q *Queue) Place(ctx context.Context, r wigeonladder.Request) (wigeonladder.Contract, error) {
	if ctx.Err() != nil {
		return wigeonladder.Contract{}, q.gone(r)
	}
	if err := q.servable(r); err != nil {
		// The view may be older than the configuration that the caller's side
		// has already checked the request against.
		q.refresh()
		if err = q.servable(r); err != nil {
			return wigeonladder.Contract{}, q.refused(r, err)
		}
	}
	if q.quiet(r.Service) {
		if c, ok := q.askHomes(ctx, r); ok {
			return c, nil
		}
	}
	w, err := q.enqueue(r)
	if err != nil {
		return wigeonladder.Contract{}, q.refused(r, err)
	}
	return q.await(ctx, w)
}

// servable returns an error if no server could ever serve the request.
func (q *Queue) servable(r wigeonladder.Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.view.services[r.Service]
	switch {
	case s == nil:
		return wigeonladder.Errorf(wigeonladder.CodeNoService, r.Service, "service is not in the register")
	case s.servers == 0:
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, r.Service, "no live backend server").WithRetryAfter(minRetry)
	case !s.models[r.Model]:
		return wigeonladder.Errorf(wigeonladder.CodeNoModel, r.Service, "no backend server has the model %q", r.Model)
	}
	return nil
}

// refused records an error that ends a request.
func (q *Queue) refused(r wigeonladder.Request, err error) error {
	q.o.Journal.Note(r.ID, "refused", "reason", err.Error())
	return err
}

// gone records that the caller went.
func (q *Queue) gone(r wigeonladder.Request) error {
	err := wigeonladder.Errorf(wigeonladder.CodeCallerGone, r.ID, "the caller went while the request waited")
	return q.refused(r, err)
}

// quiet reports whether nothing of a service waits here.
func (q *Queue) quiet(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[service]
	return l == nil || l.length == 0
}

// enqueue queues a request. A full line refuses the request that the fair rule
// names, which may be the new one.
func (q *Queue) enqueue(r wigeonladder.Request) (*waiter, error) {
	now := time.Now()
	w := &waiter{request: r, since: r.Arrived, done: make(chan outcome, 1)}
	w.level = int(min(max(r.Urgency, 0), wigeonladder.UrgencyHigh))
	if w.since.IsZero() {
		w.since = now
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[r.Service]
	if l == nil {
		l = newLine(r.Service)
		q.lines[r.Service] = l
	}
	weight := q.view.weight(r.Workspace)
	if q.o.MaxWaiting > 0 && l.length >= q.o.MaxWaiting {
		v := l.victim(w, weight)
		if v == nil {
			return nil, l.full(r)
		}
		q.drop(l, v)
		v.done <- outcome{err: q.refused(v.request, l.full(v.request))}
	}
	l.add(w, weight)
	q.dirty(w.lane.laneKey)
	q.o.Journal.Note(r.ID, "queued", "service", r.Service, "workspace", r.Workspace,
		"waiting", l.length, "reason", "no free slot")
	return w, nil
}

// full returns the refusal of a request by a full line.
func (l *line) full(r wigeonladder.Request) error {
	return wigeonladder.Errorf(wigeonladder.CodeQueueFull, r.Service,
		"the queue is full and workspace %s has the longest queue per weight", r.Workspace).
		WithRetryAfter(l.pace.retry(l.length))
}

// drop takes a waiting request out and reports the change.
func (q *Queue) drop(l *line, w *waiter) bool {
	if !l.remove(w) {
		return false
	}
	q.dirty(w.lane.laneKey)
	return true
}

// await waits for the outcome of a queued request.
func (q *Queue) await(ctx context.Context, w *waiter) (wigeonladder.Contract, error) {
	var late <-chan time.Time
	if q.o.MaxWait > 0 {
		t := time.NewTimer(q.o.MaxWait)
		defer t.Stop()
		late = t.C
	}
	r := w.request
	select {
	case o := <-w.done:
		return o.contract, o.err
	case <-ctx.Done():
		return q.leave(w, func() error { return q.gone(r) })
	case <-q.ctx.Done():
		return q.leave(w, func() error {
			return q.refused(r, wigeonladder.Errorf(wigeonladder.CodeDraining, r.ID, "the daemon is stopping"))
		})
	case <-late:
		return q.leave(w, func() error {
			return q.refused(r, wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, r.ID,
				"no slot within %v", q.o.MaxWait).WithRetryAfter(q.retry(r.Service)))
		})
	}
}

// retry returns the retry time of a service in seconds.
func (q *Queue) retry(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[service]
	if l == nil {
		return minRetry
	}
	return l.pace.retry(l.length)
}

// leave ends the wait of a request. A contract that came at the same moment
// goes back.
func (q *Queue) leave(w *waiter, why func() error) (wigeonladder.Contract, error) {
	q.mu.Lock()
	waited := q.drop(q.lines[w.request.Service], w)
	q.mu.Unlock()
	if waited {
		return wigeonladder.Contract{}, why()
	}
	o := <-w.done
	if o.err != nil {
		return o.contract, o.err
	}
	q.mu.Lock()
	delete(q.held, o.contract.ID)
	q.mu.Unlock()
	q.giveBack(o.contract, "request is gone")
	return wigeonladder.Contract{}, why()
}

// hold records a contract in use.
func (q *Queue) hold(c wigeonladder.Contract, r wigeonladder.Request) {
	q.held[c.ID] = &hold{contract: c, request: r.ID, prefix: r.PrefixHash}
	if l := q.lines[c.Service]; l != nil {
		l.pace.add(c.Received)
	}
}

// prefixes returns the affinity of a service.
func (q *Queue) prefixes(service string) *contract.Affinity {
	a := q.affinity[service]
	if a == nil {
		a = contract.NewAffinity()
		q.affinity[service] = a
	}
	return a
}

// CodeOf returns the result code of an error of Place or Check, CodeOK for nil.
// An error without a code gives an unknown one, which counts as "may have run".
func CodeOf(err error) wigeonladder.Code {
	if err == nil {
		return wigeonladder.CodeOK
	}
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return -1
}
