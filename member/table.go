package member

import (
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times and sizes of the membership.
const (
	// SuspectAfter is the silence after which a member is suspect.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a member is dead.
	DeadAfter = 6 * time.Second
	// HomeEligibleAfter is how long a member must be seen alive before it takes homes.
	HomeEligibleAfter = 2 * time.Second
	// DiscoveryTimeout is how long a started daemon listens for older members before
	// it takes itself for a home.
	DiscoveryTimeout = time.Second
	// MaxRelayedRecords bounds the records in one heartbeat.
	MaxRelayedRecords = 16
	// MaxHeartbeatTargets bounds the peers that get a heartbeat in one round.
	MaxHeartbeatTargets = 4

	// pauseAfter is the gap between two ticks that shows that this process was
	// paused; ticks come at least once a second.
	pauseAfter = 2500 * time.Millisecond
	// keepDead is how long a dead member that the register lacks is remembered,
	// so that an old record cannot bring it back.
	keepDead = 10 * time.Minute
)

// Options configure a Table.
type Options struct {
	// Self describes this daemon's VM.
	Self wigeonladder.VM
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	// Seeds are addresses to try before anything else is known.
	Seeds []string
}

// Table is one daemon's view of the fleet. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Record
	started time.Time
	ticked  time.Time
	round   int
	members map[string]*entry
	known   map[string]wigeonladder.VM
	live    wigeonladder.LiveList
	seeds   map[string]time.Time
	tried   map[string]time.Time

	// listening is true until this daemon knows whether older members exist.
	listening bool
	homes     homes
	// settling is true while a member may still begin to count for homes, stale
	// if the pools of homes must be recomputed.
	settling, stale bool
	// zones and sorted cache the rings and the names of the other members; nil
	// if they must be recomputed. sum caches the digest while summed is true.
	zones   map[string][]string
	sorted  []string
	sum     uint32
	summed  bool
	version uint64
	// turn rotates the records that are relayed beside the freshest.
	turn int
	// differs is since when a peer's members differ from the own; zero if not.
	differs time.Time
}

// entry is one other member.
type entry struct {
	rec Record
	// heard is when the member itself was last known to be alive.
	heard time.Time
	// since is when it was first seen in this life.
	since time.Time
	// watched is when this daemon became one of its watchers; zero if not.
	watched time.Time
	// counted is true once the member takes homes; it stays so until death.
	counted bool
	// draining is the member's own last word, also while it is suspect.
	draining bool
	// news is the number of heartbeats that shall still carry the record first.
	news int
}

// NewTable returns a table that knows this daemon only.
func NewTable(o Options) *Table {
	now := time.Now()
	t := &Table{
		self: Record{
			VM: o.Self.Name, Zone: o.Self.Zone, PeerAddress: o.Self.PeerAddress, Incarnation: o.Incarnation,
			// The clock only makes a start above the previous incarnation
			// likely; MergeHeartbeat corrects it.
			Sequence: uint64(now.Unix()),
		},
		started:   now,
		ticked:    now,
		members:   map[string]*entry{},
		known:     map[string]wigeonladder.VM{},
		seeds:     map[string]time.Time{},
		tried:     map[string]time.Time{},
		listening: true,
	}
	for _, s := range o.Seeds {
		if s != o.Self.PeerAddress {
			t.seeds[s] = time.Time{}
		}
	}
	return t
}

// ApplyRegister takes over the VMs of the register and the platform's live list. They
// only name addresses to try and speed up a verdict.
func (t *Table) ApplyRegister(vms []wigeonladder.VM, live wigeonladder.LiveList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live = live
	clear(t.known)
	for _, v := range vms {
		if v.Name != t.self.VM {
			t.known[v.Name] = v
		}
		if m := t.members[v.Name]; m != nil {
			m.rec.Zone, m.rec.PeerAddress = v.Zone, v.PeerAddress
		}
	}
	t.touch()
	t.refresh(time.Now())
}

// SetDraining sets or ends this daemon's draining state.
func (t *Table) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Alive
	if draining {
		t.self.State = Draining
	}
	t.stale = true
	t.self.Sequence++
	t.refresh(time.Now())
}

// Self returns this daemon's record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Version grows with every change of the members or of the homes.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Members returns the VMs believed alive, this one included, sorted.
func (t *Table) Members() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.self.VM}
	for name, m := range t.members {
		if m.rec.State != Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Lookup returns what is known about a VM.
func (t *Table) Lookup(vm string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if vm == t.self.VM {
		return t.self, true
	}
	m := t.members[vm]
	if m == nil {
		return Record{}, false
	}
	return m.record(time.Now()), true
}

// Address returns the peer address of a VM.
func (t *Table) Address(vm string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[vm]; m != nil && m.rec.PeerAddress != "" {
		return m.rec.PeerAddress, true
	}
	v, ok := t.known[vm]
	return v.PeerAddress, ok
}

// Gone reports whether a VM is certainly gone: dead by its silence, and no
// longer in the platform's list.
func (t *Table) Gone(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[vm]
	if m == nil || m.rec.State != Dead || len(t.live.VMs) == 0 {
		return false
	}
	_, listed := t.live.State(vm)
	return !listed
}

// Dump returns all records, sorted by VM.
func (t *Table) Dump() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := []Record{t.self}
	for _, m := range t.members {
		l = append(l, m.record(now))
	}
	slices.SortFunc(l, func(a, b Record) int { return strings.Compare(a.VM, b.VM) })
	return l
}

// record returns the member's record as of now.
func (m *entry) record(now time.Time) Record {
	r := m.rec
	r.Age = max(0, now.Sub(m.heard))
	r.HomeEligible = m.counted
	return r
}

// changed notes a change that others should hear of soon.
func (t *Table) changed(m *entry) {
	m.news = t.newsCount()
	t.touch()
	t.version++
}

// touch drops what was computed from the members.
func (t *Table) touch() {
	t.zones, t.sorted, t.summed = nil, nil, false
	t.settling, t.stale = true, true
}

// newsCount is how often a piece of news is sent. Each round reaches MaxHeartbeatTargets
// peers; three times the logarithm leaves room for lost heartbeats.
func (t *Table) newsCount() int {
	return 3*bits.Len(uint(len(t.members))) + MaxHeartbeatTargets
}
