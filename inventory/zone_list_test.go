package inventory

import (
	"testing"

	"github.com/matryer/is"
)

// zonePool is a ZonePool that keeps all states it was given.
type zonePool struct{ states [][]string }

// SetEvacuatedZones implements ZonePool.
func (x *zonePool) SetEvacuatedZones(zones []string) { x.states = append(x.states, zones) }

// zoneItem returns the item that evacuates a zone at a revision.
func zoneItem(zone string, revision int64) Item {
	return Item{Key: "evacuate/" + zone, Value: []byte("not JSON"), Revision: revision}
}

// zoneRemoval returns the removal of that item.
func zoneRemoval(zone string, revision int64) Item {
	return Item{Key: "evacuate/" + zone, Removed: true, Revision: revision}
}

// Guards against calls to a zone that is evacuated, or a zone that gets none for good,
// because a change was missed, repeated after a list, or not passed on.
func TestEvacuatedZones(t *testing.T) {
	for name, c := range map[string]struct {
		reset, changes []Item
		states         [][]string
		passedOn       int
	}{
		"unreadable value":             {nil, []Item{zoneItem("a", 1)}, [][]string{{"a"}}, 1},
		"end":                          {[]Item{zoneItem("a", 1)}, []Item{zoneRemoval("a", 2)}, [][]string{{"a"}, nil}, 1},
		"two zones":                    {[]Item{zoneItem("b", 1)}, []Item{zoneItem("a", 2)}, [][]string{{"b"}, {"a", "b"}}, 1},
		"written again":                {[]Item{zoneItem("a", 1)}, []Item{zoneItem("a", 2)}, [][]string{{"a"}}, 1},
		"repeated after a list":        {[]Item{zoneItem("a", 5)}, []Item{zoneRemoval("a", 4), zoneItem("a", 5)}, [][]string{{"a"}}, 0},
		"begun and ended in one watch": {nil, []Item{zoneItem("a", 1), zoneRemoval("a", 2)}, nil, 2},
		"no zone":                      {nil, []Item{zoneItem("", 1)}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := &zonePool{}
			l := NewZoneList(x, "evacuate/", &eventJournal{})
			l.Reset(c.reset)
			is.Equal(len(l.Apply(c.changes)), c.passedOn)
			is.Equal(x.states, c.states)
		})
	}
	t.Run("ended while the history was lost", func(t *testing.T) {
		is := is.New(t)
		x := &zonePool{}
		l := NewZoneList(x, "evacuate/", &eventJournal{})
		l.Reset([]Item{zoneItem("a", 3)})
		l.Reset(nil)
		l.Apply([]Item{zoneItem("a", 9)})
		is.Equal(x.states, [][]string{{"a"}, nil, {"a"}})
	})
}
