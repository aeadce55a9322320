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
func NewTableStore(now func() time.Duration, keyTrustTime time.Duration) *TableStore {
	return &TableStore{now: now, keyTrustTime: keyTrustTime}
}

// Accept puts a document into force unless its version is not newer than the
// current one. It reports whether it did.
func (s *TableStore) Accept(d Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && d.Version <= old.Version() {
		return false
	}
	s.table.Store(NewTable(d))
	return true
}

// Confirm records that the table was the newest at the given time: the start of
// the read that showed it.
func (s *TableStore) Confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt, s.everConfirmed = max(at, s.confirmedAt), true
}

// Table returns the newest table, or nil before the first.
func (s *TableStore) Table() *Table { return s.table.Load() }

// ConfirmationAge returns the time since the last confirmation; ok is false
// before the first.
func (s *TableStore) ConfirmationAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - s.confirmedAt, s.everConfirmed
}

// KeysTrusted reports whether calls with an API key may be admitted.
func (s *TableStore) KeysTrusted() bool {
	age, ok := s.ConfirmationAge()
	return ok && (s.keyTrustTime == 0 || age < s.keyTrustTime)
}
