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

// MemoryFleetOptions are the settings of policy fleet in memory.
type MemoryFleetOptions struct {
	// QueueLimit is the number of requests that may wait per service at one daemon.
	QueueLimit int
	// ExchangePeriod is the time between two exchanges of charges.
	ExchangePeriod time.Duration
	// NoExtrapolation switches extrapolation off.
	NoExtrapolation bool
}

// MemoryFleet is policy fleet over in-memory links: every daemon has a ledger, a
// queue, counters and learned limits, and the homes exchange their charges. It
// implements policy.Policy and Injector.
type MemoryFleet struct {
	ctx    context.Context
	memory *MemoryTarget
	links  *fake.Network
	o      MemoryFleetOptions

	mu      sync.Mutex
	daemons map[string]*part
	runs    int
}

// part is one run of the decision parts of a daemon.
type part struct {
	vm       wigeonladder.VM
	node     *fake.Node
	counters *fair.Counters
	ledger   *contract.Ledger
	queue    *entry.Queue
	slots    atomic.Int64
	cancel   context.CancelFunc

	mu     sync.Mutex
	limits map[string]wigeonladder.Limiter
}

// NewMemoryFleet returns a fleet for the daemons of a site that ends with the
// context.
func NewMemoryFleet(ctx context.Context, m *MemoryTarget, o MemoryFleetOptions) *MemoryFleet {
	f := &MemoryFleet{ctx: ctx, memory: m, links: fake.NewNetwork(m.site.ZoneDelay), o: o, daemons: map[string]*part{}}
	for _, v := range m.site.Register.VMs {
		f.links.AddDaemon(v)
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
func (f *MemoryFleet) Network() *fake.Network { return f.links }

// Dumps returns the states of all ledgers and counters by VM.
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

// start starts a daemon without memory.
func (f *MemoryFleet) start(v wigeonladder.VM) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.runs++
	incarnation := fmt.Sprintf("%s-%d", v.Name, f.runs)
	f.mu.Unlock()
	d := &part{vm: v, node: f.links.AddDaemon(v), cancel: cancel, limits: map[string]wigeonladder.Limiter{}}
	site := f.memory.site
	config := func() wigeonladder.Config {
		return wigeonladder.Config{Revision: 1, Register: site.Register, Rules: site.Rules}
	}
	d.counters = fair.NewCounters(fair.Options{
		HomeIncarnation: incarnation,
		Rules:           func() wigeonladder.Rules { return site.Rules },
		Slots:           func() int { return int(d.slots.Load()) },
		NoExtrapolation: f.o.NoExtrapolation,
	})
	d.ledger = contract.NewLedger(ctx, contract.Options{
		Fleet:   d.node,
		Shares:  d.counters,
		Config:  config,
		Limiter: d.limit,
		FetchLoad: func(ctx context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
			return f.memory.FetchLoad(ctx, v.Name, s)
		},
		Incarnation: incarnation,
	})
	d.queue = entry.NewQueue(ctx, entry.Options{
		Fleet:      d.node,
		Zone:       v.Zone,
		Config:     config,
		MaxWaiting: f.o.QueueLimit,
	})
	d.node.SetRoles(d.ledger, d.queue)
	f.mu.Lock()
	f.daemons[v.Name] = d
	f.mu.Unlock()
	go func() {
		for sleep(ctx, f.o.ExchangePeriod) {
			d.count(site)
			f.exchange(ctx, d)
		}
	}()
}

// limit returns the limit of a server that the daemon became the home of.
func (d *part) limit(s wigeonladder.Server) wigeonladder.Limiter {
	l := limit.New(s.Slots, s.MaxSlots)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits[s.Name] = l
	return l
}

// count sums the slots that the daemon grants. It is done once per exchange:
// the counters ask for it at every charge.
func (d *part) count(s Site) {
	sum := 0
	for _, v := range s.Register.Services {
		for _, x := range v.Servers {
			d.mu.Lock()
			l := d.limits[x.Name]
			d.mu.Unlock()
			if home, ok := d.node.HomeOf(x); ok && home == d.vm.Name && l != nil {
				sum += l.Slots()
			}
		}
	}
	d.slots.Store(int64(sum))
}

// exchange sends the charges of a home to all others that it reaches when they
// arrive.
func (f *MemoryFleet) exchange(ctx context.Context, d *part) {
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

// Inject implements Injector for the faults that concern daemons.
func (f *MemoryFleet) Inject(x Fault, on bool) {
	switch x.Kind {
	case FaultDaemonCrash:
		f.lose(x.Target, on)
	case FaultZoneCut:
		f.cut(x.Target, on)
	case FaultServerSlow:
	}
}

// lose stops a daemon or starts it again without memory.
func (f *MemoryFleet) lose(vm string, on bool) {
	f.mu.Lock()
	d := f.daemons[vm]
	f.mu.Unlock()
	if !on {
		f.start(d.vm)
		return
	}
	f.links.SetDown(vm, true)
	d.cancel()
}

// cut cuts the links between a zone and the others.
func (f *MemoryFleet) cut(zone string, on bool) {
	vms := f.memory.site.Register.VMs
	for _, a := range vms {
		for _, b := range vms {
			if a.Zone == zone && b.Zone != zone {
				f.links.SetLinkCut(a.Name, b.Name, on)
			}
		}
	}
}
