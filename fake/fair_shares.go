package fake

import (
	"container/heap"
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

// FairShares is a stand-in for the fair-share counters of package fair. All
// weights are 1, and there is no exchange with other homes. It implements
// wigeonladder.FairShares.
type FairShares struct {
	mu       sync.Mutex
	services map[string]*serviceShares
}

// serviceShares holds the workspaces of one service.
type serviceShares struct {
	workspaces map[string]*workspaceShare
	backlogged shareHeap
}

// workspaceShare is the counter of one workspace; heapIndex is -1 while it has no
// backlog.
type workspaceShare struct {
	workspace string
	total     int64
	heapIndex int
}

// NewFairShares returns a FairShares whose counters are 0.
func NewFairShares() *FairShares {
	return &FairShares{services: map[string]*serviceShares{}}
}

// WorkspaceTotal returns the cost charged to a workspace of a service.
func (s *FairShares) WorkspaceTotal(service, workspace string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, r := s.share(service, workspace)
	return r.total
}

// share returns the counter of a workspace and the counters of its service. It
// adds both if they are missing.
func (s *FairShares) share(service, workspace string) (*serviceShares, *workspaceShare) {
	l := s.services[service]
	if l == nil {
		l = &serviceShares{workspaces: map[string]*workspaceShare{}}
		s.services[service] = l
	}
	r := l.workspaces[workspace]
	if r == nil {
		r = &workspaceShare{workspace: workspace, heapIndex: -1}
		l.workspaces[workspace] = r
	}
	return l, r
}

// EstimateCost implements wigeonladder.FairShares: the estimate is the hint.
func (*FairShares) EstimateCost(_, _ string, hint int64) int64 { return hint }

// RecordCost implements wigeonladder.FairShares. It does nothing, because
// estimates do not depend on earlier costs.
func (*FairShares) RecordCost(string, string, int64) {}

// Charge implements wigeonladder.FairShares.
func (s *FairShares) Charge(service, workspace string, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, r := s.share(service, workspace)
	r.total += cost
	if r.heapIndex >= 0 {
		heap.Fix(&l.backlogged, r.heapIndex)
	}
}

// SetBacklogged implements wigeonladder.FairShares.
func (s *FairShares) SetBacklogged(service, workspace string, backlogged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, r := s.share(service, workspace)
	switch {
	case backlogged && r.heapIndex < 0:
		heap.Push(&l.backlogged, r)
	case !backlogged && r.heapIndex >= 0:
		heap.Remove(&l.backlogged, r.heapIndex)
	}
}

// Next implements wigeonladder.FairShares.
func (s *FairShares) Next(service string, accept func(string) bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.services[service]
	if l == nil {
		return "", false
	}
	var rejected []*workspaceShare
	defer func() {
		for _, r := range rejected {
			heap.Push(&l.backlogged, r)
		}
	}()
	for l.backlogged.Len() > 0 {
		r := l.backlogged[0]
		if accept(r.workspace) {
			return r.workspace, true
		}
		rejected = append(rejected, heap.Pop(&l.backlogged).(*workspaceShare))
	}
	return "", false
}

// shareHeap orders backlogged workspaces by counter.
type shareHeap []*workspaceShare

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
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *shareHeap) Push(x any) {
	r := x.(*workspaceShare)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *shareHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	r.heapIndex = -1
	return r
}

// FixedLimit is a concurrency limit that never changes, in place of a learned
// one. It implements wigeonladder.Limiter.
type FixedLimit int

// Slots implements wigeonladder.Limiter.
func (f FixedLimit) Slots() int { return int(f) }

// Observe implements wigeonladder.Limiter. It does nothing.
func (f FixedLimit) Observe(wigeonladder.Usage, int) {}
