package contract

import (
	"container/heap"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// server is one own backend server with its slots.
type server struct {
	wigeonladder.Server
	pool    *pool
	limiter wigeonladder.Limiter
	limit   int
	inUse   int
	// foreign is the number of slots that the server reports as running and
	// that this home does not know.
	foreign int
	loadAt  time.Time
	leaving bool
	// gained is when the takeover wait began.
	gained time.Time
	// waiting is true until the takeover wait is over.
	waiting bool
	// answers names the entries that listed all their contracts of the server
	// after gained.
	answers map[string]bool
	// released counts the releases of the current and the last load window.
	released [2]int
	// heard is when the server last gave a sign of life: a load report, or an
	// attempt that it answered; zero if it gave none to this home. failed is
	// when an entry last did not reach it.
	heard, failed time.Time
	// all is the breaker for all entries, nil while it is closed; probing is
	// true while it lets one contract through. byEntry holds the breakers of
	// single entries.
	all       *breaker
	probing   bool
	byEntry   map[string]*breaker
	verifying bool
	// silent is true if the last load report timed out.
	silent bool
	// unproven is true until the first load report came or failed. Without it a
	// home that took over the servers of a cut zone granted their slots in the
	// first second, and each such request hung for the 30 s until its first
	// byte was due.
	unproven bool
	seats    []*seat
}

// free returns the number of slots that may be granted now.
func (s *server) free() int {
	if s.waiting || s.leaving || s.unproven {
		return 0
	}
	free := max(0, s.limit-s.inUse-s.foreign)
	switch {
	case s.all == nil:
		return free
	case s.probing:
		return min(1, free)
	}
	return 0
}

// has reports whether the server has a model; every server has the empty one.
func (s *server) has(model string) bool {
	return model == "" || slices.Contains(s.Models, model)
}

// fix restores the order of the heaps after the server's free slots changed.
func (s *server) fix() {
	for _, t := range s.seats {
		heap.Fix(t.ranks, t.index)
	}
}

// seat is the place of a server in one heap.
type seat struct {
	server *server
	ranks  *ranks
	index  int
}

// ranks is a heap of servers with the most free slots first.
type ranks []*seat

// Len implements heap.Interface.
func (r ranks) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranks) Less(i, j int) bool {
	a, b := r[i].server, r[j].server
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.Name < b.Name
}

// Swap implements heap.Interface.
func (r ranks) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

// Push implements heap.Interface.
func (r *ranks) Push(x any) {
	t := x.(*seat)
	t.index = len(*r)
	*r = append(*r, t)
}

// Pop implements heap.Interface.
func (r *ranks) Pop() any {
	last := len(*r) - 1
	t := (*r)[last]
	*r = (*r)[:last]
	return t
}

// pool is one service: its own servers and the demands for it.
type pool struct {
	name    string
	servers map[string]*server
	// ranked orders the servers by free slots for each model; the empty model
	// covers all.
	ranked map[string]*ranks
	queues map[string]*queue
	// open counts the demands that may be granted, by model.
	open     map[string]int
	affinity *Affinity
}

// pool returns the pool of a service.
func (l *Ledger) pool(service string) *pool {
	p := l.pools[service]
	if p == nil {
		p = &pool{
			name:     service,
			servers:  map[string]*server{},
			ranked:   map[string]*ranks{},
			queues:   map[string]*queue{},
			open:     map[string]int{},
			affinity: NewAffinity(),
		}
		l.pools[service] = p
	}
	return p
}

// add ranks a server under the empty model and each of its models.
func (p *pool) add(s *server) {
	s.pool = p
	p.servers[s.Name] = s
	for _, m := range append([]string{""}, s.Models...) {
		if p.ranked[m] == nil {
			p.ranked[m] = &ranks{}
		}
		t := &seat{server: s, ranks: p.ranked[m]}
		s.seats = append(s.seats, t)
		heap.Push(t.ranks, t)
	}
}

// remove takes a server out of all heaps.
func (p *pool) remove(s *server) {
	delete(p.servers, s.Name)
	for _, t := range s.seats {
		heap.Remove(t.ranks, t.index)
	}
	s.seats = nil
}

// best returns the server with the most free slots for a model, nil if none
// has a free one.
func (p *pool) best(model string) *server {
	r := p.ranked[model]
	if r == nil || r.Len() == 0 || (*r)[0].server.free() == 0 {
		return nil
	}
	return (*r)[0].server
}

// need is what a grant must fit: the model, the entry that will send, the
// servers that the request should avoid and the one that it prefers.
type need struct {
	model, vm string
	avoid     []string
	preferred string
}

// pick returns the preferred server if it has a free slot for the need, else
// the one with the most free slots. A server to avoid is taken only if no
// other is free. The reason says which.
func (p *pool) pick(n need) (s *server, reason string) {
	now := time.Now()
	avoided := func(s *server) bool { return slices.Contains(n.avoid, s.Name) || s.blocked(n.vm, now) }
	s = p.servers[n.preferred]
	if s != nil && s.has(n.model) && s.free() > 0 && !avoided(s) {
		return s, "preferred server"
	}
	if s = p.bestBut(n.model, avoided); s != nil {
		return s, "most free slots"
	}
	blocked := func(s *server) bool { return s.blocked(n.vm, now) }
	return p.bestBut(n.model, blocked), "no other server is free"
}

// bestBut returns the server with the most free slots that is not left out.
func (p *pool) bestBut(model string, leaveOut func(*server) bool) *server {
	r := p.ranked[model]
	if r == nil {
		return nil
	}
	t, ok := topmost(*r, 0, r.Less, func(t *seat) int {
		switch {
		case t.server.free() == 0:
			return stop
		case leaveOut(t.server):
			return skip
		}
		return take
	})
	if !ok {
		return nil
	}
	return (*r)[t].server
}

// What topmost does with an element.
const (
	take = iota
	skip
	stop
)

// topmost returns the index of the first element of a heap, from index i down,
// that is to be taken. It looks only below elements that are skipped, so that
// its cost grows with their number and not with the size of the heap.
func topmost[T any](h []T, i int, less func(i, j int) bool, judge func(T) int) (int, bool) {
	if i >= len(h) {
		return 0, false
	}
	switch judge(h[i]) {
	case take:
		return i, true
	case stop:
		return 0, false
	}
	a, okA := topmost(h, 2*i+1, less, judge)
	b, okB := topmost(h, 2*i+2, less, judge)
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
