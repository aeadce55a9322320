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

// The names of the policies. PolicyFleet is the policy of the daemons
// themselves; the others are the baselines of package policy.
const (
	PolicyFleet   = "fleet"
	PolicyAlone   = "alone"
	PolicySplit   = "split"
	PolicyCentral = "central"
)

const (
	// loopbackQueueLimit is the number of requests that may wait per service and
	// daemon.
	loopbackQueueLimit = 2000
	// readyTimeout limits the time until all daemons are ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between two readiness checks of a daemon.
	readyPollInterval = 20 * time.Millisecond
)

// LoopbackFleet is a fleet of daemons and stand-ins in one process, connected
// by loopback TCP. It implements Target and Injector.
type LoopbackFleet struct {
	ctx      context.Context
	site     Site
	layout   standin.Layout
	standIns *standin.StandIns
	policy   policy.Policy

	callers         map[string]*fake.Client
	callerAddresses map[string]string

	mu           sync.Mutex
	daemons      map[string]*loopbackDaemon
	wrongAnswers int
}

// loopbackDaemon is a daemon with the function that ends it at once.
type loopbackDaemon struct {
	*daemon.Daemon
	cancel context.CancelFunc
}

var (
	_ Target   = (*LoopbackFleet)(nil)
	_ Injector = (*LoopbackFleet)(nil)
)

// NewLoopbackFleet starts the fleet of a site under a policy on a loopback
// network such as "127.9.1" and waits until all daemons are ready. The fleet
// ends with the context; call Wait after that.
func NewLoopbackFleet(ctx context.Context, s Site, policyName, network string) (*LoopbackFleet, error) {
	r := &LoopbackFleet{
		ctx:             ctx,
		site:            s,
		callers:         map[string]*fake.Client{},
		callerAddresses: map[string]string{},
		daemons:         map[string]*loopbackDaemon{},
	}
	r.layout = standin.NewLayout(s.Register, s.Rules, network, standin.ServerTimes{
		FirstToken: setting.Duration(fake.BackendFirstTokenTime),
		InterToken: setting.Duration(fake.BackendInterTokenTime),
		CallTime:   setting.Duration(fake.BackendCallTime),
	})
	var err error
	if r.policy, err = newBaseline(policyName, r.layout.Plan.Config); err != nil {
		return nil, err
	}
	if r.standIns, err = standin.Start(ctx, r.layout.Plan); err != nil {
		return nil, err
	}
	for _, w := range s.Register.Workspaces {
		r.callers[w.Name] = standin.NewCaller(standin.WorkspaceKey(w.Name))
	}
	for _, v := range r.layout.Settings {
		r.callerAddresses[v.Name] = v.CallerAddress
		if err := r.startDaemon(v); err != nil {
			return nil, err
		}
	}
	return r, r.waitReady()
}

// newBaseline returns the baseline policy with the given name, or nil for
// policy fleet, which the daemons implement themselves.
func newBaseline(name string, c wigeonladder.Config) (policy.Policy, error) {
	o := policy.Options{
		VMs:        c.Register.VMs,
		Services:   c.Register.Services,
		Rules:      func() wigeonladder.Rules { return c.Rules },
		QueueLimit: loopbackQueueLimit,
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

func (r *LoopbackFleet) startDaemon(s setting.Settings) error {
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
	r.daemons[s.Name] = &loopbackDaemon{d, cancel}
	return nil
}

// waitReady waits until all daemons are ready for requests.
func (r *LoopbackFleet) waitReady() error {
	ctx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	c := standin.NewCaller("")
	for vm, entry := range r.callerAddresses {
		for !c.WithAddress(entry).Ready(ctx) {
			if !sleep(ctx, readyPollInterval) {
				return errors.Errorf("daemon %s was not ready within %v", vm, readyTimeout)
			}
		}
	}
	return nil
}

// Wait waits until all daemons have ended and then stops the stand-ins. Cancel
// the context of the fleet first.
func (r *LoopbackFleet) Wait() {
	for _, d := range r.runningDaemons() {
		<-d.Done()
	}
	r.standIns.Close()
}

// runningDaemons returns the current daemon of each VM.
func (r *LoopbackFleet) runningDaemons() []*loopbackDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []*loopbackDaemon
	for _, d := range r.daemons {
		l = append(l, d)
	}
	return l
}

// Send implements Target. It calls the daemon of the entry VM over HTTP and
// compares the complete answer with the answer that belongs to the request.
func (r *LoopbackFleet) Send(ctx context.Context, vm string, q wigeonladder.Request, s wigeonladder.Sink) error {
	caller := r.callers[q.Workspace].WithAddress(r.callerAddresses[vm])
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
	return r.checkReply(reply, fake.EngineAnswer(q.Body))
}

func (r *LoopbackFleet) sendPlain(ctx context.Context, caller *fake.Client, q wigeonladder.Request, s wigeonladder.Sink) error {
	reply := caller.CallPlainService(ctx, q.Method, q.Service, q.Path, "", string(q.Body))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	err := r.checkReply(reply, string(fake.PlainServiceAnswer(q.Method, q.Path, q.Body)))
	if err != nil {
		return err
	}
	_ = s.Start(reply.Status, "application/json")
	return s.Write(nil, 1)
}

// checkReply returns the error of a request, or nil for the right answer. It
// counts complete answers that do not belong to the request.
func (r *LoopbackFleet) checkReply(reply fake.Reply, want string) error {
	switch {
	case reply.Err != nil && reply.Status == 0:
		return wigeonladder.Errorf(wigeonladder.CodeConnect, "caller", "%v", reply.Err)
	case reply.Err != nil:
		return wigeonladder.Errorf(wigeonladder.CodeBroken, "caller", "%v", reply.Err)
	case !reply.Complete:
		return wigeonladder.Errorf(reply.Code, "caller", "the fleet refused or broke the answer").WithRetryAfter(reply.RetryAfter)
	case reply.Text != want:
		r.mu.Lock()
		r.wrongAnswers++
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
		r.standIns.Engines[f.Target].SetFaults(faults)
	case FaultZoneCut:
		r.setZoneCut(f.Target, on)
	case FaultDaemonCrash:
		r.setDaemonCrashed(f.Target, on)
	}
}

// setZoneCut cuts or restores all links between a zone and the other zones.
func (r *LoopbackFleet) setZoneCut(zone string, on bool) {
	for name, proxy := range r.standIns.Proxies {
		target := r.site.Zone(name)
		for i, vm := range r.site.Register.VMs {
			if target != "" && (vm.Zone == zone) != (target == zone) {
				proxy.SetLinkCut(hostOf(r.layout.Settings[i].PeerAddress), on)
			}
		}
	}
}

// setDaemonCrashed ends a daemon at once, or starts it again without its earlier
// state.
func (r *LoopbackFleet) setDaemonCrashed(vm string, on bool) {
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
			_ = r.startDaemon(s)
		}
	}
}
