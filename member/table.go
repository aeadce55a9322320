package member

import (
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times and sizes of the membership protocol.
const (
	// SuspectAfter is the time without a sign of life after which a member is
	// suspect. In a large fleet relayAllowance is added to it and to DeadAfter
	// for a member that this daemon does not watch, unless its whole zone is
	// silent.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a sign of life after which a member is
	// dead.
	DeadAfter = 6 * time.Second
	// HomeEligibleAfter is how long a member must be seen alive before it may
	// be a home.
	HomeEligibleAfter = 2 * time.Second
	// DiscoveryTimeout is how long a started daemon waits for records of older
	// members before it considers itself eligible as a home.
	DiscoveryTimeout = time.Second
	// MaxRelayedRecords bounds the records in one heartbeat.
	MaxRelayedRecords = 16
	// MaxHeartbeatTargets bounds the peers that get a heartbeat in one round.
	MaxHeartbeatTargets = 4

	// pauseThreshold is the shortest time between two ticks that shows that this
	// process was paused; without a pause, ticks come at least once a second.
	pauseThreshold = 2500 * time.Millisecond
	// deadRetention is how long a dead member that is not in the register is
	// kept, so that an old record cannot make it alive again.
	deadRetention = 10 * time.Minute
)

// Options configure a Table.
type Options struct {
	// Self describes this daemon's VM.
	Self wigeonladder.VM
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	// Seeds are peer addresses to probe before the register or a peer names
	// others.
	Seeds []string
}

// Table is one daemon's view of the membership of the fleet. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex
	self     Record
	started  time.Time
	lastTick time.Time
	round    int
	members  map[string]*remoteMember
	// registered holds the other VMs of the register, by name.
	registered map[string]wigeonladder.VM
	liveList   wigeonladder.LiveList
	// seeds has the addresses of the seeds as keys.
	seeds map[string]time.Time
	// lastProbed is when each address was last probed.
	lastProbed map[string]time.Time

	// discovering is true until this daemon knows whether older members exist.
	discovering bool
	homes       homePools
	// eligibilityPending is true while a member may still become eligible as a
	// home, poolsStale if the home pools must be recomputed.
	eligibilityPending, poolsStale bool
	// ringsCache and namesCache hold the rings and the names of the other
	// members; they are nil if they must be recomputed. digestCache holds the
	// digest while digestValid is true.
	ringsCache  map[string][]string
	namesCache  []string
	digestCache uint32
	digestValid bool
	version     uint64
	// relayTurn rotates the records that are relayed in addition to the
	// freshest.
	relayTurn int
	// digestDiffersSince is when the digests of peers began to differ from that
	// of this daemon; zero once the digest of any peer is equal to it.
	digestDiffersSince time.Time
}

// remoteMember is what the table holds about one other member.
type remoteMember struct {
	rec Record
	// lastHeard is when the member last gave a direct or relayed sign of life.
	lastHeard time.Time
	// aliveSince is when the member was first seen in its incarnation, or alive
	// again after it was dead.
	aliveSince time.Time
	// watchedSince is when this daemon began to watch the member for failure;
	// zero if it does not.
	watchedSince time.Time
	// homeEligible is true once the member may be a home; it stays so until the
	// member dies or restarts.
	homeEligible bool
	// draining is true if the member last reported itself as draining. A
	// suspicion changes the state of the record but not this field.
	draining bool
	// transmitsLeft is the number of heartbeats in which the record, after a
	// change, still takes precedence.
	transmitsLeft int
}

// NewTable returns a table that knows only this daemon.
func NewTable(o Options) *Table {
	now := time.Now()
	t := &Table{
		self: Record{
			VM: o.Self.Name, Zone: o.Self.Zone, PeerAddress: o.Self.PeerAddress, Incarnation: o.Incarnation,
			// The clock only makes it likely that the sequence starts above that
			// of the previous incarnation; MergeHeartbeat raises it otherwise.
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

// ApplyRegister applies the VMs of the register and the platform's live list.
// They name addresses to probe, and the live list speeds up the detection of
// failures; neither makes a member alive or dead by itself.
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

// SetDraining sets or clears this daemon's draining state.
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

// Version returns a number that grows with every change of the members or of
// the homes.
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

// Gone reports whether a VM is certainly gone: it is dead by its silence and no
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

// noteChange marks a member's record as changed, so that the next heartbeats
// relay it first.
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

// transmitLimit is the number of heartbeats in which a changed record takes
// precedence. Each round reaches MaxHeartbeatTargets peers; three times the
// logarithm of the fleet's size allows for lost heartbeats.
func (t *Table) transmitLimit() int {
	return 3*bits.Len(uint(len(t.members))) + MaxHeartbeatTargets
}
