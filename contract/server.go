package contract

import (
	"container/heap"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// server is an own backend server and the state of its slots.
type server struct {
	wigeonladder.Server
	pool    *pool
	limiter wigeonladder.Limiter
	limit   int
	// slotsInUse is the number of contracts that occupy a slot.
	slotsInUse int
	// foreignSlots is the number of slots that the server reports as in use and
	// that no contract of this home accounts for.
	foreignSlots int
	// lastLoad is when the last load report arrived.
	lastLoad time.Time
	leaving  bool
	// takeoverStart is when the takeover delay began.
	takeoverStart time.Time
	// awaitingTakeover is true until the takeover has ended: after the takeover
	// delay, or once every live member has answered. No slot is granted until
	// then.
	awaitingTakeover bool
	// takeoverAnswers holds the entries that have listed all their contracts of
	// the server since takeoverStart.
	takeoverAnswers map[string]bool
	// recentReleases counts the releases since the last regular load request
	// ended and those in the interval before it.
	recentReleases [2]int
	// lastReached is when a load report last arrived or an entry last reached
	// the server, or when this process last resumed after a pause; it is zero if
	// none of these happened since this home took over. lastUnreached is when an
	// entry last failed to reach the server.
	lastReached, lastUnreached time.Time
	// breaker is the circuit breaker for all entries; nil while it is closed.
	// probeAllowed is true while it lets one contract through as a probe.
	// entryBreakers holds the circuit breakers of single entries.
	breaker        *breaker
	probeAllowed   bool
	entryBreakers  map[string]*breaker
	requestingLoad bool
	// lastLoadTimedOut is true if the last load request timed out.
	lastLoadTimedOut bool
	// awaitingFirstLoad is true until the first load request has ended or an
	// entry has reached the server; no slot is granted until then. Without this
	// wait, a home that took over the servers of a zone that was cut off granted
	// their slots in the first second, and each of these requests hung for the
	// 30 s until its first byte was due.
	awaitingFirstLoad bool
	heapItems         []*heapItem
}

// free returns the number of slots that may be granted now.
func (s *server) free() int {
	if s.awaitingTakeover || s.leaving || s.awaitingFirstLoad {
		return 0
	}
	free := max(0, s.limit-s.slotsInUse-s.foreignSlots)
	switch {
	case s.breaker == nil:
		return free
	case s.probeAllowed:
		return min(1, free)
	}
	return 0
}

// hasModel reports whether the server has a model. Every server has the empty
// model, which stands for any.
func (s *server) hasModel(model string) bool {
	return model == "" || slices.Contains(s.Models, model)
}

// fixHeaps restores the order of the heaps. It must be called whenever the free
// slots of the server may have changed.
func (s *server) fixHeaps() {
	for _, t := range s.heapItems {
		heap.Fix(t.heap, t.index)
	}
}

// heapItem is the element that stands for a server in one heap.
type heapItem struct {
	server *server
	heap   *serverHeap
	index  int
}

// serverHeap is a heap of servers with the most free slots first.
type serverHeap []*heapItem

// Len implements heap.Interface.
func (r serverHeap) Len() int { return len(r) }

// Less implements heap.Interface.
func (r serverHeap) Less(i, j int) bool {
	a, b := r[i].server, r[j].server
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.Name < b.Name
}

// Swap implements heap.Interface.
func (r serverHeap) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

// Push implements heap.Interface.
func (r *serverHeap) Push(x any) {
	t := x.(*heapItem)
	t.index = len(*r)
	*r = append(*r, t)
}

// Pop implements heap.Interface.
func (r *serverHeap) Pop() any {
	last := len(*r) - 1
	t := (*r)[last]
	*r = (*r)[:last]
	return t
}

// pool holds the own servers of one service and the demands for it.
type pool struct {
	service string
	servers map[string]*server
	// byFreeSlots holds, for each model, a heap of the servers that have it;
	// the empty model stands for all servers.
	byFreeSlots map[string]*serverHeap
	workspaces  map[string]*workspaceDemand
	// grantableDemands counts, by model, the demands that may still get grants.
	grantableDemands map[string]int
	affinity         *Affinity
}

// pool returns the pool of a service and creates it if necessary.
func (l *Ledger) pool(service string) *pool {
	p := l.pools[service]
	if p == nil {
		p = &pool{
			service:          service,
			servers:          map[string]*server{},
			byFreeSlots:      map[string]*serverHeap{},
			workspaces:       map[string]*workspaceDemand{},
			grantableDemands: map[string]int{},
			affinity:         NewAffinity(),
		}
		l.pools[service] = p
	}
	return p
}

// add adds a server to the heaps of the empty model and of each of its models.
func (p *pool) add(s *server) {
	s.pool = p
	p.servers[s.Name] = s
	for _, m := range append([]string{""}, s.Models...) {
		if p.byFreeSlots[m] == nil {
			p.byFreeSlots[m] = &serverHeap{}
		}
		t := &heapItem{server: s, heap: p.byFreeSlots[m]}
		s.heapItems = append(s.heapItems, t)
		heap.Push(t.heap, t)
	}
}

// remove removes a server from the pool and its heaps.
func (p *pool) remove(s *server) {
	delete(p.servers, s.Name)
	for _, t := range s.heapItems {
		heap.Remove(t.heap, t.index)
	}
	s.heapItems = nil
}

// best returns the server with the most free slots for a model, or nil if none
// has a free slot.
func (p *pool) best(model string) *server {
	r := p.byFreeSlots[model]
	if r == nil || r.Len() == 0 || (*r)[0].server.free() == 0 {
		return nil
	}
	return (*r)[0].server
}

// requirement states what a grant must fit: the model, the entry that will send
// the request, the servers to avoid and the preferred server.
type requirement struct {
	model, entry string
	avoid        []string
	preferred    string
}

// pick returns the preferred server if it has a free slot and fits the
// requirement, else the server with the most free slots. A server to avoid is
// picked only if no other one has a free slot; a server whose breaker blocks
// the entry is never picked. The reason states which of these cases applied;
// the server is nil if no free slot fits.
func (p *pool) pick(n requirement) (s *server, reason string) {
	now := time.Now()
	avoided := func(s *server) bool { return slices.Contains(n.avoid, s.Name) || s.blockedFor(n.entry, now) }
	s = p.servers[n.preferred]
	if s != nil && s.hasModel(n.model) && s.free() > 0 && !avoided(s) {
		return s, "preferred server"
	}
	if s = p.bestExcept(n.model, avoided); s != nil {
		return s, "most free slots"
	}
	blocked := func(s *server) bool { return s.blockedFor(n.entry, now) }
	return p.bestExcept(n.model, blocked), "no other server is free"
}

// bestExcept returns the server with the most free slots for a model among
// those for which exclude returns false, or nil.
func (p *pool) bestExcept(model string, exclude func(*server) bool) *server {
	r := p.byFreeSlots[model]
	if r == nil {
		return nil
	}
	t, ok := firstAccepted(*r, 0, r.Less, func(t *heapItem) int {
		switch {
		case t.server.free() == 0:
			return stopSearch
		case exclude(t.server):
			return skipElement
		}
		return acceptElement
	})
	if !ok {
		return nil
	}
	return (*r)[t].server
}

// Results of the judge function of firstAccepted.
const (
	acceptElement = iota
	skipElement
	stopSearch
)

// firstAccepted returns the index of the first element, in heap order, that
// judge accepts, in the subtree at index i. It descends only below skipped
// elements, so that its cost grows with their number and not with the size of
// the heap.
func firstAccepted[T any](h []T, i int, less func(i, j int) bool, judge func(T) int) (int, bool) {
	if i >= len(h) {
		return 0, false
	}
	switch judge(h[i]) {
	case acceptElement:
		return i, true
	case stopSearch:
		return 0, false
	}
	a, okA := firstAccepted(h, 2*i+1, less, judge)
	b, okB := firstAccepted(h, 2*i+2, less, judge)
	if okB && (!okA || less(b, a)) {
		return b, true
	}
	return a, okA
}

// freeFor returns the number of free slots for a model on the best server.
func (p *pool) freeFor(model string) int {
	s := p.best(model)
	if s == nil {
		return 0
	}
	return s.free()
}
