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
	seats    []*seat
}

// free returns the number of slots that may be granted now.
func (s *server) free() int {
	if s.waiting || s.leaving {
		return 0
	}
	return max(0, s.limit-s.inUse-s.foreign)
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

// pick returns the preferred server if it has a free slot for the model, else
// the one with the most free slots. The reason says which.
func (p *pool) pick(model, preferred string) (s *server, reason string) {
	s = p.servers[preferred]
	if s != nil && s.has(model) && s.free() > 0 {
		return s, "preferred server"
	}
	return p.best(model), "most free slots"
}

// freeFor returns the number of free slots for a model on the best server.
func (p *pool) freeFor(model string) int {
	s := p.best(model)
	if s == nil {
		return 0
	}
	return s.free()
}
