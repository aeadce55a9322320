package entry

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// levels is the number of urgencies.
const levels = int(wigeonladder.UrgencyHigh) + 1

// laneKey names one row of waiting work.
type laneKey struct {
	service, workspace, model string
}

// waiter is one waiting request.
type waiter struct {
	request wigeonladder.Request
	since   time.Time
	level   int
	lane    *lane
	element *list.Element
	// done gets the outcome once; it has room for it.
	done chan outcome
}

// outcome ends a wait: with a contract, or with an error.
type outcome struct {
	contract wigeonladder.Contract
	err      error
}

// lane holds the waiting requests of one workspace for one model, by urgency
// and arrival.
type lane struct {
	laneKey
	shelf  *shelf
	levels [levels]list.List
	length int
}

// head returns the most urgent and then longest waiting request.
func (n *lane) head() *waiter {
	for i := levels - 1; i >= 0; i-- {
		if e := n.levels[i].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// tail returns the least urgent and then newest request.
func (n *lane) tail() *waiter {
	for i := range n.levels {
		if e := n.levels[i].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// insert adds a request behind those that arrived before it.
func (n *lane) insert(w *waiter) {
	l := &n.levels[w.level]
	at := l.Back()
	for at != nil && at.Value.(*waiter).since.After(w.since) {
		at = at.Prev()
	}
	if at == nil {
		w.element = l.PushFront(w)
	} else {
		w.element = l.InsertAfter(w, at)
	}
	w.lane = n
	n.length++
}

// before reports whether a request goes before another of its workspace.
func (w *waiter) before(v *waiter) bool {
	if w.level != v.level {
		return w.level > v.level
	}
	return w.since.Before(v.since)
}

// shelf holds the waiting requests of one workspace for one service.
type shelf struct {
	workspace string
	weight    int
	lanes     map[string]*lane
	length    int
	// index is the place in the line's heap.
	index int
}

// share returns the queue length per weight, with some more requests.
func (s *shelf) share(more int) float64 {
	return float64(s.length+more) / float64(s.weight)
}

// head returns the first request that a server with the models may serve.
func (s *shelf) head(fits func(model string) bool) *waiter {
	var first *waiter
	for model, n := range s.lanes {
		if !fits(model) {
			continue
		}
		if w := n.head(); w != nil && (first == nil || w.before(first)) {
			first = w
		}
	}
	return first
}

// tail returns the least urgent and then newest request.
func (s *shelf) tail() *waiter {
	var last *waiter
	for _, n := range s.lanes {
		if w := n.tail(); w != nil && (last == nil || last.before(w)) {
			last = w
		}
	}
	return last
}

// line holds the waiting requests of one service.
type line struct {
	service string
	shelves map[string]*shelf
	longest shelves
	length  int
	pace    pace
}

// shelves is a heap with the longest queue per weight first.
type shelves []*shelf

// Len implements heap.Interface.
func (h shelves) Len() int { return len(h) }

// Less implements heap.Interface.
func (h shelves) Less(i, j int) bool {
	if a, b := h[i].share(0), h[j].share(0); a != b {
		return a > b
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h shelves) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *shelves) Push(x any) {
	s := x.(*shelf)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *shelves) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}

// newLine returns an empty line.
func newLine(service string) *line {
	return &line{service: service, shelves: map[string]*shelf{}}
}

// add queues a request.
func (l *line) add(w *waiter, weight int) {
	r := w.request
	s := l.shelves[r.Workspace]
	if s == nil {
		s = &shelf{workspace: r.Workspace, weight: max(1, weight), lanes: map[string]*lane{}}
		l.shelves[r.Workspace] = s
		heap.Push(&l.longest, s)
	}
	n := s.lanes[r.Model]
	if n == nil {
		n = &lane{laneKey: laneKey{r.Service, r.Workspace, r.Model}, shelf: s}
		s.lanes[r.Model] = n
	}
	n.insert(w)
	s.length++
	l.length++
	heap.Fix(&l.longest, s.index)
}

// remove takes a request out; it is false if the request was out already.
func (l *line) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	n := w.lane
	n.levels[w.level].Remove(w.element)
	w.element = nil
	n.length--
	n.shelf.length--
	l.length--
	if n.length == 0 {
		delete(n.shelf.lanes, n.model)
	}
	if n.shelf.length == 0 {
		heap.Remove(&l.longest, n.shelf.index)
		delete(l.shelves, n.shelf.workspace)
		return true
	}
	heap.Fix(&l.longest, n.shelf.index)
	return true
}

// victim returns the request to refuse when the line is full and a new one
// comes: the newest and least urgent one of the workspace with the longest
// queue per weight. It is nil if that is the new request itself.
func (l *line) victim(w *waiter, weight int) *waiter {
	mine := &shelf{workspace: w.request.Workspace, weight: max(1, weight)}
	if s := l.shelves[w.request.Workspace]; s != nil {
		mine = s
	}
	if top := l.longest[0]; top != mine && top.share(0) > mine.share(1) {
		return top.tail()
	}
	if t := mine.tail(); t != nil && w.before(t) {
		return t
	}
	return nil
}
