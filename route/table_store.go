package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// TableStore keeps the newest table. A version never gives way to an older one.
type TableStore struct {
	// now is a clock that also counts the time during which the machine was
	// suspended.
	now   func() time.Duration
	limit time.Duration

	table atomic.Pointer[Table]

	mu        sync.Mutex
	confirmed time.Duration
	known     bool
}

// NewTableStore returns an empty book. Keys are trusted for the given time after the
// table was last confirmed to be the newest; 0 means for ever.
func NewTableStore(now func() time.Duration, limit time.Duration) *TableStore {
	return &TableStore{now: now, limit: limit}
}

// Accept puts a document in force unless one of the same or a later version is.
// It reports whether it did.
func (b *TableStore) Accept(d Document) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.table.Load(); old != nil && d.Version <= old.Version() {
		return false
	}
	b.table.Store(NewTable(d))
	return true
}

// Confirm tells that the table was the newest at a moment, which is the start of
// the read that showed it.
func (b *TableStore) Confirm(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed, b.known = max(at, b.confirmed), true
}

// Table returns the newest table, nil before the first.
func (b *TableStore) Table() *Table { return b.table.Load() }

// ConfirmationAge returns the time since the last confirmation; ok is false before the first.
func (b *TableStore) ConfirmationAge() (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() - b.confirmed, b.known
}

// KeysTrusted reports whether calls with a key may be let through.
func (b *TableStore) KeysTrusted() bool {
	age, ok := b.ConfirmationAge()
	return ok && (b.limit == 0 || age < b.limit)
}
