package inventory

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted says that the store no longer has the history after a revision.
var ErrCompacted = errors.New("the store has dropped this part of its history")

// Item is one key of the store with its value, or the removal of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Page is a part of the items below a prefix.
type Page struct {
	Items []Item
	// More is true if items follow behind the last one.
	More bool
	// Revision is the store's revision at the time of the read.
	Revision int64
}

// Store reads the platform's store.
type Store interface {
	// Range returns items below a prefix that come after a key, in the order of
	// their keys. The answer is the newest state.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes below a prefix after a revision as soon as there
	// is one, or none when the wait ends. The error is ErrCompacted if changes
	// are missing.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
}
