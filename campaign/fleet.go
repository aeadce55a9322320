package campaign

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// The size of the fleet under test and the names in its register.
const (
	daemons      = 5
	zones        = 3
	modelServers = 10
	plainServers = 3
	workspaces   = 8

	serviceModel   = "chat"
	servicePlain   = "desk"
	pathAtMostOnce = "/pay"
	pathPlain      = "/status"
)

// fleet is a fleet with the network, the platform, the backend servers and the
// callers around it.
type fleet struct {
	ctx      context.Context
	seed     uint64
	history  *history
	network  *network
	platform *platform
	nodes    []*node
	servers  map[string]*server

	mu           sync.Mutex
	random       *rand.Rand
	latestConfig wigeonladder.Config
	calls        map[string]*call
	lastID       int
	// leavingSince is when a reachable daemon first listed a server as leaving, by
	// the name of the server.
	leavingSince map[string]time.Time
	// activeFaults counts the active faults; lastFault is when a fault last began
	// or ended.
	activeFaults int
	lastFault    time.Time
	// activeSplits and lastSplit are the same for faults that make daemons see
	// each other differently. The end of a daemon is not one of them.
	activeSplits int
	lastSplit    time.Time
	// firstInForce is when a revision was first seen in force at a daemon that no
	// fault concerned. For a revision whose spread has been checked it is a time
	// far in the future.
	firstInForce map[uint64]time.Time
}

// newFleet starts a fleet.
func newFleet(ctx context.Context, seed uint64) *fleet {
	now := time.Now()
	f := &fleet{
		ctx:          ctx,
		seed:         seed,
		history:      &history{start: now, counts: map[string]int{}},
		network:      newNetwork(ctx, seed),
		servers:      map[string]*server{},
		random:       rand.New(rand.NewPCG(seed, 1)),
		latestConfig: newConfig(),
		calls:        map[string]*call{},
		leavingSince: map[string]time.Time{},
		firstInForce: map[uint64]time.Time{},
		lastFault:    now,
		lastSplit:    now,
	}
	f.platform = newPlatform(f.latestConfig)
	for _, v := range f.latestConfig.Register.Services {
		for _, s := range v.Servers {
			f.servers[s.Name] = newServer(ctx, s, v.Kind, f.history)
			f.network.zones[s.Address] = s.Zone
		}
	}
	for _, v := range f.latestConfig.Register.VMs {
		n := &node{fleet: f, vm: v, resumed: make(chan struct{}), lastFault: now}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.startDaemon()
	}
	go func() { f.sampleDaemons() }()
	return f
}

// newConfig returns the first revision of the configuration.
func newConfig() wigeonladder.Config {
	c := wigeonladder.Config{Revision: 1}
	for i := range zones {
		c.Register.Zones = append(c.Register.Zones, wigeonladder.Zone{Name: zoneName(i), Region: "r"})
	}
	for i := range daemons {
		c.Register.VMs = append(c.Register.VMs, wigeonladder.VM{
			Name: fmt.Sprintf("d%d", i), Zone: zoneName(i),
			PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i+1), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i+1),
		})
	}
	model := wigeonladder.Service{Name: serviceModel, Kind: wigeonladder.KindModel}
	for i := range modelServers {
		model.Servers = append(model.Servers, newServerEntry("m", 1, i, 2, 4))
	}
	plain := wigeonladder.Service{
		Name: servicePlain, Kind: wigeonladder.KindPlain, CallCost: 1,
		Routes: []wigeonladder.Route{{PathPrefix: pathAtMostOnce, AtMostOnce: true}},
	}
	for i := range plainServers {
		plain.Servers = append(plain.Servers, newServerEntry("p", 2, i, 3, 5))
	}
	c.Register.Services = []wigeonladder.Service{model, plain}
	for i := range workspaces {
		key := sha256.Sum256([]byte(workspaceName(i)))
		c.Register.Workspaces = append(c.Register.Workspaces, wigeonladder.Workspace{
			Name: workspaceName(i), KeyHashes: []string{hex.EncodeToString(key[:])},
		})
	}
	c.Rules.Shares = []wigeonladder.ShareRule{{Workspace: workspaceName(0), Weight: 2}}
	return c
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i%zones) }

func workspaceName(i int) string { return fmt.Sprintf("w%d", i%workspaces) }

// newServerEntry returns the entry of a backend server in the register.
func newServerEntry(prefix string, subnet, i, slots, maxSlots int) wigeonladder.Server {
	s := wigeonladder.Server{
		Name: fmt.Sprintf("%s%d", prefix, i), Zone: zoneName(i),
		Address: fmt.Sprintf("10.%d.0.%d:80", subnet, i+1), Slots: slots, MaxSlots: maxSlots,
	}
	if prefix == "m" {
		s.Models = []string{"llm"}
	}
	return s
}

// config returns the newest valid configuration.
func (f *fleet) config() wigeonladder.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestConfig
}

// publish publishes a change of the configuration as a new revision, which the
// daemons must reject if valid is false.
func (f *fleet) publish(valid bool, change func(wigeonladder.Config) wigeonladder.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := change(f.latestConfig)
	next.Revision++
	f.platform.publish(next, valid)
	f.history.note("", "revision %d is published, valid %v", next.Revision, valid)
	if valid {
		f.latestConfig = next
		return
	}
	// The number of an invalid revision is not used again.
	f.latestConfig.Revision = next.Revision
}

// withoutWorkspace returns a copy of the configuration without a workspace.
func withoutWorkspace(c wigeonladder.Config, name string) wigeonladder.Config {
	is := func(n string) bool { return n == name }
	c.Register.Workspaces = slices.DeleteFunc(slices.Clone(c.Register.Workspaces), func(w wigeonladder.Workspace) bool { return is(w.Name) })
	c.Rules.Shares = slices.DeleteFunc(slices.Clone(c.Rules.Shares), func(s wigeonladder.ShareRule) bool { return is(s.Workspace) })
	return c
}

// addresses returns all addresses of the network.
func (f *fleet) addresses() []string {
	all := []string{addressPlatform, addressCallers}
	for _, n := range f.nodes {
		all = append(all, n.vm.PeerAddress)
	}
	for _, s := range f.servers {
		all = append(all, s.spec.Address)
	}
	return all
}

func (f *fleet) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// call returns the call with the given name.
func (f *fleet) call(name string) *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[name]
}

// addCall registers a call by its name.
func (f *fleet) addCall(c *call) *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[c.name] = c
	return c
}

// nextID returns a new request ID.
func (f *fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("q%d", f.lastID)
}

// adjustFaults adds by, which is 1 or -1, to the number of active faults.
func (f *fleet) adjustFaults(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeFaults += by
	f.lastFault = time.Now()
}

// noFaultSince reports whether no fault was active after a time.
func (f *fleet) noFaultSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults == 0 && f.lastFault.Before(since)
}

// adjustSplits adds by, which is 1 or -1, to the number of active faults that
// split the fleet.
func (f *fleet) adjustSplits(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeSplits += by
	f.lastSplit = time.Now()
}

// noSplitSince reports whether no fault split the fleet after a time.
func (f *fleet) noSplitSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeSplits == 0 && f.lastSplit.Before(since)
}
