package policy

import (
	"container/list"

	"github.com/wigeonladder/wigeonladder"
)

// waiter is a request that waits for a slot. It gets either a contract or a
// refusal, unless it is withdrawn.
type waiter struct {
	request wigeonladder.Request
	vm      string
	done    chan struct{}
	// contract and refusal are valid once done is closed.
	contract wigeonladder.Contract
	refusal  error
	element  *list.Element
}

// workspaceQueue holds the waiting requests of one workspace for a service, by
// urgency.
type workspaceQueue struct {
	waiting [wigeonladder.UrgencyHigh + 1]list.List
	length  int
}

// first returns the request that is served next: the oldest of the highest urgency.
func (l *workspaceQueue) first() *waiter {
	for u := len(l.waiting) - 1; u >= 0; u-- {
		if e := l.waiting[u].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// last returns the request that is served last: the newest of the lowest urgency.
func (l *workspaceQueue) last() *waiter {
	for u := range l.waiting {
		if e := l.waiting[u].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// serviceQueue holds the waiting requests of one service, up to a limit.
type serviceQueue struct {
	limit      int
	length     int
	workspaces map[string]*workspaceQueue
}

func newQueue(limit int) *serviceQueue {
	return &serviceQueue{limit: limit, workspaces: map[string]*workspaceQueue{}}
}

// workspace returns the queue of a workspace and creates it if needed.
func (q *serviceQueue) workspace(workspace string) *workspaceQueue {
	l := q.workspaces[workspace]
	if l == nil {
		l = &workspaceQueue{}
		q.workspaces[workspace] = l
	}
	return l
}

// push adds a request at the end of the queue of its workspace.
func (q *serviceQueue) push(w *waiter) {
	l := q.workspace(w.request.Workspace)
	w.element = l.waiting[clampedUrgency(w.request)].PushBack(w)
	l.length++
	q.length++
}

// remove removes a request; ok is false if it was not in the queue.
func (q *serviceQueue) remove(w *waiter) (ok bool) {
	if w.element == nil {
		return false
	}
	l := q.workspace(w.request.Workspace)
	l.waiting[clampedUrgency(w.request)].Remove(w.element)
	w.element = nil
	l.length--
	q.length--
	return true
}

// requestToRefuse returns the request to refuse if the queue is over its limit,
// and nil otherwise. It is the newest of the lowest urgency of the workspace with
// the longest queue per weight.
func (q *serviceQueue) requestToRefuse(weight func(workspace string) int) *waiter {
	if q.length <= q.limit {
		return nil
	}
	var longest *workspaceQueue
	highest, firstName := 0.0, ""
	for workspace, l := range q.workspaces {
		lengthPerWeight := float64(l.length) / float64(max(weight(workspace), 1))
		if lengthPerWeight > highest || (lengthPerWeight == highest && workspace < firstName) {
			longest, highest, firstName = l, lengthPerWeight, workspace
		}
	}
	return longest.last()
}

// clampedUrgency returns the urgency of a request, limited to the defined range.
func clampedUrgency(r wigeonladder.Request) wigeonladder.Urgency {
	return min(max(r.Urgency, wigeonladder.UrgencyBatch), wigeonladder.UrgencyHigh)
}
