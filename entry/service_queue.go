package entry

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// urgencyLevels is the number of urgencies.
const urgencyLevels = int(wigeonladder.UrgencyHigh) + 1

// demandKey identifies the waiting requests of one workspace for one model,
// which are one row of a demand report.
type demandKey struct {
	service, workspace, model string
}

// waiter is one waiting request.
type waiter struct {
	request    wigeonladder.Request
	arrived    time.Time
	urgency    int
	modelQueue *modelQueue
	element    *list.Element
	// done receives the outcome once. It is buffered, so that the sender never
	// blocks.
	done chan outcome
}

// outcome ends the wait of a request, with a contract or with an error.
type outcome struct {
	contract wigeonladder.Contract
	err      error
}

// modelQueue holds the waiting requests of one workspace for one model. The most
// urgent request comes first; among those of one urgency, the one that arrived
// first.
type modelQueue struct {
	demandKey
	workspaceQueue *workspaceQueue
	byUrgency      [urgencyLevels]list.List
	length         int
}

// head returns the one of the most urgent requests that arrived first, or nil.
func (n *modelQueue) head() *waiter {
	for i := urgencyLevels - 1; i >= 0; i-- {
		if e := n.byUrgency[i].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// tail returns the one of the least urgent requests that arrived last, or nil.
func (n *modelQueue) tail() *waiter {
	for i := range n.byUrgency {
		if e := n.byUrgency[i].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// insert adds a request behind those of its urgency that arrived before it.
func (n *modelQueue) insert(w *waiter) {
	l := &n.byUrgency[w.urgency]
	at := l.Back()
	for at != nil && at.Value.(*waiter).arrived.After(w.arrived) {
		at = at.Prev()
	}
	if at == nil {
		w.element = l.PushFront(w)
	} else {
		w.element = l.InsertAfter(w, at)
	}
	w.modelQueue = n
	n.length++
}

// precedes reports whether a request is served before another one of its
// workspace: the more urgent one first, then the one that arrived earlier.
func (w *waiter) precedes(v *waiter) bool {
	if w.urgency != v.urgency {
		return w.urgency > v.urgency
	}
	return w.arrived.Before(v.arrived)
}

// workspaceQueue holds the waiting requests of one workspace for one service.
type workspaceQueue struct {
	workspace string
	weight    int
	models    map[string]*modelQueue
	length    int
	// heapIndex is the position in the workspaceHeap of the service.
	heapIndex int
}

// lengthPerWeight returns the queue length plus more, divided by the weight.
func (s *workspaceQueue) lengthPerWeight(more int) float64 {
	return float64(s.length+more) / float64(s.weight)
}

// head returns the first request, in the order of precedes, whose model fits, or
// nil.
func (s *workspaceQueue) head(fits func(model string) bool) *waiter {
	var first *waiter
	for model, n := range s.models {
		if !fits(model) {
			continue
		}
		if w := n.head(); w != nil && (first == nil || w.precedes(first)) {
			first = w
		}
	}
	return first
}

// tail returns the one of the least urgent requests that arrived last, or nil.
func (s *workspaceQueue) tail() *waiter {
	var last *waiter
	for _, n := range s.models {
		if w := n.tail(); w != nil && (last == nil || last.precedes(w)) {
			last = w
		}
	}
	return last
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	service    string
	workspaces map[string]*workspaceQueue
	byLength   workspaceHeap
	length     int
	rate       placementRate
}

// workspaceHeap is a heap of workspace queues with the longest one per weight
// first.
type workspaceHeap []*workspaceQueue

// Len implements heap.Interface.
func (h workspaceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h workspaceHeap) Less(i, j int) bool {
	if a, b := h[i].lengthPerWeight(0), h[j].lengthPerWeight(0); a != b {
		return a > b
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h workspaceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *workspaceHeap) Push(x any) {
	s := x.(*workspaceQueue)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *workspaceHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}

func newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{service: service, workspaces: map[string]*workspaceQueue{}}
}

// add queues a request.
func (l *serviceQueue) add(w *waiter, weight int) {
	r := w.request
	s := l.workspaces[r.Workspace]
	if s == nil {
		s = &workspaceQueue{workspace: r.Workspace, weight: max(1, weight), models: map[string]*modelQueue{}}
		l.workspaces[r.Workspace] = s
		heap.Push(&l.byLength, s)
	}
	n := s.models[r.Model]
	if n == nil {
		n = &modelQueue{demandKey: demandKey{r.Service, r.Workspace, r.Model}, workspaceQueue: s}
		s.models[r.Model] = n
	}
	n.insert(w)
	s.length++
	l.length++
	heap.Fix(&l.byLength, s.heapIndex)
}

// remove removes a request from the queue. It returns false if the request was
// no longer in it.
func (l *serviceQueue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	n := w.modelQueue
	n.byUrgency[w.urgency].Remove(w.element)
	w.element = nil
	n.length--
	n.workspaceQueue.length--
	l.length--
	if n.length == 0 {
		delete(n.workspaceQueue.models, n.model)
	}
	if n.workspaceQueue.length == 0 {
		heap.Remove(&l.byLength, n.workspaceQueue.heapIndex)
		delete(l.workspaces, n.workspaceQueue.workspace)
		return true
	}
	heap.Fix(&l.byLength, n.workspaceQueue.heapIndex)
	return true
}

// requestToRefuse returns the request to refuse when the queue is full and a
// new one arrives: the one of the least urgent requests that arrived last, in
// the workspace with the longest queue per weight. It returns nil if that is the
// new request itself.
func (l *serviceQueue) requestToRefuse(w *waiter, weight int) *waiter {
	ownQueue := &workspaceQueue{workspace: w.request.Workspace, weight: max(1, weight)}
	if s := l.workspaces[w.request.Workspace]; s != nil {
		ownQueue = s
	}
	if top := l.byLength[0]; top != ownQueue && top.lengthPerWeight(0) > ownQueue.lengthPerWeight(1) {
		return top.tail()
	}
	if t := ownQueue.tail(); t != nil && w.precedes(t) {
		return t
	}
	return nil
}
