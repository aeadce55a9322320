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

// call is one call of a caller, which sends it once or more.
type call struct {
	name      string
	workspace string
	service   string
	path      string
	// sendTime is when the call is first sent, counted from the start of runCalls.
	sendTime   time.Duration
	tokens     int
	atMostOnce bool
	// crashesServers marks a request that crashes every server that runs it.
	crashesServers bool
	// sentInParallel marks a call that its caller sends through two daemons at
	// once.
	sentInParallel bool
	// duringFault is true if a fault may have kept daemons from exchanging
	// suspicions while the call was sent.
	duringFault bool
	// finalAnswer is the sending with the final answer to the ticket.
	finalAnswer *sending
	// leavesAfter is the time from sending until the caller disconnects; 0 if it
	// waits for the answer.
	leavesAfter time.Duration
}

// The load of the callers.
const (
	// callInterval is the mean time between two calls.
	callInterval = 60 * time.Millisecond
	// randomTokensLimit limits the random part of the tokens of a model call,
	// which is less than it.
	randomTokensLimit = 60
	// burstCount is the number of times at which one workspace floods the fleet.
	burstCount = 3
	// maxSendings limits how often one call is sent and how often its caller asks
	// for a ticket.
	maxSendings = 40
)

// planCalls returns the plan of n random calls within span.
func planCalls(seed uint64, n int, span time.Duration) []*call {
	r := rand.New(rand.NewPCG(seed, 3))
	var l []*call
	for i := range n {
		c := &call{
			name: "c" + itoa(i), workspace: workspaceName(r.IntN(workspaces)),
			sendTime: time.Duration(r.Int64N(int64(span))), service: serviceModel, tokens: 5 + r.IntN(randomTokensLimit),
		}
		if r.IntN(7) == 0 {
			c.sendTime, c.workspace = span*time.Duration(1+r.IntN(burstCount))/(burstCount+1), workspaceName(0)
		}
		switch k := r.IntN(100); {
		case k < 1:
			c.crashesServers = true
		case k < 35:
			c.service, c.path, c.atMostOnce, c.tokens = servicePlain, pathAtMostOnce, true, 1
			c.sentInParallel = r.IntN(4) == 0
		case k < 45:
			c.service, c.path, c.tokens = servicePlain, pathPlain, 1
		case k < 50:
			c.leavesAfter = time.Duration(r.Int64N(int64(3 * time.Second)))
		}
		l = append(l, c)
	}
	slices.SortFunc(l, func(a, b *call) int { return int(a.sendTime - b.sendTime) })
	return l
}

// runCalls sends all calls at their times and waits until they have ended.
func (f *fleet) runCalls(calls []*call) {
	var all sync.WaitGroup
	start := time.Now()
	for _, c := range calls {
		f.addCall(c)
		sleep(f.ctx, time.Until(start.Add(c.sendTime)))
		all.Go(func() { f.runCaller(c) })
	}
	all.Wait()
}

// runCaller sends a call: an at-most-once call until its answer is final, a call
// that crashes servers several times, and any other call once.
func (f *fleet) runCaller(c *call) {
	switch {
	case c.atMostOnce:
		f.runAtMostOnceCaller(c)
	case c.crashesServers:
		for range 5 {
			f.send(f.pickNode(), c, "")
			// Suspicions spread only between daemons that can reach each other.
			c.duringFault = c.duringFault || !f.noFaultSince(time.Now().Add(-splitRecovery))
			f.waitBeforeResend()
		}
	default:
		f.send(f.pickNode(), c, "")
	}
}

// runAtMostOnceCaller sends an at-most-once call through changing daemons until
// it has a final answer.
func (f *fleet) runAtMostOnceCaller(c *call) {
	ticket := f.issueTicket(c)
	if ticket == "" {
		f.history.addCount("calls without a ticket", 1)
		return
	}
	for range maxSendings {
		s := f.sendAtMostOnce(c, ticket)
		if isFinal(s) {
			c.finalAnswer = s
			return
		}
		f.waitBeforeResend()
	}
	f.history.violate(checkWait, c.name, "no final answer after %d sendings", maxSendings)
}

// sendAtMostOnce sends a call through one daemon or, if the call is sent in
// parallel, through two at once. Of two answers it returns the one on which the
// caller acts: a complete answer, else one that says that the call may have run,
// else one that says that it did not run.
func (f *fleet) sendAtMostOnce(c *call, ticket string) *sending {
	if !c.sentInParallel {
		return f.send(f.pickNode(), c, ticket)
	}
	var other sync.WaitGroup
	var b *sending
	other.Go(func() { b = f.send(f.pickNode(), c, ticket) })
	a := f.send(f.pickNode(), c, ticket)
	other.Wait()
	if a.code == wigeonladder.CodeOK || b.code != wigeonladder.CodeOK && !isFinal(a) {
		return a
	}
	if a.code.Info().Outcome == wigeonladder.NotRun || b.code == wigeonladder.CodeOK {
		return b
	}
	return a
}

// issueTicket gets a ticket from any daemon.
func (f *fleet) issueTicket(c *call) string {
	for range maxSendings {
		n := f.pickNode()
		core, lifetime := n.runningDaemon()
		if core != nil && !core.Refusing() && n.waitResumed(lifetime) {
			t, err := core.Tickets().Issue(c.workspace, c.service, "POST", c.path)
			if err == nil {
				f.history.note(c.name, "ticket %s", t)
				return t
			}
		}
		f.waitBeforeResend()
	}
	return ""
}

// isFinal reports whether an answer to a ticket is final.
func isFinal(s *sending) bool {
	switch s.code {
	case wigeonladder.CodeOK, wigeonladder.CodeTicketGone, wigeonladder.CodeTicketForgotten, wigeonladder.CodeTicketUnknown:
		return true
	}
	return s.code.Info().Outcome == wigeonladder.NotRun && s.request != ""
}

// waitBeforeResend waits between two sendings of a caller.
func (f *fleet) waitBeforeResend() {
	sleep(f.ctx, 300*time.Millisecond+time.Duration(f.intn(1000))*time.Millisecond)
}

// pickNode selects a node as the load balancer does: usually one that is ready,
// sometimes any.
func (f *fleet) pickNode() *node {
	if f.intn(10) == 0 {
		return f.nodes[f.intn(len(f.nodes))]
	}
	var ready []*node
	for _, n := range f.nodes {
		if core, _ := n.runningDaemon(); core != nil && !core.Draining() && core.Config().Revision > 0 {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return f.nodes[0]
	}
	return ready[f.intn(len(ready))]
}

// send sends a call through a node. A sending that reached no daemon has no
// request ID.
func (f *fleet) send(n *node, c *call, ticket string) *sending {
	s := &sending{call: c, node: n.vm.Name, start: time.Now(), code: wigeonladder.CodeBroken}
	core, lifetime := n.runningDaemon()
	if core == nil || !f.network.waitOpen(lifetime, addressPair(n.vm.PeerAddress, addressCallers)) {
		return s
	}
	s.request = f.nextID()
	if core.Refusing() {
		s.code = wigeonladder.CodeDraining
		if ticket != "" {
			s.code = wigeonladder.CodeTicketAway
		}
		f.history.recordEnd(s)
		return s
	}
	n.adjustOpenRequests(lifetime, 1)
	defer n.adjustOpenRequests(lifetime, -1)
	ctx, cancel := context.WithCancel(lifetime)
	defer cancel()
	if c.leavesAfter > 0 {
		s.callerMayLeave = true
		defer time.AfterFunc(c.leavesAfter, cancel).Stop()
	}
	f.history.note(c.name, "%s is sent to %s", s.request, s.node)
	code := f.runRequest(ctx, n, s, ticket)
	// The answer does not arrive if the daemon has ended.
	if n.waitResumed(lifetime) && f.network.waitOpen(lifetime, addressPair(n.vm.PeerAddress, addressCallers)) {
		s.code = code
	}
	f.history.recordEnd(s)
	return s
}

// runRequest passes the request to the daemon as its caller interface does.
func (f *fleet) runRequest(ctx context.Context, n *node, s *sending, ticket string) wigeonladder.Code {
	core, _ := n.runningDaemon()
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
	if s.call.atMostOnce {
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
		Estimate: int64(s.call.tokens), AtMostOnce: s.call.atMostOnce, Ticket: ticket, Arrived: time.Now(),
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
