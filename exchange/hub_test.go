package exchange

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/place"
)

// Numbers of daemons in the zones of the tests. Both zones have a hub.
const (
	largeZoneA = meshZonePeers + 4
	largeZoneB = meshZonePeers + 2
	allInZones = largeZoneA + largeZoneB
)

// largeZones is a network of two zones. Each daemon sends one load with each report.
type largeZones struct {
	*network
	// silent holds the daemons that send nothing, as if they were frozen.
	silent map[string]*atomic.Bool
}

// withLargeZones runs a test with two zones that have been connected for a while.
func withLargeZones(t *testing.T, cut [][2]string, test func(*testing.T, *largeZones)) {
	bubble(t, func(t *testing.T, ctx context.Context, x *network) {
		z := &largeZones{network: x, silent: map[string]*atomic.Bool{}}
		for _, pair := range cut {
			x.cut[pair] = true
		}
		for zone, n := range map[string]int{"a": largeZoneA, "b": largeZoneB} {
			for i := range n {
				z.start(ctx, zone, fmt.Sprintf("%s%02d", zone, i))
			}
		}
		time.Sleep(10 * time.Second)
		test(t, z)
	})
}

// start starts a daemon.
func (z *largeZones) start(ctx context.Context, zone, name string) {
	silent := &atomic.Bool{}
	z.silent[name] = silent
	z.addIn(ctx, zone, name, func(bool) Report {
		for silent.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		return Report{Place: place.Report{Loads: []place.ServerLoad{{Server: "s", Running: 1}}}}
	}, "a01", "b01", "a02")
}

// hubs returns the names of the daemons that act as hubs.
func (z *largeZones) hubs() []string {
	var l []string
	for _, zone := range []string{"a", "b"} {
		for i := range largeZoneA {
			n := z.nodes[fmt.Sprintf("%s%02d", zone, i)]
			if n == nil {
				continue
			}
			n.mesh.mu.Lock()
			if n.mesh.isHub {
				l = append(l, n.name)
			}
			n.mesh.mu.Unlock()
		}
	}
	return l
}

// wantFresh asserts that in a time each daemon but the excluded ones imports reports
// of each other at least every so often.
func (z *largeZones) wantFresh(t *testing.T, d, sameZone, otherZone time.Duration, excluded ...string) {
	t.Helper()
	out := map[string]bool{}
	for _, name := range excluded {
		out[name] = true
	}
	before := map[[2]string]int{}
	for name, n := range z.nodes {
		for from := range z.nodes {
			before[[2]string{name, from}], _ = n.reportsFrom(from)
		}
	}
	time.Sleep(d)
	for name, n := range z.nodes {
		for from := range z.nodes {
			if name == from || out[name] || out[from] {
				continue
			}
			every := sameZone
			if name[0] != from[0] {
				every = otherZone
			}
			count, _ := n.reportsFrom(from)
			if got := count - before[[2]string{name, from}]; got < int(d/every) {
				t.Fatalf("%s imported %d reports of %s in %v, want one each %v", name, got, from, d, every)
			}
		}
	}
}

// Times between two reports of a daemon that arrive, in its zone and in the other.
const (
	zonePeriod  = 2 * largeZoneA * hubMessageInterval
	otherPeriod = 2 * hubRelayPeriod
)

// Guards against messages that grow with the square of a zone, and against reports
// that arrive too rarely because they are joined.
func TestLargeZonesHaveAHub(t *testing.T) {
	withLargeZones(t, nil, func(t *testing.T, z *largeZones) {
		is := is.New(t)
		is.Equal(z.hubs(), []string{"a00", "b00"})
		sent := func() (n int64) {
			for _, x := range z.nodes {
				reports, _ := x.mesh.SentTotals()
				n += reports
			}
			return n
		}
		before := sent()
		const d = 10 * time.Second
		z.wantFresh(t, d, zonePeriod, otherPeriod)
		// One message to the hub and one from it for each daemon and period, and
		// the relays.
		periods := int64(d / (largeZoneB * hubMessageInterval))
		is.True(sent()-before <= 2*allInZones*periods)
		for _, n := range z.nodes {
			is.Equal(n.mesh.AliveCount(), allInZones)
		}
	})
}

// Guards against a zone whose reports stop because its hub is gone or frozen, and
// against a hub that is not found again.
func TestHubIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(z *largeZones, failed bool){
		"gone":   func(z *largeZones, failed bool) { z.isolate("a00", failed) },
		"frozen": func(z *largeZones, failed bool) { z.silent["a00"].Store(failed) },
	} {
		t.Run(name, func(t *testing.T) {
			withLargeZones(t, nil, func(t *testing.T, z *largeZones) {
				is := is.New(t)
				fail(z, true)
				time.Sleep(2*followTime + time.Second)
				z.wantFresh(t, 5*time.Second, zonePeriod, otherPeriod, "a00")
				is.Equal(z.nodes["a03"].mesh.AliveCount(), allInZones-1)
				fail(z, false)
				time.Sleep(10 * time.Second)
				is.Equal(z.hubs(), []string{"a00", "b00"})
				z.wantFresh(t, 5*time.Second, zonePeriod, otherPeriod)
			})
		})
	}
}

// Guards against a daemon that is not heard because it does not reach the hub of its
// zone, although it reaches other daemons.
func TestHubIsReachedOverAnother(t *testing.T) {
	withLargeZones(t, [][2]string{{"a00", "a05"}, {"b00", "a00"}}, func(t *testing.T, z *largeZones) {
		z.wantFresh(t, 5*time.Second, 2*zonePeriod, 2*otherPeriod)
	})
}

// Guards against a hub on a small machine, whose processor the messages of the zone keep
// busy, while the zone has larger ones.
func TestHubIsALargeMachine(t *testing.T) {
	is := is.New(t)
	m := &Mesh{options: Options{Self: Member{Name: "x", Zone: "a", MemoryMB: 500}}, peers: map[string]*peer{}, origins: map[string]origin{}}
	now := time.Now()
	for i := range meshZonePeers + 1 {
		name := fmt.Sprintf("a%02d", i)
		m.peers[name] = &peer{name: name, zone: "a", memoryMB: 144, passes: true, connected: true, connectedAt: now}
	}
	m.chooseHub(now)
	is.True(m.isHub)
	m.peers["a07"].memoryMB, m.peers["a09"].memoryMB = 500, 500
	m.chooseHub(now)
	is.Equal(m.hub.name, "a07")
	m.peers["a07"].connected = false
	m.chooseHub(now)
	is.Equal(m.hub.name, "a09")
}

// Guards against a zone with daemons of an earlier version, which pass nothing on and
// must get reports directly.
func TestHubNeedsDaemonsThatPass(t *testing.T) {
	is := is.New(t)
	m := &Mesh{options: Options{Self: Member{Name: "x", Zone: "a"}}, peers: map[string]*peer{}, origins: map[string]origin{}}
	now := time.Now()
	for i := range meshZonePeers + 1 {
		name := fmt.Sprintf("a%02d", i)
		m.peers[name] = &peer{name: name, zone: "a", passes: true, connected: true, connectedAt: now}
	}
	m.chooseHub(now)
	is.Equal(m.hub.name, "a00")
	m.peers["a04"].passes = false
	m.chooseHub(now)
	is.True(!m.hasHub())
}
