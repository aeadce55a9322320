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
	// MarkCold tells that a server, which may not be known yet, stays cold for a time.
	// It reports whether that changes the calls that the server gets.
	MarkCold(i wigeonladder.Instance, d time.Duration) bool
}

// ServerList keeps the backend servers whose entries are in the store.
type ServerList struct {
	pool    ServerPool
	decode  func(Item) (Entry, error)
	journal wigeonladder.Journal

	mu              sync.Mutex
	entries         map[string]wigeonladder.Instance
	versions        versions
	pendingRemovals map[string]*time.Timer
	// restoredAt is when the store came back from a copy of itself; zero if it never did.
	// restoring is true until all of its items have replaced those that were known.
	restoredAt time.Time
	restoring  bool
	// regainedAt is when the store answered again after a silence in which it may have
	// been away; zero if there was none.
	regainedAt time.Time
}

// NewServerList returns an empty list. decode reads the server from an item of
// the store.
func NewServerList(pool ServerPool, decode func(Item) (Entry, error), j wigeonladder.Journal) *ServerList {
	return &ServerList{
		pool: pool, decode: decode, journal: j,
		entries: map[string]wigeonladder.Instance{}, versions: versions{}, pendingRemovals: map[string]*time.Timer{},
	}
}

// Restored tells the list that the store has come back from a copy of itself. The next
// Reset brings the entries of the copy, which may be older than those that are known:
// servers that have written since are kept until they have had the time to write again,
// and those that have left since do not come back.
func (l *ServerList) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredAt, l.restoring = time.Now(), true
	l.versions.forgetRevisions()
}

// Reset replaces all entries.
func (l *ServerList) Reset(items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range items {
		listed[i.Key] = true
		l.applyItem(i)
	}
	for key := range l.entries {
		switch {
		case listed[key]:
		case l.restoring:
			l.removeLater(key, rewriteTime)
		default:
			l.removeEntry(Item{Key: key, Removed: true, Revision: l.versions.revision(key)})
		}
	}
	l.restoring = false
}

// isRestored reports whether the store has come back from a copy so recently that its
// entries may be older than those that are known.
func (l *ServerList) isRestored() bool {
	return !l.restoredAt.IsZero() && time.Since(l.restoredAt) < lateWriteTime
}

// Apply applies changes of entries. It returns those that told something new, which
// a heartbeat of a server does not.
func (l *ServerList) Apply(items []Item) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Item
	for _, i := range items {
		if l.applyItem(i) {
			changes = append(changes, i)
		}
	}
	return changes
}

// applyItem applies one change. An entry that cannot be decoded removes its
// server, unless a later one is known. It reports whether the change tells something new.
func (l *ServerList) applyItem(i Item) bool {
	if i.Removed {
		l.removeEntry(i)
		return true
	}
	e, err := l.decode(i)
	s := e.Instance
	if err != nil && i.Revision < l.versions.revision(i.Key) {
		return false
	}
	if err != nil {
		if _, known := l.entries[i.Key]; known {
			l.removeServer(i.Key)
		}
		l.journal.Note("", "server_entry_unreadable", "key", i.Key, "revision", i.Revision, "error", err)
		return true
	}
	// An entry that is read again tells nothing of the present: its cold time counts
	// from when it was written.
	repeated := i.Revision > 0 && i.Revision == l.versions.revision(i.Key)
	if l.isRestored() && l.versions.isCopyOfOld(i.Key, e) {
		return false
	}
	if !l.versions.accept(i, e, time.Now()) {
		return false
	}
	isCold := e.ColdTime > 0 && !repeated
	if isCold && l.pool.MarkCold(s, e.ColdTime) {
		l.journal.Note("", "server_cold", "server", s.ID, "service", s.Service, "zone", s.Zone, "left", e.ColdTime, "revision", i.Revision)
	}
	t := l.pendingRemovals[i.Key]
	if t != nil {
		t.Stop()
		delete(l.pendingRemovals, i.Key)
	}
	old, known := l.entries[i.Key]
	l.entries[i.Key] = s
	isNew := !known || old != s
	if isNew {
		l.journal.Note("", "server_changed", "server", s.ID, "service", s.Service, "zone", s.Zone,
			"address", s.Address, "leaving", s.Leaving, "software", s.Version, "born", s.StartUnixMs, "revision", i.Revision)
		l.pool.Put(s)
	}
	return isNew || isCold || t != nil
}

// removeEntry removes an entry and its server. If the store may have been away until
// just now, the entry may have expired because the server could not renew it; the
// server is then kept until lapsedEntryGrace ends.
func (l *ServerList) removeEntry(i Item) {
	key := i.Key
	if !l.versions.acceptRemoval(i, time.Now()) {
		return
	}
	if _, known := l.entries[key]; !known {
		return
	}
	left := lapsedEntryGrace - time.Since(l.regainedAt)
	if left <= 0 || l.regainedAt.IsZero() {
		l.removeServer(key)
		return
	}
	l.removeLater(key, left)
}

// removeLater removes a server after a time, unless its entry is written again.
func (l *ServerList) removeLater(key string, left time.Duration) {
	if l.pendingRemovals[key] != nil {
		return
	}
	l.pendingRemovals[key] = time.AfterFunc(left, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if _, waits := l.pendingRemovals[key]; waits {
			delete(l.pendingRemovals, key)
			l.removeServer(key)
		}
	})
}

// removeServer removes an entry and its server at once.
func (l *ServerList) removeServer(key string) {
	if t := l.pendingRemovals[key]; t != nil {
		t.Stop()
		delete(l.pendingRemovals, key)
	}
	s := l.entries[key]
	delete(l.entries, key)
	l.journal.Note("", "server_removed", "server", s.ID, "service", s.Service)
	l.pool.Remove(s.ID)
}
