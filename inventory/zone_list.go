package inventory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// ZonePool receives the zones of a ZoneList.
type ZonePool interface {
	// SetEvacuatedZones replaces the availability zones whose servers get no calls.
	SetEvacuatedZones(zones []string)
}

// ZoneList keeps the availability zones that an administrator has asked to evacuate.
// The key of an item names the zone; its value has no meaning.
type ZoneList struct {
	pool    ZonePool
	prefix  string
	journal wigeonladder.Journal

	mu sync.Mutex
	// zones holds the newest state of each zone that was ever evacuated.
	zones map[string]zoneState
	// restoring is true from when the store has come back from a copy of itself until all
	// of its items have replaced those that were known.
	restoring bool
}

// zoneState is whether a zone is evacuated, and the revision of the change that tells
// it. Unconfirmed is true for a state from before the store came back from a copy, which
// does not have it.
type zoneState struct {
	evacuated   bool
	revision    int64
	unconfirmed bool
}

// NewZoneList returns an empty list. The keys of its items begin with a prefix.
func NewZoneList(pool ZonePool, prefix string, j wigeonladder.Journal) *ZoneList {
	return &ZoneList{pool: pool, prefix: prefix, journal: j, zones: map[string]zoneState{}}
}

// Reset replaces all zones.
func (l *ZoneList) Reset(items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.evacuated()
	listed := map[string]bool{}
	for _, i := range items {
		zone := strings.TrimPrefix(i.Key, l.prefix)
		listed[zone] = true
		if x, known := l.zones[zone]; l.restoring && known && !x.evacuated {
			// The copy is from before the end of the evacuation.
			l.zones[zone] = zoneState{revision: i.Revision}
			continue
		}
		l.applyItem(i)
	}
	for zone, x := range l.zones {
		switch {
		case listed[zone]:
		case l.restoring && x.evacuated:
			x.unconfirmed = true
			l.zones[zone] = x
			time.AfterFunc(lateWriteTime, func() { l.endUnconfirmed(zone) })
		default:
			l.zones[zone] = zoneState{revision: x.revision}
		}
	}
	l.restoring = false
	l.publish(before)
}

// Restored tells the list that the store has come back from a copy of itself. The next
// Reset brings the items of the copy. A zone whose evacuation the copy does not have stays
// evacuated until there was time to write it again.
func (l *ZoneList) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoring = true
	for zone, x := range l.zones {
		x.revision = 0
		l.zones[zone] = x
	}
}

// endUnconfirmed ends the evacuation of a zone that was not written again.
func (l *ZoneList) endUnconfirmed(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.evacuated()
	if l.zones[zone].unconfirmed {
		l.zones[zone] = zoneState{revision: l.zones[zone].revision}
	}
	l.publish(before)
}

// Apply applies changes of zones. It returns those that told something new.
func (l *ZoneList) Apply(items []Item) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.evacuated()
	var changes []Item
	for _, i := range items {
		if l.applyItem(i) {
			changes = append(changes, i)
		}
	}
	l.publish(before)
	return changes
}

// applyItem applies one change and reports whether it is newer than what is known. A
// watch repeats changes that a list has already shown.
func (l *ZoneList) applyItem(i Item) bool {
	zone := strings.TrimPrefix(i.Key, l.prefix)
	if zone == "" || i.Revision <= l.zones[zone].revision {
		return false
	}
	l.zones[zone] = zoneState{evacuated: !i.Removed, revision: i.Revision}
	return true
}

// evacuated returns the evacuated zones, sorted.
func (l *ZoneList) evacuated() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(l.zones)) {
		if l.zones[zone].evacuated {
			zones = append(zones, zone)
		}
	}
	return zones
}

// publish passes the zones on if they differ from those before. A batch of changes has
// one effect, so that a zone whose evacuation ended long ago is not evacuated for a
// moment.
func (l *ZoneList) publish(before []string) {
	zones := l.evacuated()
	if slices.Equal(before, zones) {
		return
	}
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			l.journal.Note("", "zone_evacuated", "zone", zone, "revision", l.zones[zone].revision)
		}
	}
	for _, zone := range before {
		if !slices.Contains(zones, zone) {
			l.journal.Note("", "zone_restored", "zone", zone, "revision", l.zones[zone].revision)
		}
	}
	l.pool.SetEvacuatedZones(zones)
}
