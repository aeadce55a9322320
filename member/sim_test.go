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

// sim simulates a fleet of tables that exchange heartbeats in virtual time, in
// one goroutine. The receiver of a heartbeat answers with its own record, and
// with all records if it does not know the sender.
type sim struct {
	t         *testing.T
	random    *rand.Rand
	vms       []wigeonladder.VM
	live      wigeonladder.LiveList
	tables    map[string]*Table
	nextRound map[string]time.Time
	// earlyRounds limits the early rounds of each daemon: an early round adds
	// two, and every round takes one away.
	earlyRounds map[string]int
	starts      int

	// lossRate is the fraction of messages that are lost in each direction.
	lossRate float64
	// partitioned reports whether two daemons cannot reach each other.
	partitioned func(a, b string) bool

	bytes, heartbeats int
	// countBytes turns on the counting of bytes, which takes most of the
	// running time.
	countBytes bool
}

// simStep is the virtual time by which run advances the fleet in one step.
const simStep = 10 * time.Millisecond

// checkInterval is the virtual time between two checks of a condition, and so
// the resolution of the times that run returns.
const checkInterval = 50 * time.Millisecond

// newSim returns a fleet of the given size, spread over the given number of
// zones. Its daemons are not started.
func newSim(t *testing.T, size, zones int) *sim {
	const seed = 7
	t.Logf("%d members, seed %d", size, seed)
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), tables: map[string]*Table{},
		nextRound: map[string]time.Time{}, earlyRounds: map[string]int{}, partitioned: func(string, string) bool { return false },
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
	s.nextRound[vm.Name] = time.Now()
	return t
}

// startAll starts all daemons within half a second.
func (s *sim) startAll() {
	for _, v := range s.vms {
		s.start(v)
		s.nextRound[v.Name] = time.Now().Add(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

func (s *sim) stop(name string) { delete(s.tables, name) }

// run advances the fleet by a time, or until a condition holds if there is one,
// and returns how long it took. It fails the test if the condition does not
// hold in that time.
func (s *sim) run(d time.Duration, until func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for time.Since(start) < d {
		if until != nil && time.Since(start)%checkInterval == 0 && until() {
			return time.Since(start)
		}
		for _, v := range s.vms {
			if t := s.tables[v.Name]; t != nil && !time.Now().Before(s.nextRound[v.Name]) {
				s.round(v.Name, t)
			}
		}
		time.Sleep(simStep)
	}
	if until != nil && !until() {
		s.t.Fatalf("condition does not hold within %v", d)
	}
	return time.Since(start)
}

// round sends the heartbeats of one daemon and handles the answers.
func (s *sim) round(name string, t *Table) {
	s.nextRound[name] = time.Now().Add(time.Duration(800+s.random.IntN(400)) * time.Millisecond)
	s.earlyRounds[name] = max(0, s.earlyRounds[name]-1)
	s.scheduleEarly(name, t.Tick())
	self, targets := t.StartRound()
	for _, target := range targets {
		s.heartbeats++
		relay := t.RelayRecords(target.VM)
		s.addBytes(self, relay)
		to := s.tables[target.VM]
		if to == nil || s.lost(name, target.VM) {
			continue
		}
		fresh := !to.KnowsIncarnation(self)
		s.scheduleEarly(target.VM, to.MergeHeartbeat(self, relay))
		var all []Record
		if fresh || t.NeedsAllRecords() {
			all = to.AllRecords()
		}
		to.CompareDigest(t.Digest())
		s.addBytes(to.Self(), all)
		if !s.lost(name, target.VM) {
			s.scheduleEarly(name, t.MergeHeartbeat(to.Self(), all))
			t.CompareDigest(to.Digest())
		}
	}
}

// scheduleEarly brings the next round of a daemon forward if there is a change
// to spread and earlyRounds is below its limit.
func (s *sim) scheduleEarly(name string, changed bool) {
	if changed && s.earlyRounds[name] < 3 {
		s.earlyRounds[name] += 2
		s.nextRound[name] = time.Now().Add(50 * time.Millisecond)
	}
}

// lost reports whether a message between two daemons is lost.
func (s *sim) lost(a, b string) bool {
	return s.partitioned(a, b) || s.random.Float64() < s.lossRate
}

// addBytes adds the size of one message if bytes are counted.
func (s *sim) addBytes(self Record, relay []Record) {
	if !s.countBytes {
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

// converged reports whether every daemon believes as many daemons alive as are
// running.
func (s *sim) converged() bool {
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

// falseDeaths returns the number of records that call a running daemon dead.
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

// names returns the names of the running daemons, sorted.
func (s *sim) names() []string {
	var l []string
	for name := range s.tables {
		l = append(l, name)
	}
	slices.Sort(l)
	return l
}

// bubble runs a test for each fleet size in a synctest bubble of its own.
func bubble(t *testing.T, f func(t *testing.T, s *sim), sizes ...int) {
	for _, size := range sizes {
		if raceEnabled && size > 100 {
			// A simulation runs in one goroutine, so the race detector finds
			// nothing and makes the large ones ten times slower.
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
