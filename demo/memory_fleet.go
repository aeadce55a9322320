package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/limit"
)

// MemoryFleetOptions configures a MemoryFleet.
type MemoryFleetOptions struct {
	// QueueLimit is the number of requests that may wait per service at one
	// daemon.
	QueueLimit int
	// ExchangePeriod is the time between two exchanges of charges.
	ExchangePeriod time.Duration
	// NoExtrapolation turns off the extrapolation of the charges of other homes
	// between two exchanges.
	NoExtrapolation bool
}

// MemoryFleet is policy fleet over in-memory links. Every daemon has a ledger,
// a queue, fair-share counters and learned limits, and the homes exchange their
// charges. It implements policy.Policy and Injector.
type MemoryFleet struct {
	ctx     context.Context
	memory  *MemoryTarget
	network *fake.Network
	options MemoryFleetOptions

	mu      sync.Mutex
	daemons map[string]*memoryDaemon
	starts  int
}

// memoryDaemon is one run of a daemon, reduced to the parts that decide on
// contracts.
type memoryDaemon struct {
	vm       wigeonladder.VM
	node     *fake.Node
	counters *fair.Counters
	ledger   *contract.Ledger
	queue    *entry.Queue
	slots    atomic.Int64
	cancel   context.CancelFunc

	mu       sync.Mutex
	limiters map[string]wigeonladder.Limiter
}

// NewMemoryFleet starts the daemons of the site of m. They end with the
// context.
func NewMemoryFleet(ctx context.Context, m *MemoryTarget, o MemoryFleetOptions) *MemoryFleet {
	f := &MemoryFleet{ctx: ctx, memory: m, network: fake.NewNetwork(m.site.ZoneDelay), options: o, daemons: map[string]*memoryDaemon{}}
	for _, v := range m.site.Register.VMs {
		f.network.AddDaemon(v)
	}
	for _, v := range m.site.Register.VMs {
		f.start(v)
	}
	return f
}

// PlacerFor implements policy.Policy.
func (f *MemoryFleet) PlacerFor(vm string) wigeonladder.Placer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[vm].queue
}

// Network returns the links between the daemons.
func (f *MemoryFleet) Network() *fake.Network { return f.network }

// Dumps returns the states of all ledgers and of all fair-share counters by VM.
func (f *MemoryFleet) Dumps() (ledgers map[string]contract.Dump, counters map[string]fair.Dump) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ledgers, counters = map[string]contract.Dump{}, map[string]fair.Dump{}
	for vm, d := range f.daemons {
		ledgers[vm] = d.ledger.Dump()
		counters[vm] = d.counters.Dump()
	}
	return ledgers, counters
}

// start starts a daemon without earlier state.
func (f *MemoryFleet) start(v wigeonladder.VM) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.starts++
	incarnation := fmt.Sprintf("%s-%d", v.Name, f.starts)
	f.mu.Unlock()
	d := &memoryDaemon{vm: v, node: f.network.AddDaemon(v), cancel: cancel, limiters: map[string]wigeonladder.Limiter{}}
	site := f.memory.site
	config := func() wigeonladder.Config {
		return wigeonladder.Config{Revision: 1, Register: site.Register, Rules: site.Rules}
	}
	d.counters = fair.NewCounters(fair.Options{
		HomeIncarnation: incarnation,
		Rules:           func() wigeonladder.Rules { return site.Rules },
		Slots:           func() int { return int(d.slots.Load()) },
		NoExtrapolation: f.options.NoExtrapolation,
	})
	d.ledger = contract.NewLedger(ctx, contract.Options{
		Fleet:   d.node,
		Shares:  d.counters,
		Config:  config,
		Limiter: d.newLimiter,
		FetchLoad: func(ctx context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
			return f.memory.FetchLoad(ctx, v.Name, s)
		},
		Incarnation: incarnation,
	})
	d.queue = entry.NewQueue(ctx, entry.Options{
		Fleet:      d.node,
		Zone:       v.Zone,
		Config:     config,
		MaxWaiting: f.options.QueueLimit,
	})
	d.node.SetRoles(d.ledger, d.queue)
	f.mu.Lock()
	f.daemons[v.Name] = d
	f.mu.Unlock()
	go func() {
		for sleep(ctx, f.options.ExchangePeriod) {
			d.updateSlots(site)
			f.sendCharges(ctx, d)
		}
	}()
}

// newLimiter returns the limiter of a server whose home the daemon became.
func (d *memoryDaemon) newLimiter(s wigeonladder.Server) wigeonladder.Limiter {
	l := limit.New(s.Slots, s.MaxSlots)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiters[s.Name] = l
	return l
}

// updateSlots sums up the slots of the servers whose home is the daemon. It
// runs once per exchange, since the counters read the sum at every charge.
func (d *memoryDaemon) updateSlots(s Site) {
	sum := 0
	for _, v := range s.Register.Services {
		for _, x := range v.Servers {
			d.mu.Lock()
			l := d.limiters[x.Name]
			d.mu.Unlock()
			if home, ok := d.node.HomeOf(x); ok && home == d.vm.Name && l != nil {
				sum += l.Slots()
			}
		}
	}
	d.slots.Store(int64(sum))
}

// sendCharges sends the charges of a home to the other daemons. They arrive
// after the network delay, at the daemons that are connected then.
func (f *MemoryFleet) sendCharges(ctx context.Context, d *memoryDaemon) {
	m := d.counters.Export()
	f.mu.Lock()
	others := make([]string, 0, len(f.daemons))
	for vm := range f.daemons {
		if vm != d.vm.Name {
			others = append(others, vm)
		}
	}
	f.mu.Unlock()
	go func() {
		if !sleep(ctx, f.memory.site.ZoneDelay) {
			return
		}
		reached := d.node.Members()
		for _, vm := range others {
			if !slices.Contains(reached, vm) {
				continue
			}
			f.mu.Lock()
			to := f.daemons[vm].counters
			f.mu.Unlock()
			to.Import(m)
		}
	}()
}

// Inject implements Injector for the faults of daemons and links.
func (f *MemoryFleet) Inject(x Fault, on bool) {
	switch x.Kind {
	case FaultDaemonCrash:
		f.setDaemonCrashed(x.Target, on)
	case FaultZoneCut:
		f.setZoneCut(x.Target, on)
	case FaultServerSlow:
	}
}

// setDaemonCrashed stops a daemon or starts it again without its earlier state.
func (f *MemoryFleet) setDaemonCrashed(vm string, on bool) {
	f.mu.Lock()
	d := f.daemons[vm]
	f.mu.Unlock()
	if !on {
		f.start(d.vm)
		return
	}
	f.network.SetDown(vm, true)
	d.cancel()
}

// setZoneCut cuts or restores the links between a zone and the others.
func (f *MemoryFleet) setZoneCut(zone string, on bool) {
	vms := f.memory.site.Register.VMs
	for _, a := range vms {
		for _, b := range vms {
			if a.Zone == zone && b.Zone != zone {
				f.network.SetLinkCut(a.Name, b.Name, on)
			}
		}
	}
}
