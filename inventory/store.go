package inventory

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by a watch if the store no longer has all changes
// after the revision.
var ErrCompacted = errors.New("the store has dropped this part of its history")

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Page is a part of the items, or the changes, below a prefix.
type Page struct {
	Items []Item
	// More is true if further items follow the last one.
	More bool
	// Revision is the store's revision at the time of the read. Era is the store's era,
	// which rises when the store comes back from an older copy of itself and gives out
	// revisions again; 0 if the store states none.
	Revision int64
	Era      int64
	// ReadOffset is how long after the call the read of the store began at the
	// earliest; negative if it began before. It is 0 for a call of the store itself.
	ReadOffset time.Duration
	// Relayed is true if another daemon has read the store.
	Relayed bool
}

// Store reads the platform's key-value store.
type Store interface {
	// Range returns the items below a prefix whose keys follow the key after,
	// in the order of their keys. The answer is the newest state.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes below a prefix after a revision as soon as
	// there are any, or none when the wait ends. The error is ErrCompacted if
	// the store no longer has all of them.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
}
