package member

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// sim is a fleet of tables that exchange heartbeats on virtual time, in one
// goroutine. A heartbeat is answered with the receiver's own record, or with
// all records if the sender is new.
type sim struct {
	t      *testing.T
	random *rand.Rand
	vms    []wigeonladder.VM
	live   wigeonladder.LiveList
	tables map[string]*Table
	next   map[string]time.Time
	extra  map[string]int
	starts int

	// loss is the part of messages that are lost, each way.
	loss float64
	// cut reports whether two daemons cannot reach each other.
	cut func(a, b string) bool

	bytes, beats int
	// weigh turns the counting of bytes on; it takes most of the time.
	weigh bool
}

// simStep is the resolution of the virtual clock.
const simStep = 10 * time.Millisecond

// checkEvery is how often a condition is checked; it divides the measured times.
const checkEvery = 50 * time.Millisecond

// newSim returns a fleet of the given size in up to zones zones, not started.
func newSim(t *testing.T, size, zones int) *sim {
	const seed = 7
	t.Logf("%d members, seed %d", size, seed)
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), tables: map[string]*Table{},
		next: map[string]time.Time{}, extra: map[string]int{}, cut: func(string, string) bool { return false },
	}
	for i := range size {
		s.vms = append(s.vms, wigeonladder.VM{
			Name: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		})
	}
	return s
}

// start starts a daemon under a new incarnation.
func (s *sim) start(vm wigeonladder.VM) *Table {
	s.starts++
	t := NewTable(Options{Self: vm, Incarnation: fmt.Sprintf("%08x", s.starts)})
	t.ApplyRegister(s.vms, s.live)
	s.tables[vm.Name] = t
	s.next[vm.Name] = time.Now()
	return t
}

// startAll starts all daemons within half a second.
func (s *sim) startAll() {
	for _, v := range s.vms {
		s.start(v)
		s.next[v.Name] = time.Now().Add(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

// stop ends a daemon.
func (s *sim) stop(name string) { delete(s.tables, name) }

// run lets the fleet run for a time, or until a condition holds if there is
// one, and returns how long it took.
func (s *sim) run(d time.Duration, until func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for time.Since(start) < d {
		if until != nil && time.Since(start)%checkEvery == 0 && until() {
			return time.Since(start)
		}
		for _, v := range s.vms {
			if t := s.tables[v.Name]; t != nil && !time.Now().Before(s.next[v.Name]) {
				s.round(v.Name, t)
			}
		}
		time.Sleep(simStep)
	}
	if until != nil && !until() {
		s.t.Fatalf("not within %v", d)
	}
	return time.Since(start)
}

// round sends the heartbeats of one daemon.
func (s *sim) round(name string, t *Table) {
	s.next[name] = time.Now().Add(time.Duration(800+s.random.IntN(400)) * time.Millisecond)
	s.extra[name] = max(0, s.extra[name]-1)
	s.urgent(name, t.Tick())
	self, targets := t.StartRound()
	for _, target := range targets {
		s.beats++
		relay := t.RelayRecords(target.VM)
		s.count(self, relay)
		to := s.tables[target.VM]
		if to == nil || s.lost(name, target.VM) {
			continue
		}
		fresh := !to.KnowsIncarnation(self)
		s.urgent(target.VM, to.MergeHeartbeat(self, relay))
		var all []Record
		if fresh || t.NeedsAllRecords() {
			all = to.AllRecords()
		}
		to.CompareDigest(t.Digest())
		s.count(to.Self(), all)
		if !s.lost(name, target.VM) {
			s.urgent(name, t.MergeHeartbeat(to.Self(), all))
			t.CompareDigest(to.Digest())
		}
	}
}

// urgent brings the next round of a daemon forward, at most three in a row.
func (s *sim) urgent(name string, news bool) {
	if news && s.extra[name] < 3 {
		s.extra[name] += 2
		s.next[name] = time.Now().Add(50 * time.Millisecond)
	}
}

// lost reports whether a message is lost.
func (s *sim) lost(a, b string) bool {
	return s.cut(a, b) || s.random.Float64() < s.loss
}

// count adds the size of one message.
func (s *sim) count(self Record, relay []Record) {
	if !s.weigh {
		return
	}
	data, err := json.Marshal(struct {
		R Record   `json:"r"`
		M []Record `json:"m,omitempty"`
	}{self, relay})
	if err != nil {
		s.t.Fatal(err)
	}
	s.bytes += len(data)
}

// agree reports whether every daemon believes exactly the running ones alive.
func (s *sim) agree() bool {
	for _, t := range s.tables {
		if t.alive() != len(s.tables) {
			return false
		}
	}
	return true
}

// alive returns the number of members believed alive.
func (t *Table) alive() int {
	n := 1
	for _, m := range t.members {
		if m.rec.State != Dead {
			n++
		}
	}
	return n
}

// falseDeaths returns the number of verdicts about running daemons that stand.
func (s *sim) falseDeaths() int {
	n := 0
	for _, t := range s.tables {
		for _, r := range t.Dump() {
			if r.State == Dead && s.tables[r.VM] != nil {
				n++
			}
		}
	}
	return n
}

// names returns the running daemons, sorted.
func (s *sim) names() []string {
	var l []string
	for name := range s.tables {
		l = append(l, name)
	}
	slices.Sort(l)
	return l
}

// bubble runs a test for each fleet size in a bubble of its own.
func bubble(t *testing.T, f func(t *testing.T, s *sim), sizes ...int) {
	for _, size := range sizes {
		if raceEnabled && size > 100 {
			// One goroutine drives a simulation, so the race detector only
			// makes the large ones ten times slower.
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				zones := 3
				if size > 100 {
					zones = 8
				}
				f(t, newSim(t, size, zones))
			})
		})
	}
}
