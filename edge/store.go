package edge

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder/inventory"
	"github.com/wigeonladder/wigeonladder/setting"
)

const (
	// storeWatchTimeout is the time for which one watch of the store waits for a change. Each
	// answer confirms that the known API keys are still in force.
	storeWatchTimeout = 700 * time.Millisecond
	// watchPauseFraction is the time between two watches, during which changes
	// accumulate, as a fraction of the time within which changes have to be in
	// force. The entries of backend servers change at every heartbeat, so without
	// the pause each change would cost a call of the store. The rest of the time
	// leaves room for a slow answer and one lost call.
	watchPauseFraction = 0.4
	// relayWaitMargin is the time after its next read of the store within which the
	// daemon that reads for others must answer; otherwise the store is read directly.
	relayWaitMargin = 250 * time.Millisecond
)

// followStore follows the configuration, the evacuated zones and the backend servers in
// the store. A single watch of all items takes fewer calls than one watch for each
// kind. While another daemon of the zone reads the store, the changes come from that
// one.
func (d *Daemon) followStore(ctx context.Context, feed *inventory.Feed, contact *inventory.Contact) {
	p := d.platform
	relayWait := watchPause(d.settings) + relayWaitMargin
	go inventory.Follow(ctx, inventory.Options{
		Store: p.Store, WatchTimeout: storeWatchTimeout, WatchPause: watchPause(d.settings),
		Restored: func(int64) {
			d.zoneList.Restored()
			d.serverList.Restored()
		},
		Reset: d.resetItems,
		Apply: d.applyItems,
		Relay: func(ctx context.Context, after, era int64) (inventory.Page, error) {
			return d.mesh.Load().WatchStore(ctx, after, era, relayWait)
		},
		Feed:        feed,
		OnSource:    d.storeRelayed.Store,
		OnConfirmed: d.tableStore.Confirm, Contact: contact,
		OnStoreRegained: func(silence time.Duration) {
			d.serverList.StoreRegained(ctx, silence, d.mesh.Load().StoreContact)
		},
		Now: uptime, Journal: d.journal,
	})
}

// resetItems replaces all items of the store. The configuration and the evacuated zones
// come first, since they restrict the calls to the servers.
func (d *Daemon) resetItems(items []inventory.Item) {
	x := d.sortItems(items)
	d.applyConfigs(x.configs)
	d.zoneList.Reset(x.zones)
	d.serverList.Reset(x.servers)
	d.streams.versions.Listed()
}

// applyItems applies changes of items of the store and returns those that told
// something new. Servers that leave come before the configuration, which takes longer to
// apply.
func (d *Daemon) applyItems(items []inventory.Item) []inventory.Item {
	x := d.sortItems(items)
	changes := d.zoneList.Apply(x.zones)
	changes = append(changes, d.serverList.Apply(x.servers)...)
	return append(changes, d.applyConfigs(x.configs)...)
}

// storeItems are items of the store by their kind.
type storeItems struct{ configs, zones, servers []inventory.Item }

// sortItems returns items by their kind. The removal of the configuration is none: the
// known one stays in force.
func (d *Daemon) sortItems(items []inventory.Item) storeItems {
	var x storeItems
	p := d.platform
	for _, i := range items {
		switch {
		case i.Key == p.ConfigKey && !i.Removed:
			x.configs = append(x.configs, i)
		case strings.HasPrefix(i.Key, p.EvacuationPrefix):
			x.zones = append(x.zones, i)
		case strings.HasPrefix(i.Key, p.ServersPrefix):
			x.servers = append(x.servers, i)
		}
	}
	return x
}

// watchPause returns the time between two watches of the store.
func watchPause(s setting.Edge) time.Duration {
	shortest := min(s.MaxApplyDelay, s.MaxLeaveDelay)
	if s.MaxEvacuationDelay > 0 {
		shortest = min(shortest, s.MaxEvacuationDelay)
	}
	return time.Duration(watchPauseFraction * float64(shortest))
}

// applyConfigs puts the newest of the configurations in force, and returns it if it is
// newer than the one that was. The others are superseded: they are not even parsed, and
// daemons that follow the store over this one do not get them.
func (d *Daemon) applyConfigs(items []inventory.Item) []inventory.Item {
	for _, i := range d.newestConfigsFirst(items) {
		if d.applyConfig(i) {
			return []inventory.Item{i}
		}
	}
	return nil
}

// newestConfigsFirst returns the configurations that are newer than the one in force by
// their versions. A write may take effect after a later one, so that their order in the
// store is not that of their versions.
func (d *Daemon) newestConfigsFirst(items []inventory.Item) []inventory.Item {
	versions := make(map[int64]int64, len(items))
	var newer []inventory.Item
	for _, i := range items {
		v, err := d.platform.ConfigVersion(i.Value)
		if err != nil {
			d.journal.Note("", "config_unreadable", "revision", i.Revision, "error", err)
			continue
		}
		if t := d.tableStore.Table(); t == nil || v > t.Version() {
			versions[i.Revision] = v
			newer = append(newer, i)
		}
	}
	slices.SortStableFunc(newer, func(a, b inventory.Item) int {
		return cmp.Compare(versions[b.Revision], versions[a.Revision])
	})
	return newer
}

// applyConfig puts the configuration of a store item in force, and reports whether it did:
// not if it cannot be read or is not accepted.
func (d *Daemon) applyConfig(i inventory.Item) bool {
	doc, err := d.platform.ParseConfig(i.Value)
	if err != nil {
		d.journal.Note("", "config_unreadable", "revision", i.Revision, "error", err)
		return false
	}
	if !d.tableStore.Accept(doc) {
		return false
	}
	d.pool.SetServices(doc.Services)
	d.window.SetCapacity(doc.Limits.TokensPerSecond)
	d.journal.Note("", "config_accepted", "version", doc.Version, "revision", i.Revision,
		"routes", len(doc.Routes), "workspaces", len(doc.Workspaces))
	return true
}

const (
	// leaveMargin is subtracted from the time after which a server that leaves gets no
	// more calls: a call takes it to reach its server.
	leaveMargin = 250 * time.Millisecond
	// outdatedDelay is the wait for the processor from which a daemon may lag behind the
	// store although the store answers.
	outdatedDelay = 100 * time.Millisecond
)

// outdated reports whether servers may have left for longer than promised without this
// daemon knowing it, because it lacks the processor time to follow the store. While the
// store does not answer, the servers that are known stay in use.
func (d *Daemon) outdated() bool {
	age, _ := d.tableStore.ConfirmationAge()
	return age > time.Duration(d.settings.MaxLeaveDelay)-leaveMargin && d.gate.delay() >= outdatedDelay
}
