package inventory

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// lapsedEntryGrace is how long a server whose entry expired during an outage of
// the store is kept after the store answers again. Live servers have written
// their entries again by then.
const lapsedEntryGrace = 2 * time.Second

// ServerPool receives the backend servers of a ServerList.
type ServerPool interface {
	Put(i wigeonladder.Instance)
	Remove(id string)
}

// ServerList keeps the backend servers whose entries are in the store.
type ServerList struct {
	pool    ServerPool
	decode  func(Item) (wigeonladder.Instance, error)
	journal wigeonladder.Journal

	mu              sync.Mutex
	entries         map[string]wigeonladder.Instance
	pendingRemovals map[string]*time.Timer
	regainedAt      time.Time
}

// NewServerList returns an empty list. decode reads the server from an item of
// the store.
func NewServerList(pool ServerPool, decode func(Item) (wigeonladder.Instance, error), j wigeonladder.Journal) *ServerList {
	return &ServerList{
		pool: pool, decode: decode, journal: j,
		entries: map[string]wigeonladder.Instance{}, pendingRemovals: map[string]*time.Timer{},
	}
}

// StoreRegained tells the list that the store answers again after an outage.
func (r *ServerList) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regainedAt = time.Now()
}

// Reset replaces all entries.
func (r *ServerList) Reset(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range items {
		listed[i.Key] = true
		r.applyItem(i)
	}
	for key := range r.entries {
		if !listed[key] {
			r.removeEntry(key)
		}
	}
}

// Apply applies changes of entries.
func (r *ServerList) Apply(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range items {
		r.applyItem(i)
	}
}

// applyItem applies one change. An entry that cannot be decoded removes its
// server.
func (r *ServerList) applyItem(i Item) {
	if i.Removed {
		r.removeEntry(i.Key)
		return
	}
	s, err := r.decode(i)
	if err != nil {
		if _, known := r.entries[i.Key]; known {
			r.removeServer(i.Key)
		}
		r.journal.Note("", "server_entry_unreadable", "key", i.Key, "revision", i.Revision, "error", err)
		return
	}
	if t := r.pendingRemovals[i.Key]; t != nil {
		t.Stop()
		delete(r.pendingRemovals, i.Key)
	}
	old, known := r.entries[i.Key]
	r.entries[i.Key] = s
	if !known || old != s {
		r.journal.Note("", "server_changed", "server", s.ID, "service", s.Service, "zone", s.Zone,
			"address", s.Address, "leaving", s.Leaving, "born", s.StartUnixMs, "revision", i.Revision)
		r.pool.Put(s)
	}
}

// removeEntry removes an entry and its server. If the store was just regained,
// the entry may have expired because the server could not renew it during the
// outage; the server is then kept until lapsedEntryGrace ends.
func (r *ServerList) removeEntry(key string) {
	if _, known := r.entries[key]; !known || r.pendingRemovals[key] != nil {
		return
	}
	left := lapsedEntryGrace - time.Since(r.regainedAt)
	if left <= 0 || r.regainedAt.IsZero() {
		r.removeServer(key)
		return
	}
	r.pendingRemovals[key] = time.AfterFunc(left, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, waits := r.pendingRemovals[key]; waits {
			delete(r.pendingRemovals, key)
			r.removeServer(key)
		}
	})
}

// removeServer removes an entry and its server at once.
func (r *ServerList) removeServer(key string) {
	s := r.entries[key]
	delete(r.entries, key)
	r.journal.Note("", "server_removed", "server", s.ID, "service", s.Service)
	r.pool.Remove(s.ID)
}
