package campaign

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Bounds of the checks.
const (
	sampleEvery = 100 * time.Millisecond
	// revisionWithin is the target of section 7 of the design page.
	revisionWithin = 5 * time.Second
	// leavingWithin is the target of section 1.2 of the design page.
	leavingWithin = 3 * time.Second
	// splitTail is how long after a disturbance two homes may still count one
	// server: 6 s to be dead or alive again, 2 s hysteresis, 5 s until contracts
	// lapse, rounded up.
	splitTail = 15 * time.Second
	// waitMargin is added to the waiting limit: two attempts of up to 30 s
	// without a first byte and the search for another server.
	waitMargin = 100 * time.Second
)

// sample looks at all daemons again and again.
func (f *fleet) sample() {
	for sleep(f.ctx, sampleEvery) {
		for _, n := range f.nodes {
			if core, life := n.running(); core != nil {
				f.sampleRevision(n, core.Config().Revision)
				f.sampleLeaving(n)
				if life.Err() == nil {
					f.sampleLimits(n)
				}
			}
		}
		f.spreadRevisions()
	}
}

// sampleRevision checks that the revision in force only grows.
func (f *fleet) sampleRevision(n *node, revision uint64) {
	n.mu.Lock()
	old := n.revision
	n.revision = revision
	n.mu.Unlock()
	if revision < old {
		f.history.violate(checkRevision, n.vm.Name, "revision %d after %d", revision, old)
	}
	if !n.calm(time.Now().Add(-revisionWithin)) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.first[revision]; !ok {
		f.first[revision] = time.Now()
	}
}

// spreadRevisions checks that a revision which a reachable daemon has is in
// force at all daemons that were reachable since.
func (f *fleet) spreadRevisions() {
	f.mu.Lock()
	first := map[uint64]time.Time{}
	for r, at := range f.first {
		if time.Since(at) > revisionWithin {
			first[r] = at
			delete(f.first, r)
			f.first[r] = at.Add(365 * 24 * time.Hour)
		}
	}
	f.mu.Unlock()
	for r, at := range first {
		f.history.count("revisions followed", 1)
		for _, n := range f.nodes {
			core, _ := n.running()
			if core != nil && n.calm(at.Add(-revisionWithin)) && core.Config().Revision < r {
				f.history.violate(checkRevision, n.vm.Name, "revision %d in force, not %d, after %v",
					core.Config().Revision, r, revisionWithin)
			}
		}
	}
}

// sampleLeaving notes since when a reachable daemon lists a server as leaving.
func (f *fleet) sampleLeaving(n *node) {
	core, _ := n.running()
	if core == nil || !n.calm(time.Now().Add(-leavingWithin)) {
		return
	}
	for name := range f.servers {
		left := core.ServerState(name) == wigeonladder.StateLeaving && f.registry.state(name) == wigeonladder.StateLeaving
		f.mu.Lock()
		if _, known := f.leaving[name]; left && !known {
			f.leaving[name] = time.Now()
		}
		f.mu.Unlock()
	}
}

// stays notes that a server is listed as live again.
func (f *fleet) stays(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leaving, name)
}

// sent checks an attempt whose first byte is written now. Its contract had
// arrived before the given time.
func (f *fleet) sent(k *client, s *server, c *call, a wigeonladder.Attempt, since time.Time) {
	f.history.note(c.name, "%s attempt %d is written to %s", a.Request.ID, a.Number, s.spec.Name)
	f.history.count("attempts", 1)
	if age := time.Since(since); age > wigeonladder.ContractUseTimeout {
		f.history.violate(checkUseBy, c.name, "the contract for %s is used %v after its arrival", s.spec.Name, age)
	}
	f.mu.Lock()
	listed, left := f.leaving[s.spec.Name]
	f.mu.Unlock()
	if !left || time.Since(listed) <= leavingWithin {
		return
	}
	if !k.node.calm(listed) {
		f.history.count("attempts to leaving servers of unreachable daemons", 1)
		return
	}
	f.history.violate(checkLeaving, c.name, "an attempt is written to %s %v after it was listed as leaving",
		s.spec.Name, time.Since(listed))
}

// sampleLimits checks what a home counts against the highest limit.
func (f *fleet) sampleLimits(n *node) {
	core, _ := n.running()
	if core == nil {
		return
	}
	for _, s := range core.HomeDump().Servers {
		over := s.InUse - f.servers[s.Name].spec.MaxSlots
		if over <= 0 {
			continue
		}
		f.history.peak("most contracts over the limit of a home", over)
		if f.whole(time.Now().Add(-splitTail)) {
			f.history.violate(checkLimit, n.vm.Name, "%d contracts in use on %s with at most %d slots",
				s.InUse, s.Name, f.servers[s.Name].spec.MaxSlots)
		}
	}
}

// judge checks the whole history of calls.
func (f *fleet) judge() {
	runs := map[string][]execution{}
	byRequest := map[string]bool{}
	for _, e := range f.history.executions {
		runs[e.call] = append(runs[e.call], e)
		byRequest[e.request] = true
	}
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		c, l := f.calls[name], runs[name]
		if c.once && len(l) > 1 {
			f.history.violateAt(l[1].at, checkDoubled, name, "%d executions", len(l))
		}
		if c.crash {
			f.judgeCrash(c, l)
		}
		if c.once {
			f.judgeFinal(c, l)
		}
	}
	for _, s := range f.history.sendings {
		f.judgeAnswer(s)
		f.judgeWait(s)
		if !s.call.once && s.code.Info().Outcome == wigeonladder.NotRun && byRequest[s.request] {
			f.history.violateAt(s.end, checkNotRun, s.call.name, "%s ends with %v but it executed", s.request, s.code)
		}
	}
	f.history.count("executions", len(f.history.executions))
	f.history.count("sendings", len(f.history.sendings))
}

// judgeFinal checks the final answer to a ticket whose call executed. A caller
// that sends through two daemons at once goes by the better of the two answers.
func (f *fleet) judgeFinal(c *call, l []execution) {
	if c.final == nil {
		return
	}
	f.history.count("final answers to executed tickets", 1)
	if c.final.code.Info().Outcome == wigeonladder.NotRun {
		f.history.violateAt(c.final.end, checkNotRun, c.name, "the final answer %s is %v but it executed at %.3fs on %s",
			c.final.request, c.final.code, l[0].at.Sub(f.history.start).Seconds(), l[0].server)
	}
}

// judgeCrash checks how many servers a crashing request broke.
func (f *fleet) judgeCrash(c *call, l []execution) {
	servers := map[string]bool{}
	for _, e := range l {
		servers[e.server] = true
	}
	f.history.count("servers lost to crashing requests", len(l))
	f.history.peak("most servers lost to one request", len(servers))
	if len(servers) <= 2 {
		return
	}
	if c.disturbed {
		f.history.count("crashing requests beyond two servers during splits", 1)
		return
	}
	f.history.violateAt(l[2].at, checkCrash, c.name, "%d servers were lost", len(servers))
}

// judgeAnswer checks that the answer is the caller's own and complete.
func (f *fleet) judgeAnswer(s *sending) {
	complete := len(s.body) == s.call.tokens
	for i, part := range s.body {
		if part != s.call.part(i) {
			f.history.violateAt(s.end, checkCrossed, s.call.name, "%s got %q as part %d", s.request, part, i)
			return
		}
	}
	if s.code != wigeonladder.CodeOK {
		return
	}
	f.history.count("complete answers", 1)
	if !complete {
		f.history.violateAt(s.end, checkCrossed, s.call.name, "%s got %d of %d parts as complete: %s",
			s.request, len(s.body), s.call.tokens, strings.Join(s.body, " "))
	}
}

// judgeWait checks that a sending ended in time.
func (f *fleet) judgeWait(s *sending) {
	took := s.end.Sub(s.start)
	f.history.peak("longest request in ms", int(took.Milliseconds()))
	if took > maxWait+waitMargin {
		f.history.violateAt(s.end, checkWait, s.call.name, "%s took %v", s.request, took)
	}
}
