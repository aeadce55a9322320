package inventory

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// lateWriteTime bounds how long after its writer gave it up the store may still
// perform a write.
const lateWriteTime = 10 * time.Second

// Entry is the state of a backend server, as it wrote it to the store.
type Entry struct {
	wigeonladder.Instance
	// Sequence counts the entries that this start of the server has written.
	Sequence int64
	// ColdTime is how long the server stays cold after it has written the entry.
	ColdTime time.Duration
}

// isOlderThan reports whether the server wrote the entry before another one. The
// sequence begins anew with each start; without a time of the start the order is
// unknown.
func (e Entry) isOlderThan(o Entry) bool {
	if e.StartUnixMs != o.StartUnixMs {
		return e.StartUnixMs < o.StartUnixMs
	}
	return e.StartUnixMs != 0 && e.Sequence < o.Sequence
}

// version is the newest state of one key.
type version struct {
	entry    Entry
	revision int64
	// removedAt is the time at which the key was removed; zero while it exists.
	removedAt time.Time
	// ignored is the last entry that was not applied, ignoredAt when the first one of
	// its start arrived.
	ignored   Entry
	ignoredAt time.Time
}

// versions decides which entries are newer than what is known. The store performs
// some writes seconds after their writer has given them up, and a watch repeats
// changes that a list has already shown.
type versions map[string]*version

// forgetRevisions forgets the revisions of all keys, of which the store gives out others.
func (v versions) forgetRevisions() {
	for _, x := range v {
		x.revision = 0
	}
}

// isCopyOfOld reports whether an entry of a store that has come back from a copy of itself
// is older than what is known: the copy may have servers that have left since, or what
// they wrote before.
func (v versions) isCopyOfOld(key string, e Entry) bool {
	x := v[key]
	if x == nil {
		return false
	}
	sameStart := e.StartUnixMs == x.entry.StartUnixMs
	return !x.removedAt.IsZero() && sameStart && e.Sequence <= x.entry.Sequence || sameStart && e.Sequence < x.entry.Sequence ||
		e.isOlderThan(x.entry)
}

// accept reports whether an entry is newer than what is known of its key, and records
// it if it is. An entry that was written before the known one is not, unless the server
// goes on to write such entries for longer than a late write takes: the time of its
// start is then wrong.
func (v versions) accept(i Item, e Entry, now time.Time) bool {
	x := v[i.Key]
	if x == nil {
		v[i.Key] = &version{entry: e, revision: i.Revision}
		return true
	}
	if i.Revision < x.revision {
		return false
	}
	if e.isOlderThan(x.entry) {
		if e.StartUnixMs != x.ignored.StartUnixMs || x.ignoredAt.IsZero() {
			x.ignoredAt = now
		}
		x.ignored = e
		if e.StartUnixMs == x.entry.StartUnixMs || now.Sub(x.ignoredAt) < lateWriteTime {
			return false
		}
	}
	*x = version{entry: e, revision: i.Revision}
	return true
}

// revision returns the revision of the newest state of a key; 0 if none is known.
func (v versions) revision(key string) int64 {
	if x := v[key]; x != nil {
		return x.revision
	}
	return 0
}

// acceptRemoval reports whether the removal of a key is newer than what is known of it,
// and records it if it is. A late write must not bring the server back, so that its
// last entry is kept for lateWriteTime.
func (v versions) acceptRemoval(i Item, now time.Time) bool {
	x := v[i.Key]
	if x == nil || i.Revision < x.revision {
		return false
	}
	x.revision, x.removedAt = max(x.revision, i.Revision), now
	for key, o := range v {
		if !o.removedAt.IsZero() && now.Sub(o.removedAt) > lateWriteTime {
			delete(v, key)
		}
	}
	return true
}
