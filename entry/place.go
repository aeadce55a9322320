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
		return wigeonladder.Contract{}, q.callerGone(r)
	}
	if err := q.checkServable(r); err != nil {
		// The view may be older than the configuration against which the request
		// was checked before it came here.
		q.refresh()
		if err = q.checkServable(r); err != nil {
			return wigeonladder.Contract{}, q.noteRefused(r, err)
		}
	}
	if q.nothingWaits(r.Service) {
		if c, ok := q.requestFromHomes(ctx, r); ok {
			return c, nil
		}
	}
	w, err := q.enqueue(r)
	if err != nil {
		return wigeonladder.Contract{}, q.noteRefused(r, err)
	}
	return q.await(ctx, w)
}

// checkServable returns an error if no known server can serve the request.
func (q *Queue) checkServable(r wigeonladder.Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.view.services[r.Service]
	switch {
	case s == nil:
		return wigeonladder.Errorf(wigeonladder.CodeNoService, r.Service, "service is not in the register")
	case s.serverCount == 0:
		return wigeonladder.Errorf(wigeonladder.CodeNoServer, r.Service, "no live backend server").WithRetryAfter(minRetryAfterSeconds)
	case !s.models[r.Model]:
		return wigeonladder.Errorf(wigeonladder.CodeNoModel, r.Service, "no backend server has the model %q", r.Model)
	}
	return nil
}

// noteRefused records an error that ends a request and returns it.
func (q *Queue) noteRefused(r wigeonladder.Request, err error) error {
	q.options.Journal.Note(r.ID, "refused", "reason", err.Error())
	return err
}

// callerGone records and returns the error of a request whose caller has left.
func (q *Queue) callerGone(r wigeonladder.Request) error {
	err := wigeonladder.Errorf(wigeonladder.CodeCallerGone, r.ID, "the caller went while the request waited")
	return q.noteRefused(r, err)
}

// nothingWaits reports whether no request of a service waits here.
func (q *Queue) nothingWaits(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.services[service]
	return l == nil || l.length == 0
}

// enqueue adds a request to the queue of its service. If the queue is full, it
// refuses the request that requestToRefuse returns, which may be the new one.
func (q *Queue) enqueue(r wigeonladder.Request) (*waiter, error) {
	now := time.Now()
	w := &waiter{request: r, arrived: r.Arrived, done: make(chan outcome, 1)}
	w.urgency = int(min(max(r.Urgency, 0), wigeonladder.UrgencyHigh))
	if w.arrived.IsZero() {
		w.arrived = now
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.services[r.Service]
	if l == nil {
		l = newServiceQueue(r.Service)
		q.services[r.Service] = l
	}
	weight := q.view.weight(r.Workspace)
	if q.options.MaxWaiting > 0 && l.length >= q.options.MaxWaiting {
		v := l.requestToRefuse(w, weight)
		if v == nil {
			return nil, l.queueFullError(r)
		}
		q.dequeue(l, v)
		v.done <- outcome{err: q.noteRefused(v.request, l.queueFullError(v.request))}
	}
	l.add(w, weight)
	q.markChanged(w.modelQueue.demandKey)
	q.options.Journal.Note(r.ID, "queued", "service", r.Service, "workspace", r.Workspace,
		"waiting", l.length, "reason", "no free slot")
	return w, nil
}

// queueFullError returns the error of a request that a full queue refuses.
func (l *serviceQueue) queueFullError(r wigeonladder.Request) error {
	return wigeonladder.Errorf(wigeonladder.CodeQueueFull, r.Service,
		"the queue is full and workspace %s has the longest queue per weight", r.Workspace).
		WithRetryAfter(l.rate.retryAfterSeconds(l.length))
}

// dequeue removes a waiting request from its queue and marks its demand as
// changed. It returns false if the request was no longer in the queue.
func (q *Queue) dequeue(l *serviceQueue, w *waiter) bool {
	if !l.remove(w) {
		return false
	}
	q.markChanged(w.modelQueue.demandKey)
	return true
}

// await waits until a queued request gets its outcome, the caller leaves, the
// daemon stops or MaxWait has passed.
func (q *Queue) await(ctx context.Context, w *waiter) (wigeonladder.Contract, error) {
	var maxWaitOver <-chan time.Time
	if q.options.MaxWait > 0 {
		t := time.NewTimer(q.options.MaxWait)
		defer t.Stop()
		maxWaitOver = t.C
	}
	r := w.request
	select {
	case o := <-w.done:
		return o.contract, o.err
	case <-ctx.Done():
		return q.abandonWait(w, func() error { return q.callerGone(r) })
	case <-q.ctx.Done():
		return q.abandonWait(w, func() error {
			return q.noteRefused(r, wigeonladder.Errorf(wigeonladder.CodeDraining, r.ID, "the daemon is stopping"))
		})
	case <-maxWaitOver:
		return q.abandonWait(w, func() error {
			return q.noteRefused(r, wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, r.ID,
				"no slot within %v", q.options.MaxWait).WithRetryAfter(q.retryAfterSeconds(r.Service)))
		})
	}
}

// retryAfterSeconds returns the Retry-After time of a service in seconds.
func (q *Queue) retryAfterSeconds(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.services[service]
	if l == nil {
		return minRetryAfterSeconds
	}
	return l.rate.retryAfterSeconds(l.length)
}

// abandonWait ends the wait of a request early and returns the result of why as
// its error. A contract that arrived at the same moment is returned to its home.
func (q *Queue) abandonWait(w *waiter, why func() error) (wigeonladder.Contract, error) {
	q.mu.Lock()
	waited := q.dequeue(q.services[w.request.Service], w)
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

// addHeld records that a request holds a contract and counts the placement.
func (q *Queue) addHeld(c wigeonladder.Contract, r wigeonladder.Request) {
	q.held[c.ID] = &heldContract{contract: c, request: r.ID, prefix: r.PrefixHash}
	if l := q.services[c.Service]; l != nil {
		l.rate.add(c.Received)
	}
}

// affinityOf returns the prefix affinity of a service.
func (q *Queue) affinityOf(service string) *contract.Affinity {
	a := q.affinity[service]
	if a == nil {
		a = contract.NewAffinity()
		q.affinity[service] = a
	}
	return a
}

// CodeOf returns the result code of an error of Place or CheckBeforeSend, and
// CodeOK for nil. For an error without a code it returns -1, an unknown code,
// which counts as "may have run".
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
