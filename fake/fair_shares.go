package fake

import (
	"container/heap"
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

// FairShares is a stand-in for the counters of received service: all weights are 1
// and there is no exchange with other homes. It implements
// wigeonladder.FairShares.
type FairShares struct {
	mu    sync.Mutex
	lists map[string]*shareList
}

// shareList holds the workspaces of one service.
type shareList struct {
	rows map[string]*shareRow
	heap shareHeap
}

// shareRow is the counter of one workspace; index is -1 without backlog.
type shareRow struct {
	workspace string
	total     int64
	index     int
}

// NewFairShares returns counters at 0.
func NewFairShares() *FairShares {
	return &FairShares{lists: map[string]*shareList{}}
}

// WorkspaceTotal returns the service charged to a workspace.
func (s *FairShares) WorkspaceTotal(service, workspace string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, r := s.row(service, workspace)
	return r.total
}

// row returns the counter of a workspace.
func (s *FairShares) row(service, workspace string) (*shareList, *shareRow) {
	l := s.lists[service]
	if l == nil {
		l = &shareList{rows: map[string]*shareRow{}}
		s.lists[service] = l
	}
	r := l.rows[workspace]
	if r == nil {
		r = &shareRow{workspace: workspace, index: -1}
		l.rows[workspace] = r
	}
	return l, r
}

// EstimateCost implements wigeonladder.FairShares: it is the hint.
func (*FairShares) EstimateCost(_, _ string, hint int64) int64 { return hint }

// RecordCost implements wigeonladder.FairShares. Nothing is learned.
func (*FairShares) RecordCost(string, string, int64) {}

// Charge implements wigeonladder.FairShares.
func (s *FairShares) Charge(service, workspace string, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, r := s.row(service, workspace)
	r.total += cost
	if r.index >= 0 {
		heap.Fix(&l.heap, r.index)
	}
}

// SetBacklogged implements wigeonladder.FairShares.
func (s *FairShares) SetBacklogged(service, workspace string, backlogged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, r := s.row(service, workspace)
	switch {
	case backlogged && r.index < 0:
		heap.Push(&l.heap, r)
	case !backlogged && r.index >= 0:
		heap.Remove(&l.heap, r.index)
	}
}

// Next implements wigeonladder.FairShares.
func (s *FairShares) Next(service string, accept func(string) bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lists[service]
	if l == nil {
		return "", false
	}
	var passed []*shareRow
	defer func() {
		for _, r := range passed {
			heap.Push(&l.heap, r)
		}
	}()
	for l.heap.Len() > 0 {
		r := l.heap[0]
		if accept(r.workspace) {
			return r.workspace, true
		}
		passed = append(passed, heap.Pop(&l.heap).(*shareRow))
	}
	return "", false
}

// shareHeap orders backlogged workspaces by counter.
type shareHeap []*shareRow

// Len implements heap.Interface.
func (h shareHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h shareHeap) Less(i, j int) bool {
	if h[i].total != h[j].total {
		return h[i].total < h[j].total
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h shareHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *shareHeap) Push(x any) {
	r := x.(*shareRow)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *shareHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	r.index = -1
	return r
}

// FixedLimit is a stand-in for a learned limit that never changes. It
// implements wigeonladder.Limiter.
type FixedLimit int

// Slots implements wigeonladder.Limiter.
func (f FixedLimit) Slots() int { return int(f) }

// Observe implements wigeonladder.Limiter.
func (f FixedLimit) Observe(wigeonladder.Usage, int) {}
