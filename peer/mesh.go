package peer

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
	"github.com/wigeonladder/wigeonladder/ticket"
)

// Options configure a Mesh.
type Options struct {
	// Self is the VM of this daemon; Incarnation names this start of it. A
	// short incarnation keeps heartbeats small.
	Self        wigeonladder.VM
	Incarnation string
	// Listener accepts the links of peers. The mesh closes it.
	Listener net.Listener
	// Dial connects to the peer address of a daemon.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Config returns the configuration in force; revision 0 means none.
	Config func() wigeonladder.Config
	// Live returns the newest live list of the platform.
	Live func() wigeonladder.LiveList
	// Document returns the document of the configuration in force.
	Document func() []byte
	// ApplyPeerDocument checks a document that came from a peer and puts it in
	// force if it is newer. It returns an error if the document is invalid.
	ApplyPeerDocument func([]byte) error
	// Counters and Suspects are exchanged with the heartbeats; nil for none.
	Counters wigeonladder.ChargeExchange
	Suspects wigeonladder.SuspicionExchange
	// Seeds are peer addresses to try before a register is known.
	Seeds []string
	// Journal records links and verdicts; nil for none.
	Journal wigeonladder.Journal
	// Seed makes the jitter repeatable; 0 for a random one.
	Seed uint64
}

// TicketRunner runs requests that other daemons forward. ticket.Issuer
// implements it.
type TicketRunner interface {
	RunForwarded(ctx context.Context, incarnation string, r wigeonladder.Request) ticket.Outcome
}

// ContractHolder is implemented by an entry role that can tell whether it holds
// a contract on a server. An entry that does not implement it counts as holding
// one.
type ContractHolder interface {
	HoldsContract(server string) bool
}

// Times of heartbeats.
const (
	// heartbeatInterval is the mean period of heartbeats; beatJitter the part of it by
	// which they vary, so that the rounds of daemons do not align.
	heartbeatInterval = time.Second
	heartbeatJitter   = 0.2
	// minRoundGap is the shortest time between two rounds.
	minRoundGap = 50 * time.Millisecond
	// earlyRoundRate and spreadBurst bound the extra rounds for news, so that a
	// rejoin or a flood of restarts cannot multiply the traffic.
	earlyRoundRate  = 1.0
	earlyRoundBurst = 3
)

// Mesh links one daemon with the others. It implements wigeonladder.Fleet.
type Mesh struct {
	options           Options
	ctx               context.Context
	table             *member.Table
	servers           *member.ServerStates
	meter             *meter
	earlyRound        chan struct{}
	earlyRoundLimiter *rate.Limiter
	announcements     announcements
	applied           appliedVersions

	mu             sync.Mutex
	random         *rand.Rand
	home           wigeonladder.Home
	entry          wigeonladder.Entry
	tickets        TicketRunner
	changed        chan struct{}
	leavingVersion uint64
	links          map[string]*link
	dials          map[string]*dialState
	peers          map[string]*peerState
	chargeRows     map[chargeKey]wigeonladder.Charge
	lastCharges    wigeonladder.ChargeReport
	// lastSequence is the number of the last demand report that was sent.
	lastSequence uint64
}

var _ wigeonladder.Fleet = (*Mesh)(nil)

// peerState is what is remembered about a peer beside its membership.
type peerState struct {
	incarnation string
	// notifiedVersion is the notifiedVersion of its list of leaving servers.
	notifiedVersion uint64
	// hasAllCharges is true once it got all charges of this home.
	hasAllCharges bool
	// heartbeatInFlight is true while a heartbeat to it is under way.
	heartbeatInFlight bool
	// lastSequence is the number of its last demand lastSequence, sender its incarnation.
	lastSequence      uint64
	reportIncarnation string
}

// NewMesh starts a mesh. It accepts links and sends heartbeats until the
// context ends.
func NewMesh(ctx context.Context, o Options) *Mesh {
	if o.Seed == 0 {
		var b [8]byte
		_, _ = crand.Read(b[:])
		o.Seed = binary.LittleEndian.Uint64(b[:])
	}
	m := &Mesh{
		options:           o,
		ctx:               ctx,
		table:             member.NewTable(member.Options{Self: o.Self, Incarnation: o.Incarnation, Seeds: o.Seeds}),
		servers:           member.NewServerStates(),
		meter:             newMeter(),
		earlyRound:        make(chan struct{}, 1),
		earlyRoundLimiter: rate.NewLimiter(earlyRoundRate, earlyRoundBurst),
		random:            rand.New(rand.NewPCG(o.Seed, 1)),
		changed:           make(chan struct{}),
		links:             map[string]*link{},
		dials:             map[string]*dialState{},
		peers:             map[string]*peerState{},
		chargeRows:        map[chargeKey]wigeonladder.Charge{},
	}
	m.note("mesh_start", "incarnation", o.Incarnation, "seed", o.Seed)
	m.applyConfig()
	go func() { m.acceptConnections() }()
	go func() { m.runHeartbeats() }()
	context.AfterFunc(ctx, m.close)
	return m
}

// SetRoles sets the roles of this daemon. Until then, calls of peers to these
// roles fail.
func (m *Mesh) SetRoles(h wigeonladder.Home, e wigeonladder.Entry, t TicketRunner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.home, m.entry, m.tickets = h, e, t
}

// SetDraining tells the fleet that this daemon is stopping, or no longer.
func (m *Mesh) SetDraining(draining bool) {
	m.table.SetDraining(draining)
	m.signalIfChanged()
	m.TriggerRound()
}

// TriggerRound starts a round of heartbeats early, to spread a change. Early
// rounds are limited in rate; beyond the limit, a change is sent with the next
// periodic round.
func (m *Mesh) TriggerRound() {
	select {
	case m.earlyRound <- struct{}{}:
	default:
	}
}

// Changed returns a channel that is closed at the next change of the members,
// of the homes or of the state of a backend server.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// signalIfChanged closes the channel of Changed if the membership changed.
func (m *Mesh) signalIfChanged() {
	version := m.table.Version()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == m.leavingVersion {
		return
	}
	m.leavingVersion = version
	m.signalChange()
}

// signalChange closes the channel of Changed.
func (m *Mesh) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Traffic returns the traffic since the start.
func (m *Mesh) Traffic() Traffic { return m.meter.traffic() }

// Dump is the state of a mesh for operators.
type Dump struct {
	Records []member.Record    `json:"records"`
	Leaving member.LeavingList `json:"leaving"`
	Links   []string           `json:"links"`
	Traffic Traffic            `json:"traffic"`
}

// Self implements wigeonladder.Fleet.
func (m *Mesh) Self() string { return m.options.Self.Name }

// Members implements wigeonladder.Fleet. Suspect and draining daemons are
// members until they are dead.
func (m *Mesh) Members() []string { return m.table.Members() }

// HomeOf implements wigeonladder.Fleet.
func (m *Mesh) HomeOf(s wigeonladder.Server) (string, bool) { return m.table.HomeOf(s) }

// State implements wigeonladder.Fleet.
func (m *Mesh) State(server string) wigeonladder.VMState { return m.servers.State(server) }

// LookupIncarnation returns the incarnation that is believed alive on a VM, and
// whether the answer is certain enough to act on: "" and true mean that the VM
// is certainly gone, "" and false that nothing is known. The ticket issuer uses
// it to find the daemon that issued a ticket.
func (m *Mesh) LookupIncarnation(vm string) (string, bool) {
	if m.table.Gone(vm) {
		return "", true
	}
	r, ok := m.table.Lookup(vm)
	if !ok || r.State == member.Dead {
		return "", false
	}
	return r.Incarnation, true
}

// appliedVersions names the register and the live list that were taken over last.
type appliedVersions struct {
	sync.Mutex
	any                   bool
	revision, liveVersion uint64
}

// applyConfig takes over the register and the live list if one of them changed. It is
// called in every round, and the register may name thousands of servers. The
// lock keeps an older register from being taken over after a newer one.
func (m *Mesh) applyConfig() {
	m.applied.Lock()
	defer m.applied.Unlock()
	config := m.options.Config()
	live := m.options.Live()
	if m.applied.any && m.applied.revision == config.Revision && m.applied.liveVersion == live.Version {
		return
	}
	m.applied.any, m.applied.revision, m.applied.liveVersion = true, config.Revision, live.Version
	register := config.Register
	m.table.ApplyRegister(register.VMs, live)
	registered := map[string]bool{}
	for _, s := range register.Services {
		for _, b := range s.Servers {
			registered[b.Name] = true
		}
	}
	if m.servers.ApplyLiveList(live, func(name string) bool { return registered[name] }) {
		m.spreadServerChange()
	}
	m.signalIfChanged()
}

// spreadServerChange spreads a change of the servers' states.
func (m *Mesh) spreadServerChange() {
	m.mu.Lock()
	m.signalChange()
	m.mu.Unlock()
	m.TriggerRound()
}

// jitter returns a duration between zero and d.
func (m *Mesh) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.random.Float64() * float64(d))
}

// note records an event if there is a journal.
func (m *Mesh) note(event string, fields ...any) {
	if m.options.Journal != nil {
		m.options.Journal.Note("", event, fields...)
	}
}

// peerState returns what is remembered about a peer. The lock must be held.
func (m *Mesh) peerState(vm string) *peerState {
	r := m.peers[vm]
	if r == nil {
		r = &peerState{}
		m.peers[vm] = r
	}
	return r
}
