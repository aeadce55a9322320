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

// zoneDelay is the one-way delay of a message between two zones, as at the site
// demo.Guild.
const zoneDelay = 1500 * time.Microsecond

// maxIdle is how long a slot may be free while requests that fit it wait: two
// round trips, the batching of reports, and 1 ms for the sampling.
const maxIdle = 4*zoneDelay + 10*time.Millisecond + time.Millisecond

// rig is a fleet in one process on virtual time. It checks invariants while the
// fleet works.
type rig struct {
	links   *fake.Network
	options entry.Options
	config  wigeonladder.Config
	root    context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
	// overAdmissionAllowed is set once a fault was injected that may let a
	// server run more requests than its limit, idleSlotsAllowed once one was
	// injected that may keep slots idle while requests wait.
	overAdmissionAllowed, idleSlotsAllowed atomic.Bool

	mu          sync.Mutex
	daemons     map[string]*daemon
	running     map[string]int
	peak        map[string]int
	idleSince   map[string]map[string]time.Time
	codes       map[wigeonladder.Code]int
	grantedAt   map[string]time.Time
	violations  []string
	longestWait time.Duration
	// rejectedContracts is the number of contracts that CheckBeforeSend
	// refused.
	rejectedContracts int
}

// daemon is one daemon of the rig.
type daemon struct {
	*gate
	rig    *rig
	vm     wigeonladder.VM
	node   *fake.Node
	runs   int
	latest atomic.Pointer[daemonRun]
}

// daemonRun is one run of a daemon, without memory of earlier ones.
type daemonRun struct {
	*daemon
	shares *fake.FairShares
	ledger *contract.Ledger
	queue  *entry.Queue
	ctx    context.Context
	kill   context.CancelFunc
}

// newRig starts daemons, in turn in each of three zones, and servers with the
// given slots.
func newRig(daemons int, slots ...int) *rig {
	return newRigWith(entry.Options{}, daemons, slots...)
}

// newRigWith starts a rig whose queues have the given bounds.
func newRigWith(o entry.Options, daemons int, slots ...int) *rig {
	r := &rig{
		options:   o,
		links:     fake.NewNetwork(zoneDelay),
		daemons:   map[string]*daemon{},
		running:   map[string]int{},
		peak:      map[string]int{},
		idleSince: map[string]map[string]time.Time{},
		codes:     map[wigeonladder.Code]int{},
		grantedAt: map[string]time.Time{},
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
		r.daemons[vm.Name] = &daemon{gate: &gate{}, rig: r, vm: vm, node: r.links.AddDaemon(vm)}
	}
	for _, vm := range r.config.Register.VMs {
		r.daemons[vm.Name].start()
	}
	go r.watch()
	return r
}

// start starts a run of the daemon without memory of earlier ones.
func (d *daemon) start() {
	r := d.rig
	d.runs++
	l := &daemonRun{daemon: d, shares: fake.NewFairShares()}
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
		Incarnation: fmt.Sprintf("%s/%d", d.vm.Name, d.runs),
	})
	o := r.options
	o.Fleet, o.Zone, o.Config, o.Journal = fleet, d.vm.Zone, config, d
	l.queue = entry.NewQueue(l.ctx, o)
	d.latest.Store(l)
	d.node.SetRoles(gatedHome{l.ledger, d.gate}, gatedEntry{l.queue, d.gate})
}

// stopRun kills the daemon. The others learn of it at once.
func (d *daemon) stopRun() {
	d.rig.idleSlotsAllowed.Store(true)
	d.rig.links.SetDown(d.vm.Name, true)
	d.latest.Load().kill()
}

// restart starts a killed daemon without memory of earlier runs.
func (d *daemon) restart() {
	d.start()
	d.rig.links.SetDown(d.vm.Name, false)
}

// load returns the load report of a server, without lag.
func (r *rig) load(_ context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wigeonladder.Load{Running: r.running[s.Name]}, nil
}

// fail records that an invariant was violated.
func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < 20 {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// Note implements wigeonladder.Journal: it checks each grant of a home at the
// moment of the decision.
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
	_, twice := d.rig.grantedAt[id]
	d.rig.grantedAt[id] = time.Now()
	d.rig.grantedAt[f["server"].(string)] = time.Now()
	d.rig.mu.Unlock()
	if twice {
		d.rig.fail("contract %s was granted twice", id)
	}
}

// job is one request of the workload. It arrives At after its submission and
// runs for Runs. Its caller leaves when Patience has passed; 0 for never.
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
		d := r.currentRun(j.Daemon)
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

// currentRun returns the current run of a daemon.
func (r *rig) currentRun(daemon int) *daemonRun {
	return r.daemons[fmt.Sprintf("vm-%d", daemon)].latest.Load()
}

// serve places a request and runs it to its end.
func (d *daemonRun) serve(ctx context.Context, q wigeonladder.Request, j job) {
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

// retryDelay is the delay before a request asks for another contract: the
// shortest one of retry.Runner.
const retryDelay = 20 * time.Millisecond

// place returns a contract that CheckBeforeSend accepted. If the contract of a
// request was recalled before it was used, the request asks for another one, as
// with retry.Runner: a home that loses a server may recall a contract in the
// moment in which it is handed out.
func (d *daemonRun) place(ctx context.Context, q wigeonladder.Request) (wigeonladder.Contract, error) {
	r := d.rig
	for {
		began := time.Now()
		c, err := d.queue.Place(ctx, q)
		d.pass()
		if err != nil {
			return c, err
		}
		r.mu.Lock()
		r.longestWait = max(r.longestWait, time.Since(began))
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
		r.rejectedContracts++
		r.mu.Unlock()
		r.sleep(ctx, retryDelay)
	}
}

// sleep waits for some time or until the context ends.
func (r *rig) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// begin counts a request that starts to run at a server.
func (r *rig) begin(c wigeonladder.Contract) {
	r.mu.Lock()
	r.running[c.Server]++
	n := r.running[c.Server]
	r.peak[c.Server] = max(r.peak[c.Server], n)
	r.mu.Unlock()
	if limit := r.slots(c.Server); !r.overAdmissionAllowed.Load() && n > limit {
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
