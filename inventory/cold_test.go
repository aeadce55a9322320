package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against a server that becomes cold again because a list repeats an old entry,
// against one that is not known to be cold because a late write is taken for news, and
// against daemons that follow the store over this one and do not hear of it.
func TestColdEntries(t *testing.T) {
	for name, c := range map[string]struct {
		entries  []string
		cold     []string
		passedOn int
	}{
		"cold after its start":       {[]string{"7 1 3s"}, []string{"a 3s"}, 1},
		"still cold":                 {[]string{"7 1 3s", "7 2 1s"}, []string{"a 3s", "a 1s"}, 2},
		"warm":                       {[]string{"7 1 3s", "7 2 0s", "7 3 0s"}, []string{"a 3s"}, 1},
		"cold again":                 {[]string{"7 1 0s", "7 2 2s"}, []string{"a 2s"}, 2},
		"late write":                 {[]string{"7 1 0s", "7 3 0s", "7 2 2s"}, nil, 1},
		"restart of the same server": {[]string{"7 9 0s", "8 1 3s", "7 10 0s"}, []string{"a 3s"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := &fakePool{servers: map[string]wigeonladder.Instance{}}
			l := NewServerList(x, func(i Item) (Entry, error) {
				e := Entry{Instance: wigeonladder.Instance{ID: i.Key}}
				var cold string
				_, err := fmt.Sscan(string(i.Value), &e.StartUnixMs, &e.Sequence, &cold)
				e.ColdTime, _ = time.ParseDuration(cold)
				return e, err
			}, &eventJournal{})
			passedOn := 0
			var items []Item
			for n, v := range c.entries {
				items = append(items, Item{Key: "a", Value: []byte(v), Revision: int64(n + 1)})
				passedOn += len(l.Apply(items[n:]))
			}
			l.Reset(items[len(items)-1:]) // lists what is known
			is.Equal(x.cold, c.cold)
			is.Equal(passedOn, c.passedOn)
		})
	}
}
