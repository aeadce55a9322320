package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// evacuationGrace is the time after which the servers of an evacuated zone get no
	// calls: the setting of the daemons.
	evacuationGrace = 3 * time.Second
	// evacuationStream is the stream of the random numbers for evacuateZone.
	evacuationStream = 2 << 20
)

// evacuateZone evacuates a zone until the faults end. The zone is chosen apart from the
// other faults, so that a seed keeps those.
func (s *soak) evacuateZone(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, evacuationStream))
	zone := fmt.Sprintf("zone-%d", random.IntN(zones))
	runAfter(ctx, time.Duration(random.Int64N(int64(time.Second))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.evacuated = zone
		s.logFault("%s is evacuated", zone)
		s.store.PutRaw(platform.EvacuationPrefix+zone, nil)
		s.checker.setEvacuated(s.serversOf(zone), time.Now())
	})
}

// restoreZone ends the evacuation.
func (s *soak) restoreZone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.setRestored(s.serversOf(s.evacuated))
	s.store.Remove(platform.EvacuationPrefix + s.evacuated)
	s.evacuated = ""
}

// serversOf returns the names of the servers in a zone.
func (s *soak) serversOf(zone string) []string {
	var l []string
	for _, b := range s.servers {
		if b.storeEntry.Zone == zone {
			l = append(l, b.storeEntry.ID)
		}
	}
	return l
}

// setEvacuated records that the zone of servers was evacuated.
func (c *checker) setEvacuated(servers []string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range servers {
		c.evacuatedServers[id] = append(c.evacuatedServers[id], timeSpan{from: at})
	}
}

// setRestored records that the evacuation of the zone of servers is about to end.
func (c *checker) setRestored(servers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range servers {
		c.evacuatedServers[id] = closeLast(c.evacuatedServers[id])
	}
}

// checkEvacuation checks that a call did not run at a server of an evacuated zone.
func (c *checker) checkEvacuation(s observedCall, r stub.Run) {
	for _, span := range c.evacuatedServers[r.Instance] {
		if s.daemonUndisturbed && span.contains(r.ReceivedAt, evacuationGrace) && !c.hadStoreFault(span.from, r.ReceivedAt) {
			c.addViolationLocked("call %s ran at %s %v after its zone was evacuated", s.call.ID, r.Instance, r.ReceivedAt.Sub(span.from))
		}
	}
}
