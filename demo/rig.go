package demo

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/daemon"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/policy"
	"github.com/wigeonladder/wigeonladder/setting"
	"github.com/wigeonladder/wigeonladder/standin"
)

// Names of the policies.
const (
	PolicyFleet   = "fleet"
	PolicyAlone   = "alone"
	PolicySplit   = "split"
	PolicyCentral = "central"
)

const (
	// rigBound is the number of requests that may wait per service and daemon.
	rigBound = 2000
	// rigStart bounds the time until all daemons are ready.
	rigStart = 20 * time.Second
	// rigPoll is the period at which the rig asks whether a daemon is ready.
	rigPoll = 20 * time.Millisecond
)

// LoopbackFleet is a fleet of daemons and stand-ins in one process, linked by loopback
// TCP. It implements Target and Injector.
type LoopbackFleet struct {
	ctx    context.Context
	site   Site
	layout standin.Layout
	stand  *standin.StandIns
	policy policy.Policy

	callers map[string]*fake.Client
	entries map[string]string

	mu      sync.Mutex
	daemons map[string]*running
	crossed int
}

// running is a daemon and what ends it at once.
type running struct {
	*daemon.Daemon
	cancel context.CancelFunc
}

var (
	_ Target   = (*LoopbackFleet)(nil)
	_ Injector = (*LoopbackFleet)(nil)
)

// NewLoopbackFleet starts the fleet of a site under a policy on a loopback network such
// as "127.9.1" and waits until all daemons are ready. It ends with the context;
// call Wait then.
func NewLoopbackFleet(ctx context.Context, s Site, policyName, network string) (*LoopbackFleet, error) {
	r := &LoopbackFleet{
		ctx:     ctx,
		site:    s,
		callers: map[string]*fake.Client{},
		entries: map[string]string{},
		daemons: map[string]*running{},
	}
	r.layout = standin.NewLayout(s.Register, s.Rules, network, standin.ServerTimes{
		FirstToken: setting.Duration(fake.BackendFirstTokenTime),
		InterToken: setting.Duration(fake.BackendInterTokenTime),
		CallTime:   setting.Duration(fake.BackendCallTime),
	})
	var err error
	if r.policy, err = baseline(policyName, r.layout.Plan.Config); err != nil {
		return nil, err
	}
	if r.stand, err = standin.Start(ctx, r.layout.Plan); err != nil {
		return nil, err
	}
	for _, w := range s.Register.Workspaces {
		r.callers[w.Name] = standin.NewCaller(standin.WorkspaceKey(w.Name))
	}
	for _, v := range r.layout.Settings {
		r.entries[v.Name] = v.CallerAddress
		if err := r.start(v); err != nil {
			return nil, err
		}
	}
	return r, r.waitReady()
}

// baseline returns a policy other than the fleet's own, which is nil.
func baseline(name string, c wigeonladder.Config) (policy.Policy, error) {
	o := policy.Options{
		VMs:        c.Register.VMs,
		Services:   c.Register.Services,
		Rules:      func() wigeonladder.Rules { return c.Rules },
		QueueLimit: rigBound,
	}
	switch name {
	case PolicyFleet:
		return nil, nil
	case PolicyAlone:
		return policy.NewAlone(o), nil
	case PolicySplit:
		return policy.NewSplit(o), nil
	case PolicyCentral:
		return policy.NewCentral(o), nil
	}
	return nil, errors.Errorf("policy %q is not one of fleet, alone, split, central", name)
}

// start starts the daemon of one VM.
func (r *LoopbackFleet) start(s setting.Settings) error {
	ctx, cancel := context.WithCancel(r.ctx)
	o := daemon.Options{Settings: s}
	if r.policy != nil {
		o.Placer = r.policy.PlacerFor(s.Name)
	}
	d, err := daemon.New(ctx, o)
	if err != nil {
		cancel()
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[s.Name] = &running{d, cancel}
	return nil
}

// waitReady waits until all daemons want traffic.
func (r *LoopbackFleet) waitReady() error {
	ctx, cancel := context.WithTimeout(r.ctx, rigStart)
	defer cancel()
	c := standin.NewCaller("")
	for vm, entry := range r.entries {
		for !c.WithAddress(entry).Ready(ctx) {
			if !sleep(ctx, rigPoll) {
				return errors.Errorf("daemon %s was not ready within %v", vm, rigStart)
			}
		}
	}
	return nil
}

// Wait ends the stand-ins and returns when all daemons have ended. Cancel the
// rig's context before.
func (r *LoopbackFleet) Wait() {
	for _, d := range r.running() {
		<-d.Done()
	}
	r.stand.Close()
}

// running returns the daemons that run now.
func (r *LoopbackFleet) running() []*running {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []*running
	for _, d := range r.daemons {
		l = append(l, d)
	}
	return l
}

// Send implements Target: it calls the entry daemon over HTTP and compares the
// whole answer with what the request must give.
func (r *LoopbackFleet) Send(ctx context.Context, vm string, q wigeonladder.Request, s wigeonladder.Sink) error {
	caller := r.callers[q.Workspace].WithAddress(r.entries[vm])
	if q.Service == r.site.PlainService {
		return r.sendPlain(ctx, caller, q, s)
	}
	first := true
	caller = caller.WithOnToken(func() {
		if first {
			first = false
			_ = s.Start(200, "text/event-stream")
		}
		_ = s.Write(nil, 1)
	})
	reply := caller.Chat(ctx, string(q.Body), "X-Cost-Hint", strconv.FormatInt(q.Estimate, 10))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return r.judge(reply, fake.EngineAnswer(q.Body))
}

func (r *LoopbackFleet) sendPlain(ctx context.Context, caller *fake.Client, q wigeonladder.Request, s wigeonladder.Sink) error {
	reply := caller.CallPlainService(ctx, q.Method, q.Service, q.Path, "", string(q.Body))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	err := r.judge(reply, string(fake.PlainServiceAnswer(q.Method, q.Path, q.Body)))
	if err != nil {
		return err
	}
	_ = s.Start(reply.Status, "application/json")
	return s.Write(nil, 1)
}

// judge turns a reply into the error of the request. A complete answer that is
// not the request's own counts as crossed.
func (r *LoopbackFleet) judge(reply fake.Reply, want string) error {
	switch {
	case reply.Err != nil && reply.Status == 0:
		return wigeonladder.Errorf(wigeonladder.CodeConnect, "caller", "%v", reply.Err)
	case reply.Err != nil:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, "caller", "%v", reply.Err)
	case !reply.Complete:
		return wigeonladder.Errorf(reply.Code, "caller", "the fleet refused or broke the answer").WithRetryAfter(reply.RetryAfter)
	case reply.Text != want:
		r.mu.Lock()
		r.crossed++
		r.mu.Unlock()
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, "caller", "the answer is not the request's own")
	}
	return nil
}

// Inject implements Injector.
func (r *LoopbackFleet) Inject(f Fault, on bool) {
	switch f.Kind {
	case FaultServerSlow:
		faults := fake.EngineFaults{}
		if on {
			faults.SlowFactor = f.SlowFactor
		}
		r.stand.Engines[f.Target].SetFaults(faults)
	case FaultZoneCut:
		r.cutZone(f.Target, on)
	case FaultDaemonCrash:
		r.lose(f.Target, on)
	}
}

// cutZone cuts all links between a zone and the other zones.
func (r *LoopbackFleet) cutZone(zone string, on bool) {
	for name, relay := range r.stand.Proxies {
		target := r.site.Zone(name)
		for i, vm := range r.site.Register.VMs {
			if target != "" && (vm.Zone == zone) != (target == zone) {
				relay.SetLinkCut(hostOf(r.layout.Settings[i].PeerAddress), on)
			}
		}
	}
}

// lose ends a daemon at once, or starts it again without memory.
func (r *LoopbackFleet) lose(vm string, on bool) {
	r.mu.Lock()
	d := r.daemons[vm]
	r.mu.Unlock()
	if on {
		d.cancel()
		<-d.Done()
		return
	}
	for _, s := range r.layout.Settings {
		if s.Name == vm {
			_ = r.start(s)
		}
	}
}
