package policy

import (
	"container/list"

	"github.com/wigeonladder/wigeonladder"
)

// waiter is a request that waits for a slot. Exactly one of contract and
// refusal arrives, unless the waiter leaves by itself.
type waiter struct {
	request wigeonladder.Request
	vm      string
	done    chan struct{}
	// contract and refusal are valid once done is closed.
	contract wigeonladder.Contract
	refusal  error
	place    *list.Element
}

// line holds the waiting requests of one workspace, by urgency.
type line struct {
	waiting [wigeonladder.UrgencyHigh + 1]list.List
	length  int
}

// head returns the most urgent and then the longest waiting request.
func (l *line) head() *waiter {
	for u := len(l.waiting) - 1; u >= 0; u-- {
		if e := l.waiting[u].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// last returns the least urgent and then the newest request.
func (l *line) last() *waiter {
	for u := range l.waiting {
		if e := l.waiting[u].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// queue holds the waiting requests of one service, up to a bound.
type queue struct {
	bound  int
	length int
	lines  map[string]*line
}

func newQueue(bound int) *queue {
	return &queue{bound: bound, lines: map[string]*line{}}
}

// line returns the line of a workspace and creates it at need.
func (q *queue) line(workspace string) *line {
	l := q.lines[workspace]
	if l == nil {
		l = &line{}
		q.lines[workspace] = l
	}
	return l
}

// push adds a request at the end of its line.
func (q *queue) push(w *waiter) {
	l := q.line(w.request.Workspace)
	w.place = l.waiting[urgency(w.request)].PushBack(w)
	l.length++
	q.length++
}

// remove takes a request out; ok is false if it was out already.
func (q *queue) remove(w *waiter) (ok bool) {
	if w.place == nil {
		return false
	}
	l := q.line(w.request.Workspace)
	l.waiting[urgency(w.request)].Remove(w.place)
	w.place = nil
	l.length--
	q.length--
	return true
}

// overflow returns the request to refuse, or nil while the bound is kept: the
// newest and least urgent one of the workspace with the longest line per
// weight.
func (q *queue) overflow(weight func(workspace string) int) *waiter {
	if q.length <= q.bound {
		return nil
	}
	var longest *line
	top, first := 0.0, ""
	for workspace, l := range q.lines {
		part := float64(l.length) / float64(max(weight(workspace), 1))
		if part > top || (part == top && workspace < first) {
			longest, top, first = l, part, workspace
		}
	}
	return longest.last()
}

// urgency returns the urgency of a request inside the known range.
func urgency(r wigeonladder.Request) wigeonladder.Urgency {
	return min(max(r.Urgency, wigeonladder.UrgencyBatch), wigeonladder.UrgencyHigh)
}
