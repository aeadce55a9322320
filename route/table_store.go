package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// TableStore holds the newest Table and the time at which it was last confirmed
// to be the newest. It never replaces a version by an older one, and is safe
// for concurrent use.
type TableStore struct {
	// now is a monotonic clock that includes the time during which the machine
	// was suspended.
	now func() time.Duration
	// keyTrustTime is the age of the confirmation up to which keys are trusted;
	// 0 means no limit.
	keyTrustTime time.Duration

	table atomic.Pointer[Table]

	mu            sync.Mutex
	confirmedAt   time.Duration
	everConfirmed bool
}

// NewTableStore returns an empty store. Keys are trusted for the given time
// after the table was last confirmed to be the newest; 0 means without limit.
func NewTableStore(now func() time.Duration, limit time.Duration) *TableStore {
	return &TableStore{now: now, keyTrustTime: limit}
}

// Accept puts a document into force unless its version is not newer than the
// current one. It reports whether it did.
func (b *TableStore) Accept(d Document) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.table.Load(); old != nil && d.Version <= old.Version() {
		return false
	}
	b.table.Store(NewTable(d))
	return true
}

// Confirm records that the table was the newest at the given time: the start of
// the read that showed it.
func (b *TableStore) Confirm(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmedAt, b.everConfirmed = max(at, b.confirmedAt), true
}

// Table returns the newest table, or nil before the first.
func (b *TableStore) Table() *Table { return b.table.Load() }

// ConfirmationAge returns the time since the last confirmation; ok is false
// before the first.
func (b *TableStore) ConfirmationAge() (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() - b.confirmedAt, b.everConfirmed
}

// KeysTrusted reports whether calls with an API key may be admitted.
func (b *TableStore) KeysTrusted() bool {
	age, ok := b.ConfirmationAge()
	return ok && (b.keyTrustTime == 0 || age < b.keyTrustTime)
}
