package inventory

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// returnTime is how long after the store's return a server whose entry lapsed
// meanwhile is kept: entries of servers that live are back by then.
const returnTime = 2 * time.Second

// ServerPool takes over the backend servers.
type ServerPool interface {
	Put(i wigeonladder.Instance)
	Remove(id string)
}

// ServerList keeps the backend servers that the store lists.
type ServerList struct {
	target  ServerPool
	decode  func(Item) (wigeonladder.Instance, error)
	journal wigeonladder.Journal

	mu       sync.Mutex
	entries  map[string]wigeonladder.Instance
	pending  map[string]*time.Timer
	returned time.Time
}

// NewServerList returns an empty roster.
func NewServerList(t ServerPool, decode func(Item) (wigeonladder.Instance, error), j wigeonladder.Journal) *ServerList {
	return &ServerList{
		target: t, decode: decode, journal: j,
		entries: map[string]wigeonladder.Instance{}, pending: map[string]*time.Timer{},
	}
}

// StoreRegained tells that the store answers again.
func (r *ServerList) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned = time.Now()
}

// Reset takes over the list of all entries.
func (r *ServerList) Reset(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range items {
		listed[i.Key] = true
		r.apply(i)
	}
	for key := range r.entries {
		if !listed[key] {
			r.remove(key)
		}
	}
}

// Apply takes over changes.
func (r *ServerList) Apply(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range items {
		r.apply(i)
	}
}

// apply takes over one change. An entry that cannot be read names no server.
func (r *ServerList) apply(i Item) {
	if i.Removed {
		r.remove(i.Key)
		return
	}
	s, err := r.decode(i)
	if err != nil {
		if _, known := r.entries[i.Key]; known {
			r.drop(i.Key)
		}
		r.journal.Note("", "server_entry_unreadable", "key", i.Key, "revision", i.Revision, "error", err)
		return
	}
	if t := r.pending[i.Key]; t != nil {
		t.Stop()
		delete(r.pending, i.Key)
	}
	old, known := r.entries[i.Key]
	r.entries[i.Key] = s
	if !known || old != s {
		r.journal.Note("", "server_changed", "server", s.ID, "service", s.Service, "zone", s.Zone,
			"address", s.Address, "leaving", s.Leaving, "born", s.StartUnixMs, "revision", i.Revision)
		r.target.Put(s)
	}
}

// remove removes an entry. If the store has just come back, the entry may have
// lapsed while the server could not renew it, and the server is kept for a
// moment.
func (r *ServerList) remove(key string) {
	if _, known := r.entries[key]; !known || r.pending[key] != nil {
		return
	}
	left := returnTime - time.Since(r.returned)
	if left <= 0 || r.returned.IsZero() {
		r.drop(key)
		return
	}
	r.pending[key] = time.AfterFunc(left, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, waits := r.pending[key]; waits {
			delete(r.pending, key)
			r.drop(key)
		}
	})
}

// drop removes a server.
func (r *ServerList) drop(key string) {
	s := r.entries[key]
	delete(r.entries, key)
	r.journal.Note("", "server_removed", "server", s.ID, "service", s.Service)
	r.target.Remove(s.ID)
}
