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
	// Self is the VM of this daemon. Incarnation identifies this start of the
	// daemon; a short one keeps heartbeats small.
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
	// Document returns the document of the configuration in force, as it was
	// published.
	Document func() []byte
	// ApplyPeerDocument checks a document that came from a peer and puts it in
	// force if it is newer. It returns an error if the document is invalid.
	ApplyPeerDocument func([]byte) error
	// Counters and Suspects are the charges and suspicions that heartbeats
	// exchange; nil for none.
	Counters wigeonladder.ChargeExchange
	Suspects wigeonladder.SuspicionExchange
	// Seeds are peer addresses to try before a register is known.
	Seeds []string
	// Journal records events of links and of the configuration exchange; nil
	// for none.
	Journal wigeonladder.Journal
	// Seed seeds the jitter, so that a run can be repeated; 0 for a random
	// seed.
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
	// heartbeatInterval is the mean time between two rounds of heartbeats.
	// Each interval deviates from it at random, at most by the fraction
	// heartbeatJitter, so that the rounds of different daemons do not align.
	heartbeatInterval = time.Second
	heartbeatJitter   = 0.2
	// minRoundGap is the shortest time between the starts of two rounds.
	minRoundGap = 50 * time.Millisecond
	// earlyRoundRate, in rounds per second, and earlyRoundBurst limit the early
	// rounds, so that the end of a partition or many restarts at once cannot
	// multiply the traffic.
	earlyRoundRate  = 1.0
	earlyRoundBurst = 3
)

// Mesh connects one daemon with the others of the fleet. It implements
// wigeonladder.Fleet.
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

	mu      sync.Mutex
	random  *rand.Rand
	home    wigeonladder.Home
	entry   wigeonladder.Entry
	tickets TicketRunner
	changed chan struct{}
	// notifiedVersion is the version of the membership table that
	// signalIfChanged signalled last.
	notifiedVersion uint64
	links           map[string]*link
	dials           map[string]*dialState
	peers           map[string]*peerState
	// chargeRows are all charges of this home; lastCharges is the charge report
	// of the last round, with the rows that changed since the round before.
	chargeRows  map[chargeKey]wigeonladder.Charge
	lastCharges wigeonladder.ChargeReport
	// demandSequence is the sequence number of the last demand report that was
	// sent.
	demandSequence uint64
}

var _ wigeonladder.Fleet = (*Mesh)(nil)

// peerState is the state that is kept for a peer in addition to its membership
// record.
type peerState struct {
	incarnation string
	// leavingVersion is the version of the peer's list of leaving servers.
	leavingVersion uint64
	// hasAllCharges is true if the peer has received all charges of this home.
	hasAllCharges bool
	// heartbeatInFlight is true while a heartbeat to the peer is in flight.
	heartbeatInFlight bool
	// demandSequence is the sequence number of the last demand report from the
	// peer, and demandIncarnation the incarnation that sent it.
	demandSequence    uint64
	demandIncarnation string
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

// SetDraining sets or clears the draining state of this daemon and announces it
// to the fleet.
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

// Changed returns a channel that is closed at the next change of the
// membership, of the homes or of the state of a backend server.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// signalIfChanged closes the channel of Changed if the membership or the homes
// changed.
func (m *Mesh) signalIfChanged() {
	version := m.table.Version()
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == m.notifiedVersion {
		return
	}
	m.notifiedVersion = version
	m.signalChange()
}

// signalChange closes the channel of Changed. m.mu must be held.
func (m *Mesh) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Traffic returns the messages and bytes since the start.
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

// LookupIncarnation returns the incarnation that is believed alive on a VM,
// with true. It returns "" and true if the VM is certainly gone, and "" and
// false if nothing certain is known. The ticket issuer uses it to find the
// daemon that issued a ticket.
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

// appliedVersions are the versions of the register and of the live list that
// were applied last.
type appliedVersions struct {
	sync.Mutex
	initialized           bool
	revision, liveVersion uint64
}

// applyConfig applies the register and the live list if one of them changed.
// It compares the versions first, because each round calls applyConfig and a
// register may contain thousands of servers. The lock prevents an older register
// from being applied after a newer one.
func (m *Mesh) applyConfig() {
	m.applied.Lock()
	defer m.applied.Unlock()
	config := m.options.Config()
	live := m.options.Live()
	if m.applied.initialized && m.applied.revision == config.Revision && m.applied.liveVersion == live.Version {
		return
	}
	m.applied.initialized, m.applied.revision, m.applied.liveVersion = true, config.Revision, live.Version
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

// spreadServerChange signals a change of server states in this daemon and sends
// it to the peers in an early round.
func (m *Mesh) spreadServerChange() {
	m.mu.Lock()
	m.signalChange()
	m.mu.Unlock()
	m.TriggerRound()
}

// jitter returns a random duration of at least zero and below d.
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

// peerState returns the state of a peer and creates it if there is none. m.mu
// must be held.
func (m *Mesh) peerState(vm string) *peerState {
	r := m.peers[vm]
	if r == nil {
		r = &peerState{}
		m.peers[vm] = r
	}
	return r
}
