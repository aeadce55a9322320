package campaign

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/entry"
)

// call is one piece of work of a caller, sent once or more.
type call struct {
	name      string
	workspace string
	service   string
	path      string
	at        time.Duration
	tokens    int
	once      bool
	// crash marks a request that crashes every server that runs it.
	crash bool
	// twin marks a call whose caller sends through two daemons at once.
	twin bool
	// disturbed is true if daemons could not all talk while it was sent.
	disturbed bool
	// final is the last answer to a ticket.
	final *sending
	// leaves is when the caller goes away; 0 if it stays.
	leaves time.Duration
}

// Rates of the callers.
const (
	callEvery = 60 * time.Millisecond
	maxTokens = 60
	// bursts is the number of moments at which one workspace floods the fleet.
	bursts = 3
	// resends bounds the resends of one call.
	resends = 40
)

// newCalls returns the plan of calls.
func newCalls(seed uint64, n int, span time.Duration) []*call {
	r := rand.New(rand.NewPCG(seed, 3))
	var l []*call
	for i := range n {
		c := &call{
			name: "c" + itoa(i), workspace: workspaceName(r.IntN(workspaces)),
			at: time.Duration(r.Int64N(int64(span))), service: serviceModel, tokens: 5 + r.IntN(maxTokens),
		}
		if r.IntN(7) == 0 {
			c.at, c.workspace = span*time.Duration(1+r.IntN(bursts))/(bursts+1), workspaceName(0)
		}
		switch k := r.IntN(100); {
		case k < 1:
			c.crash = true
		case k < 35:
			c.service, c.path, c.once, c.tokens = servicePlain, pathOnce, true, 1
			c.twin = r.IntN(4) == 0
		case k < 45:
			c.service, c.path, c.tokens = servicePlain, pathPlain, 1
		case k < 50:
			c.leaves = time.Duration(r.Int64N(int64(3 * time.Second)))
		}
		l = append(l, c)
	}
	slices.SortFunc(l, func(a, b *call) int { return int(a.at - b.at) })
	return l
}

// drive sends all calls at their times and waits for their ends.
func (f *fleet) drive(calls []*call) {
	var all sync.WaitGroup
	start := time.Now()
	for _, c := range calls {
		f.add(c)
		sleep(f.ctx, time.Until(start.Add(c.at)))
		all.Go(func() { f.perform(c) })
	}
	all.Wait()
}

// perform is the behaviour of one caller.
func (f *fleet) perform(c *call) {
	switch {
	case c.once:
		f.performOnce(c)
	case c.crash:
		for range 5 {
			f.send(f.pick(), c, "")
			// News of a crash passes only between daemons that can talk.
			c.disturbed = c.disturbed || !f.calm(time.Now().Add(-splitTail))
			f.rest()
		}
	default:
		f.send(f.pick(), c, "")
	}
}

// performOnce sends a call that may not be repeated through changing daemons
// until it has a final answer.
func (f *fleet) performOnce(c *call) {
	ticket := f.issue(c)
	if ticket == "" {
		f.history.count("calls without a ticket", 1)
		return
	}
	for range resends {
		s := f.sendOnce(c, ticket)
		if final(s) {
			c.final = s
			return
		}
		f.rest()
	}
	f.history.violate(checkWait, c.name, "no final answer after %d sendings", resends)
}

// sendOnce sends through one daemon or, for a twin, through two at once, and
// returns the answer by which the caller goes: an answer that leaves something
// open counts more than "not run", and a complete answer counts most.
func (f *fleet) sendOnce(c *call, ticket string) *sending {
	if !c.twin {
		return f.send(f.pick(), c, ticket)
	}
	var other sync.WaitGroup
	var b *sending
	other.Go(func() { b = f.send(f.pick(), c, ticket) })
	a := f.send(f.pick(), c, ticket)
	other.Wait()
	if a.code == wigeonladder.CodeOK || b.code != wigeonladder.CodeOK && !final(a) {
		return a
	}
	if a.code.Info().Outcome == wigeonladder.NotRun || b.code == wigeonladder.CodeOK {
		return b
	}
	return a
}

// issue gets a ticket from any daemon.
func (f *fleet) issue(c *call) string {
	for range resends {
		n := f.pick()
		core, life := n.running()
		if core != nil && !core.Refusing() && n.awake(life) {
			t, err := core.Tickets().Issue(c.workspace, c.service, "POST", c.path)
			if err == nil {
				f.history.note(c.name, "ticket %s", t)
				return t
			}
		}
		f.rest()
	}
	return ""
}

// final reports whether an answer to a ticket is final.
func final(s *sending) bool {
	switch s.code {
	case wigeonladder.CodeOK, wigeonladder.CodeTicketGone, wigeonladder.CodeTicketForgotten, wigeonladder.CodeTicketUnknown:
		return true
	}
	return s.code.Info().Outcome == wigeonladder.NotRun && s.request != ""
}

// rest waits between two sendings of a caller.
func (f *fleet) rest() {
	sleep(f.ctx, 300*time.Millisecond+time.Duration(f.intn(1000))*time.Millisecond)
}

// pick is the load balancer: mostly a daemon that is ready, sometimes any.
func (f *fleet) pick() *node {
	if f.intn(10) == 0 {
		return f.nodes[f.intn(len(f.nodes))]
	}
	var ready []*node
	for _, n := range f.nodes {
		if core, _ := n.running(); core != nil && !core.Draining() && core.Config().Revision > 0 {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return f.nodes[0]
	}
	return ready[f.intn(len(ready))]
}

// send sends a call through a daemon. A sending that reached no daemon has no
// request id.
func (f *fleet) send(n *node, c *call, ticket string) *sending {
	s := &sending{call: c, node: n.vm.Name, start: time.Now(), code: wigeonladder.CodeBroken}
	core, life := n.running()
	if core == nil || !f.net.pass(life, way(n.vm.PeerAddress, addressCallers)) {
		return s
	}
	s.request = f.nextID()
	if core.Refusing() {
		s.code = wigeonladder.CodeDraining
		if ticket != "" {
			s.code = wigeonladder.CodeTicketAway
		}
		f.history.end(s)
		return s
	}
	n.enter(life, 1)
	defer n.enter(life, -1)
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	if c.leaves > 0 {
		s.left = true
		defer time.AfterFunc(c.leaves, cancel).Stop()
	}
	f.history.note(c.name, "%s is sent to %s", s.request, s.node)
	code := f.run(ctx, n, s, ticket)
	// The answer of a daemon that is gone does not arrive.
	if n.awake(life) && f.net.pass(life, way(n.vm.PeerAddress, addressCallers)) {
		s.code = code
	}
	f.history.end(s)
	return s
}

// run hands the request to the daemon as its caller interface does.
func (f *fleet) run(ctx context.Context, n *node, s *sending, ticket string) wigeonladder.Code {
	core, _ := n.running()
	if core == nil {
		return wigeonladder.CodeBroken
	}
	if _, ok := core.Config().Register.Workspace(s.call.workspace); !ok {
		if ticket != "" {
			return wigeonladder.CodeTicketUnknown
		}
		return wigeonladder.CodeNoWorkspace
	}
	r := s.toRequest(ticket)
	var err error
	if s.call.once {
		err = core.Tickets().Run(ctx, r, s)
	} else {
		_, err = core.Runner().Run(ctx, r, s)
	}
	if err == nil {
		return wigeonladder.CodeOK
	}
	f.history.note(s.call.name, "%s: %v", s.request, err)
	return entry.CodeOf(err)
}

// toRequest returns the request of a sending.
func (s *sending) toRequest(ticket string) wigeonladder.Request {
	r := wigeonladder.Request{
		ID: s.request, Workspace: s.call.workspace, Service: s.call.service, Urgency: wigeonladder.UrgencyNormal,
		Estimate: int64(s.call.tokens), AtMostOnce: s.call.once, Ticket: ticket, Arrived: time.Now(),
		Method: "POST", Path: s.call.path, Body: []byte(s.call.name), Stream: s.call.service == serviceModel,
	}
	if r.Stream {
		r.Model = "llm"
	}
	return r
}

// Start implements wigeonladder.Sink.
func (s *sending) Start(int, string) error { return nil }

// Write implements wigeonladder.Sink.
func (s *sending) Write(part []byte, _ int64) error {
	s.body = append(s.body, strings.Fields(string(part))...)
	return nil
}
