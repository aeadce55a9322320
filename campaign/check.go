package campaign

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// The times of the checks.
const (
	sampleInterval = 100 * time.Millisecond
	// revisionDeadline is the target of section 7 of docs/design.md for the time
	// until a revision is in force at all reachable daemons.
	revisionDeadline = 5 * time.Second
	// leavingDeadline is the target of section 1.2 of docs/design.md for the time
	// until no attempt is sent to a server that is listed as leaving.
	leavingDeadline = 3 * time.Second
	// splitRecovery is how long after a split two homes may still count slots of
	// one server: 6 s until daemons are considered dead or alive again, 2 s of
	// hysteresis and 5 s until contracts expire, rounded up.
	splitRecovery = 15 * time.Second
	// waitMargin is the time that a request may take beyond the waiting limit:
	// two attempts of up to 30 s without a first byte and the search for another
	// server.
	waitMargin = 100 * time.Second
)

// sampleDaemons checks the state of all daemons periodically.
func (f *fleet) sampleDaemons() {
	for sleep(f.ctx, sampleInterval) {
		for _, n := range f.nodes {
			if core, lifetime := n.runningDaemon(); core != nil {
				f.sampleRevision(n, core.Config().Revision)
				f.sampleLeaving(n)
				if lifetime.Err() == nil {
					f.sampleLimits(n)
				}
			}
		}
		f.checkRevisionSpread()
	}
}

// sampleRevision checks that the revision in force never decreases. It records
// when a revision was first in force at a daemon that no fault concerns.
func (f *fleet) sampleRevision(n *node, revision uint64) {
	n.mu.Lock()
	old := n.lastRevision
	n.lastRevision = revision
	n.mu.Unlock()
	if revision < old {
		f.history.violate(checkRevision, n.vm.Name, "revision %d after %d", revision, old)
	}
	if !n.noFaultSince(time.Now().Add(-revisionDeadline)) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.firstInForce[revision]; !ok {
		f.firstInForce[revision] = time.Now()
	}
}

// checkRevisionSpread checks that a revision in force at a reachable daemon is
// in force, after revisionDeadline, at all daemons that were reachable since.
func (f *fleet) checkRevisionSpread() {
	f.mu.Lock()
	first := map[uint64]time.Time{}
	for r, at := range f.firstInForce {
		if time.Since(at) > revisionDeadline {
			first[r] = at
			delete(f.firstInForce, r)
			f.firstInForce[r] = at.Add(365 * 24 * time.Hour)
		}
	}
	f.mu.Unlock()
	for r, at := range first {
		f.history.addCount("revisions followed", 1)
		for _, n := range f.nodes {
			core, _ := n.runningDaemon()
			if core != nil && n.noFaultSince(at.Add(-revisionDeadline)) && core.Config().Revision < r {
				f.history.violate(checkRevision, n.vm.Name, "revision %d in force, not %d, after %v",
					core.Config().Revision, r, revisionDeadline)
			}
		}
	}
}

// sampleLeaving records when a reachable daemon first lists a server as
// leaving.
func (f *fleet) sampleLeaving(n *node) {
	core, _ := n.runningDaemon()
	if core == nil || !n.noFaultSince(time.Now().Add(-leavingDeadline)) {
		return
	}
	for name := range f.servers {
		isLeaving := core.ServerState(name) == wigeonladder.StateLeaving && f.platform.vmState(name) == wigeonladder.StateLeaving
		f.mu.Lock()
		if _, known := f.leavingSince[name]; isLeaving && !known {
			f.leavingSince[name] = time.Now()
		}
		f.mu.Unlock()
	}
}

// clearLeaving records that a server is listed as live again.
func (f *fleet) clearLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leavingSince, name)
}

// checkAttempt checks an attempt whose first byte is about to be sent. The
// daemon received the contract of the attempt at contractReceived or earlier.
func (f *fleet) checkAttempt(k *backendClient, s *server, c *call, a wigeonladder.Attempt, contractReceived time.Time) {
	f.history.note(c.name, "%s attempt %d is written to %s", a.Request.ID, a.Number, s.spec.Name)
	f.history.addCount("attempts", 1)
	if age := time.Since(contractReceived); age > wigeonladder.ContractUseTimeout {
		f.history.violate(checkUseTimeout, c.name, "the contract for %s is used %v after its arrival", s.spec.Name, age)
	}
	f.mu.Lock()
	listed, isLeaving := f.leavingSince[s.spec.Name]
	f.mu.Unlock()
	if !isLeaving || time.Since(listed) <= leavingDeadline {
		return
	}
	if !k.node.noFaultSince(listed) {
		f.history.addCount("attempts to leaving servers of unreachable daemons", 1)
		return
	}
	f.history.violate(checkLeaving, c.name, "an attempt is written to %s %v after it was listed as leaving",
		s.spec.Name, time.Since(listed))
}

// sampleLimits checks that a home counts no more contracts on a server than its
// highest limit.
func (f *fleet) sampleLimits(n *node) {
	core, _ := n.runningDaemon()
	if core == nil {
		return
	}
	for _, s := range core.HomeDump().Servers {
		excess := s.InUse - f.servers[s.Name].spec.MaxSlots
		if excess <= 0 {
			continue
		}
		f.history.recordMax("most contracts over the limit of a home", excess)
		if f.noSplitSince(time.Now().Add(-splitRecovery)) {
			f.history.violate(checkLimit, n.vm.Name, "%d contracts in use on %s with at most %d slots",
				s.InUse, s.Name, f.servers[s.Name].spec.MaxSlots)
		}
	}
}

// checkHistory checks all calls and sendings of the run.
func (f *fleet) checkHistory() {
	runs := map[string][]execution{}
	executed := map[string]bool{}
	for _, e := range f.history.executions {
		runs[e.call] = append(runs[e.call], e)
		executed[e.request] = true
	}
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		c, l := f.calls[name], runs[name]
		if c.atMostOnce && len(l) > 1 {
			f.history.violateAt(l[1].at, checkAtMostOnce, name, "%d executions", len(l))
		}
		if c.crashesServers {
			f.checkServerCrashes(c, l)
		}
		if c.atMostOnce {
			f.checkFinalAnswer(c, l)
		}
	}
	for _, s := range f.history.sendings {
		f.checkAnswer(s)
		f.checkDuration(s)
		if !s.call.atMostOnce && s.code.Info().Outcome == wigeonladder.NotRun && executed[s.request] {
			f.history.violateAt(s.end, checkNotRun, s.call.name, "%s ends with %v but it executed", s.request, s.code)
		}
	}
	f.history.addCount("executions", len(f.history.executions))
	f.history.addCount("sendings", len(f.history.sendings))
}

// checkFinalAnswer checks the final answer to a ticket whose call executed. Of
// two parallel answers it is the one on which the caller acts.
func (f *fleet) checkFinalAnswer(c *call, l []execution) {
	if c.finalAnswer == nil {
		return
	}
	f.history.addCount("final answers to executed tickets", 1)
	if c.finalAnswer.code.Info().Outcome == wigeonladder.NotRun {
		f.history.violateAt(c.finalAnswer.end, checkNotRun, c.name, "the final answer %s is %v but it executed at %.3fs on %s",
			c.finalAnswer.request, c.finalAnswer.code, l[0].at.Sub(f.history.start).Seconds(), l[0].server)
	}
}

// checkServerCrashes checks how many servers a crashing request crashed.
func (f *fleet) checkServerCrashes(c *call, l []execution) {
	servers := map[string]bool{}
	for _, e := range l {
		servers[e.server] = true
	}
	f.history.addCount("servers lost to crashing requests", len(l))
	f.history.recordMax("most servers lost to one request", len(servers))
	if len(servers) <= 2 {
		return
	}
	if c.duringFault {
		f.history.addCount("crashing requests beyond two servers during splits", 1)
		return
	}
	f.history.violateAt(l[2].at, checkCrash, c.name, "%d servers were lost", len(servers))
}

// checkAnswer checks that the answer belongs to the call and, if it ended
// without an error, is complete.
func (f *fleet) checkAnswer(s *sending) {
	complete := len(s.body) == s.call.tokens
	for i, part := range s.body {
		if part != s.call.part(i) {
			f.history.violateAt(s.end, checkOwnAnswer, s.call.name, "%s got %q as part %d", s.request, part, i)
			return
		}
	}
	if s.code != wigeonladder.CodeOK {
		return
	}
	f.history.addCount("complete answers", 1)
	if !complete {
		f.history.violateAt(s.end, checkOwnAnswer, s.call.name, "%s got %d of %d parts as complete: %s",
			s.request, len(s.body), s.call.tokens, strings.Join(s.body, " "))
	}
}

// checkDuration checks that a sending ended in time.
func (f *fleet) checkDuration(s *sending) {
	took := s.end.Sub(s.start)
	f.history.recordMax("longest request in ms", int(took.Milliseconds()))
	if took > maxWait+waitMargin {
		f.history.violateAt(s.end, checkWait, s.call.name, "%s took %v", s.request, took)
	}
}
