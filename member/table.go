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

	// pauseThreshold is the gap between two ticks that shows that this process was
	// paused; ticks come at least once a second.
	pauseThreshold = 2500 * time.Millisecond
	// deadRetention is how long a dead member that the register lacks is remembered,
	// so that an old record cannot bring it back.
	deadRetention = 10 * time.Minute
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
	mu         sync.Mutex
	self       Record
	started    time.Time
	lastTick   time.Time
	round      int
	members    map[string]*remoteMember
	registered map[string]wigeonladder.VM
	liveList   wigeonladder.LiveList
	seeds      map[string]time.Time
	lastProbed map[string]time.Time

	// discovering is true until this daemon knows whether older members exist.
	discovering bool
	homes       homePools
	// eligibilityPending is true while a member may still begin to count for homes, poolsStale
	// if the pools of homes must be recomputed.
	eligibilityPending, poolsStale bool
	// ringsCache and sorted cache the rings and the names of the other members; nil
	// if they must be recomputed. sum caches the digest while summed is true.
	ringsCache  map[string][]string
	namesCache  []string
	digestCache uint32
	digestValid bool
	version     uint64
	// relayTurn rotates the records that are relayed beside the freshest.
	relayTurn int
	// digestDiffersSince is since when a peer's members differ from the own; zero if not.
	digestDiffersSince time.Time
}

// remoteMember is one other member.
type remoteMember struct {
	rec Record
	// lastHeard is when the member itself was last known to be alive.
	lastHeard time.Time
	// aliveSince is when it was first seen in this life.
	aliveSince time.Time
	// watchedSince is when this daemon became one of its watchers; zero if not.
	watchedSince time.Time
	// homeEligible is true once the member takes homes; it stays so until death.
	homeEligible bool
	// draining is the member's own last word, also while it is suspect.
	draining bool
	// transmitsLeft is the number of heartbeats that shall still carry the record first.
	transmitsLeft int
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
		started:     now,
		lastTick:    now,
		members:     map[string]*remoteMember{},
		registered:  map[string]wigeonladder.VM{},
		seeds:       map[string]time.Time{},
		lastProbed:  map[string]time.Time{},
		discovering: true,
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
	t.liveList = live
	clear(t.registered)
	for _, v := range vms {
		if v.Name != t.self.VM {
			t.registered[v.Name] = v
		}
		if m := t.members[v.Name]; m != nil {
			m.rec.Zone, m.rec.PeerAddress = v.Zone, v.PeerAddress
		}
	}
	t.invalidateCaches()
	t.refreshHomePools(time.Now())
}

// SetDraining sets or ends this daemon's draining state.
func (t *Table) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Alive
	if draining {
		t.self.State = Draining
	}
	t.poolsStale = true
	t.self.Sequence++
	t.refreshHomePools(time.Now())
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
	v, ok := t.registered[vm]
	return v.PeerAddress, ok
}

// Gone reports whether a VM is certainly gone: dead by its silence, and no
// longer in the platform's list.
func (t *Table) Gone(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[vm]
	if m == nil || m.rec.State != Dead || len(t.liveList.VMs) == 0 {
		return false
	}
	_, listed := t.liveList.State(vm)
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
func (m *remoteMember) record(now time.Time) Record {
	r := m.rec
	r.Age = max(0, now.Sub(m.lastHeard))
	r.HomeEligible = m.homeEligible
	return r
}

// noteChange notes a change that others should hear of soon.
func (t *Table) noteChange(m *remoteMember) {
	m.transmitsLeft = t.transmitLimit()
	t.invalidateCaches()
	t.version++
}

// invalidateCaches drops what was computed from the members.
func (t *Table) invalidateCaches() {
	t.ringsCache, t.namesCache, t.digestValid = nil, nil, false
	t.eligibilityPending, t.poolsStale = true, true
}

// transmitLimit is how often a piece of news is sent. Each round reaches MaxHeartbeatTargets
// peers; three times the logarithm leaves room for lost heartbeats.
func (t *Table) transmitLimit() int {
	return 3*bits.Len(uint(len(t.members))) + MaxHeartbeatTargets
}
