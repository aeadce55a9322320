package inventory

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// parseEntry reads the entries of these tests: "START SEQUENCE" and, of a server that
// leaves, a third word.
func parseEntry(i Item) (Entry, error) {
	e := Entry{Instance: wigeonladder.Instance{ID: i.Key}}
	_, err := fmt.Sscan(string(i.Value), &e.StartUnixMs, &e.Sequence)
	e.Leaving = len(strings.Fields(string(i.Value))) > 2
	return e, err
}

// newEntryList returns a server list for parseEntry and its pool.
func newEntryList() (*ServerList, *fakePool) {
	x := &fakePool{servers: map[string]wigeonladder.Instance{}}
	return NewServerList(x, parseEntry, &eventJournal{}), x
}

// leaving reports whether the pool has a server that leaves.
func (x *fakePool) leaving(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.servers[id].Leaving
}

// Guards against calls to a server that leaves or has gone, after a write that the
// store performed seconds late, or a change that a watch repeats after a list.
func TestEntriesWrittenBefore(t *testing.T) {
	for name, c := range map[string]struct {
		entries []string
		leaving bool
	}{
		"heartbeat before it leaves":            {[]string{"7 4", "7 7 leaving", "7 5"}, true},
		"heartbeat of the start before":         {[]string{"7 90", "9 2 leaving", "7 91"}, true},
		"next heartbeat":                        {[]string{"7 4", "7 7 leaving", "7 8"}, false},
		"next start":                            {[]string{"7 90 leaving", "9 1"}, false},
		"next start without a time of it":       {[]string{"0 90 leaving", "0 1"}, false},
		"entry that returns after its removal":  {[]string{"7 4", "", "7 5"}, false},
		"late write of the same after removal":  {[]string{"7 7 leaving", "", "7 5"}, true},
		"two late writes after a later removal": {[]string{"7 7 leaving", "", "7 5", "7 6"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, x := newEntryList()
				for n, v := range c.entries {
					l.Apply([]Item{{Key: "a", Value: []byte(v), Removed: v == "", Revision: int64(n + 1)}})
				}
				is.New(t).Equal(!x.has("a") || x.leaving("a"), c.leaving)
			})
		})
	}
	t.Run("older revision", func(t *testing.T) {
		l, x := newEntryList()
		l.Reset([]Item{{Key: "a", Value: []byte("0 2 leaving"), Revision: 9}})
		l.Apply([]Item{{Key: "a", Value: []byte("0 1"), Revision: 8}, {Key: "a", Removed: true, Revision: 7}})
		is.New(t).True(x.leaving("a"))
	})
	t.Run("unreadable entry of an older revision", func(t *testing.T) {
		l, x := newEntryList()
		l.Reset([]Item{{Key: "a", Value: []byte("7 2"), Revision: 9}})
		l.Apply([]Item{{Key: "a", Value: []byte("unreadable"), Revision: 8}})
		is.New(t).True(x.has("a"))
		l.Apply([]Item{{Key: "a", Value: []byte("unreadable"), Revision: 10}})
		is.New(t).True(!x.has("a"))
	})
	t.Run("start with a clock that was set back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, x := newEntryList()
			l.Apply([]Item{{Key: "a", Value: []byte("9 2 leaving"), Revision: 1}})
			for n := range 12 {
				time.Sleep(time.Second)
				l.Apply([]Item{{Key: "a", Value: fmt.Appendf(nil, "7 %d", n), Revision: int64(n + 2)}})
			}
			is.New(t).True(!x.leaving("a"))
		})
	})
}
