package entry_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fake"
)

// oneWay is the delay of a crossing between zones of the Guild.
const oneWay = 1500 * time.Microsecond

// idleBound is how long a slot may be free while work that fits it waits: two
// round trips and the coalescing of reports, and 1 ms of the sampling.
const idleBound = 4*oneWay + 10*time.Millisecond + time.Millisecond

// rig is a fleet in one process on virtual time, with invariants.
type rig struct {
	links   *fake.Links
	options entry.Options
	config  wigeonladder.Config
	root    context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
	// faulty is set once a fault was injected that may admit too much; idling
	// once one was injected that may idle slots.
	faulty, idling atomic.Bool

	mu      sync.Mutex
	daemons map[string]*daemon
	running map[string]int
	peak    map[string]int
	idle    map[string]time.Time
	codes   map[wigeonladder.Code]int
	granted map[string]time.Time
	bad     []string
	longest time.Duration
	// unused is the number of contracts that failed the last check.
	unused int
}

// daemon is one daemon of the rig.
type daemon struct {
	*gate
	rig    *rig
	vm     wigeonladder.VM
	node   *fake.Node
	lives  int
	latest atomic.Pointer[life]
}

// life is one run of a daemon, without memory of earlier ones.
type life struct {
	*daemon
	shares *fake.Shares
	ledger *contract.Ledger
	queue  *entry.Queue
	ctx    context.Context
	kill   context.CancelFunc
}

// newRig starts daemons in zones by turns, and servers with the given slots.
func newRig(daemons int, slots ...int) *rig {
	return newRigWith(entry.Options{}, daemons, slots...)
}

// newRigWith starts a rig whose queues have bounds.
func newRigWith(o entry.Options, daemons int, slots ...int) *rig {
	r := &rig{
		options: o,
		links:   fake.NewLinks(oneWay),
		daemons: map[string]*daemon{},
		running: map[string]int{},
		peak:    map[string]int{},
		idle:    map[string]time.Time{},
		codes:   map[wigeonladder.Code]int{},
		granted: map[string]time.Time{},
	}
	r.root, r.stop = context.WithCancel(context.Background())
	zones := []string{"ebene", "rose-hill", "curepipe"}
	r.config.Revision = 1
	service := wigeonladder.Service{Name: "nib-scribe", Kind: wigeonladder.KindModel}
	for i, n := range slots {
		models := []string{"base"}
		if i%2 == 1 {
			models = append(models, "large")
		}
		service.Servers = append(service.Servers, wigeonladder.Server{
			Name: fmt.Sprintf("scribe-%d", i), Zone: zones[i%3], Slots: n, MaxSlots: n, Models: models,
		})
	}
	r.config.Register.Services = []wigeonladder.Service{service}
	for i := range daemons {
		vm := wigeonladder.VM{Name: fmt.Sprintf("vm-%d", i), Zone: zones[i%3]}
		r.config.Register.VMs = append(r.config.Register.VMs, vm)
		r.daemons[vm.Name] = &daemon{gate: &gate{}, rig: r, vm: vm, node: r.links.Add(vm)}
	}
	for _, vm := range r.config.Register.VMs {
		r.daemons[vm.Name].start()
	}
	go r.watch()
	return r
}

// start runs the daemon without memory of earlier lives.
func (d *daemon) start() {
	r := d.rig
	d.lives++
	l := &life{daemon: d, shares: fake.NewShares()}
	l.ctx, l.kill = context.WithCancel(r.root)
	fleet := gatedFleet{d.node, d.gate}
	config := func() wigeonladder.Config {
		d.pass()
		return r.config
	}
	l.ledger = contract.NewLedger(l.ctx, contract.Options{
		Fleet: fleet, Shares: l.shares, Config: config, Journal: d,
		Limiter:     func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
		FetchLoad:   r.load,
		Incarnation: fmt.Sprintf("%s/%d", d.vm.Name, d.lives),
	})
	o := r.options
	o.Fleet, o.Zone, o.Config, o.Journal = fleet, d.vm.Zone, config, d
	l.queue = entry.NewQueue(l.ctx, o)
	d.latest.Store(l)
	d.node.Serve(gatedHome{l.ledger, d.gate}, gatedEntry{l.queue, d.gate})
}

// end kills the daemon; the others see it at once.
func (d *daemon) end() {
	d.rig.idling.Store(true)
	d.rig.links.Down(d.vm.Name, true)
	d.latest.Load().kill()
}

// again starts a killed daemon without memory.
func (d *daemon) again() {
	d.start()
	d.rig.links.Down(d.vm.Name, false)
}

// load is the in-memory load report of a server, without lag.
func (r *rig) load(_ context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wigeonladder.Load{Running: r.running[s.Name]}, nil
}

// fail records a broken invariant.
func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.bad) < 20 {
		r.bad = append(r.bad, fmt.Sprintf(format, args...))
	}
}

// Note implements wigeonladder.Journal: it checks each grant of a home at the
// moment when it is decided.
func (d *daemon) Note(request, event string, fields ...any) {
	if request != "" || event != "granted" {
		return
	}
	f := map[any]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		f[fields[i]] = fields[i+1]
	}
	inUse, home := f["inUse"].(int)
	if !home {
		return
	}
	if inUse > f["limit"].(int) {
		d.rig.fail("%s granted slot %v of %v", f["server"], inUse, f["limit"])
	}
	id := fmt.Sprint(f["contract"], "#", f["number"])
	d.rig.mu.Lock()
	_, twice := d.rig.granted[id]
	d.rig.granted[id] = time.Now()
	d.rig.granted[f["server"].(string)] = time.Now()
	d.rig.mu.Unlock()
	if twice {
		d.rig.fail("contract %s was granted twice", id)
	}
}

// job is one request of the workload.
type job struct {
	At        time.Duration
	Daemon    int
	Workspace int
	Runs      time.Duration
	Patience  time.Duration
	Urgency   int
	Model     string
	Prefix    uint64
	Cost      int64
	Estimate  int64
}

// submit runs one request in the background.
func (r *rig) submit(name string, j job) {
	r.work.Go(func() {
		time.Sleep(j.At)
		d := r.life(j.Daemon)
		ctx, cancel := context.WithCancel(d.ctx)
		defer cancel()
		if j.Patience > 0 {
			t := time.AfterFunc(j.Patience, cancel)
			defer t.Stop()
		}
		d.serve(ctx, wigeonladder.Request{
			ID: name, Service: "nib-scribe", Workspace: fmt.Sprintf("w-%d", j.Workspace), Model: j.Model,
			Urgency: wigeonladder.Urgency(j.Urgency), PrefixHash: j.Prefix, Estimate: j.Estimate, Arrived: time.Now(),
		}, j)
	})
}

// life returns the present run of a daemon.
func (r *rig) life(daemon int) *life {
	return r.daemons[fmt.Sprintf("vm-%d", daemon)].latest.Load()
}

// serve places a request and runs it to its end.
func (d *life) serve(ctx context.Context, q wigeonladder.Request, j job) {
	r := d.rig
	queue := d.queue
	c, err := d.place(ctx, q)
	if err != nil {
		r.count(entry.CodeOf(err))
		return
	}
	r.begin(c)
	r.sleep(d.ctx, j.Runs/2)
	queue.Progress(c, j.Cost/2)
	r.sleep(d.ctx, j.Runs/2)
	r.mu.Lock()
	r.running[c.Server]--
	r.mu.Unlock()
	d.pass()
	queue.Release(c, wigeonladder.Usage{Cost: j.Cost})
	queue.Release(c, wigeonladder.Usage{Cost: j.Cost})
	r.count(wigeonladder.CodeOK)
}

// againDelay is the time before a request asks for another contract: the shortest
// of retry.Runner.
const againDelay = 20 * time.Millisecond

// place returns a contract that passed the last check. A request whose contract was
// recalled before it was used asks for another one, as retry.Runner has it do: a home
// that loses a server may recall a contract in the moment in which it is handed out.
func (d *life) place(ctx context.Context, q wigeonladder.Request) (wigeonladder.Contract, error) {
	r := d.rig
	for {
		began := time.Now()
		c, err := d.queue.Place(ctx, q)
		d.pass()
		if err != nil {
			return c, err
		}
		r.mu.Lock()
		r.longest = max(r.longest, time.Since(began))
		r.mu.Unlock()
		err = d.queue.CheckBeforeSend(c)
		if err == nil {
			return c, nil
		}
		d.queue.Release(c, wigeonladder.Usage{})
		if entry.CodeOf(err) != wigeonladder.CodeContractLate {
			return c, err
		}
		r.mu.Lock()
		r.unused++
		r.mu.Unlock()
		r.sleep(ctx, againDelay)
	}
}

// sleep waits, unless the daemon dies first.
func (r *rig) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// begin counts a request that starts at a server.
func (r *rig) begin(c wigeonladder.Contract) {
	r.mu.Lock()
	r.running[c.Server]++
	n := r.running[c.Server]
	r.peak[c.Server] = max(r.peak[c.Server], n)
	r.mu.Unlock()
	if limit := r.slots(c.Server); !r.faulty.Load() && n > limit {
		r.fail("%s runs %d of %d", c.Server, n, limit)
	}
}

// slots returns the limit of a server.
func (r *rig) slots(server string) int {
	for _, s := range r.config.Register.Services[0].Servers {
		if s.Name == server {
			return s.Slots
		}
	}
	return 0
}

// count counts an outcome.
func (r *rig) count(c wigeonladder.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[c]++
}
