package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/inventory"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/route"
)

// storeFollower is a daemon that only applies items of a store. The configuration with a
// version is the version as text; "bad" versions cannot be parsed.
func storeFollower(t *testing.T, onParse func()) (d *Daemon, versions *[]int64) {
	t.Helper()
	versions = &[]int64{}
	pool := place.NewPool(t.Context(), place.Options{})
	d = &Daemon{
		journal: operator.NewJournal(nil), pool: pool, window: fair.NewWindow(func() int { return 1 }),
		tableStore: route.NewTableStore(uptime, 0),
		platform: Platform{
			ConfigKey: "config", ServersPrefix: "servers/", EvacuationPrefix: "evacuate/",
			ConfigVersion: func(b []byte) (int64, error) { return strconv.ParseInt(string(b[:3]), 10, 64) },
			ParseConfig: func(b []byte) (route.Document, error) {
				onParse()
				v, err := strconv.ParseInt(string(b), 10, 64)
				*versions = append(*versions, v)
				return route.Document{Version: v}, err
			},
		},
	}
	d.serverList = inventory.NewServerList(pool, func(i inventory.Item) (inventory.Entry, error) {
		return inventory.Entry{Instance: wigeonladder.Instance{ID: i.Key, Service: "s", StartUnixMs: 1, Leaving: string(i.Value) == "leaving"}, Sequence: i.Revision}, nil
	}, d.journal)
	d.zoneList = inventory.NewZoneList(pool, "evacuate/", d.journal)
	return d, versions
}

// Guards against calls to servers that have left (DRAIN), because a daemon applies one
// configuration after the other before it reads that they leave.
func TestLeavingServersComeBeforeConfigurations(t *testing.T) {
	is := is.New(t)
	server := wigeonladder.Instance{ID: "servers/x", Service: "s", StartUnixMs: 1}
	var d *Daemon
	d, versions := storeFollower(t, func() { is.True(!d.pool.Allowed(server)) })
	d.applyItems([]inventory.Item{{Key: server.ID, Value: []byte("ready"), Revision: 1}})
	is.True(d.pool.Allowed(server))
	var items []inventory.Item
	for v := range int64(25) {
		items = append(items, inventory.Item{Key: "config", Value: []byte(strconv.FormatInt(100+v, 10)), Revision: 2 + v})
	}
	items = append(items, inventory.Item{Key: server.ID, Value: []byte("leaving"), Revision: 99})
	changes := d.applyItems(items)
	is.Equal(*versions, []int64{124})
	is.Equal(len(changes), 2) // what other daemons have to know
}

// Guards against a configuration that is lost because an older one was written later, or
// because a newer one cannot be read.
func TestNewestReadableConfigurationWins(t *testing.T) {
	is := is.New(t)
	d, versions := storeFollower(t, func() {})
	item := func(value string, revision int64) inventory.Item {
		return inventory.Item{Key: "config", Value: []byte(value), Revision: revision}
	}
	d.applyItems([]inventory.Item{item("105", 1), item("107", 2), item("106", 3), item("108 bad", 4), item("bad", 5)})
	is.Equal(d.tableStore.Table().Version(), int64(107))
	is.Equal(len(*versions), 2)
	is.Equal(len(d.applyItems([]inventory.Item{item("106", 6), item("107", 7)})), 0)
	is.Equal(d.tableStore.Table().Version(), int64(107))
}

// Guards against calls to servers that have left (DRAIN), sent by a daemon that lacks the
// processor time to read so, and against a daemon that stops serving because the store is
// away.
func TestOutdatedDaemon(t *testing.T) {
	is := is.New(t)
	d, _ := storeFollower(t, func() {})
	d.settings.MaxLeaveDelay = 3e9
	delay := time.Duration(0)
	d.gate = &gate{timerDelay: func() time.Duration { return delay }, requestDelay: func() time.Duration { return 0 }}
	for _, x := range []struct {
		age, delay time.Duration
		outdated   bool
	}{
		{time.Second, time.Second, false},
		{2900 * time.Millisecond, outdatedDelay, true},
		{time.Minute, 0, false},
	} {
		d.tableStore = route.NewTableStore(func() time.Duration { return x.age }, 0)
		d.tableStore.Confirm(0)
		delay = x.delay
		is.Equal(d.outdated(), x.outdated)
	}
}
