package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// checker collects what callers and backend servers observe and checks it against
// the invariants.
type checker struct {
	mu    sync.Mutex
	calls []observedCall
	// revokedKeys holds the time spans in which the key of a workspace was revoked.
	revokedKeys map[int][]timeSpan
	// disturbances holds the starts of the faults after which a daemon may have
	// forgotten, or read late, what a backend server told it.
	disturbances map[string][]time.Time
	// leavingServers holds the time spans in which a backend server was listed as
	// leaving.
	leavingServers map[string][]timeSpan
	// evacuatedServers holds the time spans in which the zone of a backend server was
	// evacuated.
	evacuatedServers map[string][]timeSpan
	// storeFaults holds the time spans in which daemons may lag behind the store
	// because of its faults.
	storeFaults []timeSpan
	recoveredAt time.Time
	faults      int
	violations  []string
}

// timeSpan is the time between two points. A span without an end has not ended yet.
type timeSpan struct{ from, to time.Time }

// contains reports whether t is in the span and more than grace after its start.
func (s timeSpan) contains(t time.Time, grace time.Duration) bool {
	return t.After(s.from.Add(grace)) && (s.to.IsZero() || t.Before(s.to))
}

// observedCall is one call and what its caller observed. The workspace is -1 for a
// call without a key. The field callerGone says that the caller gave up before the
// answer was complete. The field daemonUndisturbed is the result of isUndisturbed
// for the called daemon at the end of the call.
type observedCall struct {
	call              stub.Call
	workspace         int
	daemon            string
	prefix            string
	sent              time.Time
	ended             time.Time
	reply             stub.Reply
	err               error
	callerGone        bool
	daemonUndisturbed bool
}

func newChecker() *checker {
	return &checker{revokedKeys: map[int][]timeSpan{}, disturbances: map[string][]time.Time{}, leavingServers: map[string][]timeSpan{}, evacuatedServers: map[string][]timeSpan{}}
}

// recordCall adds a call that has ended.
func (c *checker) recordCall(s observedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, s)
}

func (c *checker) countFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// addViolation adds the description of a violation.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// keyRevoked records that the store has acknowledged the revocation of a key.
func (c *checker) keyRevoked(workspace int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedKeys[workspace] = append(c.revokedKeys[workspace], timeSpan{from: at})
}

// keyRestored records that a key is about to be restored.
func (c *checker) keyRestored(workspace int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedKeys[workspace] = closeLast(c.revokedKeys[workspace])
}

// serverLeaves records that a server was listed as leaving.
func (c *checker) serverLeaves(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingServers[server] = append(closeLast(c.leavingServers[server]), timeSpan{from: at})
}

// serverReturns records that a server is about to be listed as live again.
func (c *checker) serverReturns(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingServers[server] = closeLast(c.leavingServers[server])
}

// closeLast ends the last span if it has not ended.
func closeLast(l []timeSpan) []timeSpan {
	if n := len(l); n > 0 && l[n-1].to.IsZero() {
		l[n-1].to = time.Now()
	}
	return l
}

// storeFault records that the store or the way to it is faulty for a time. Daemons
// may lag behind the store for disturbanceTime longer.
func (c *checker) storeFault(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.storeFaults = append(c.storeFaults, timeSpan{from: now, to: now.Add(d + disturbanceTime)})
}

// endRecovery records that the recovery time is over. Calls from now on must be
// served.
func (c *checker) endRecovery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredAt = time.Now()
}

// result checks all calls against what the backend servers ran and returns the
// outcome.
func (c *checker) result(servers []*backend) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string][]stub.Run{}
	for _, b := range servers {
		for _, r := range b.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	out := Result{Calls: len(c.calls), Faults: c.faults}
	known := map[string]bool{}
	for _, s := range c.calls {
		known[s.call.ID] = true
		served := s.err == nil && s.reply.Status == 200 && s.reply.Complete
		if served {
			out.Served++
		}
		if !c.recoveredAt.IsZero() && s.sent.After(c.recoveredAt) && !s.callerGone {
			out.CallsAfterRecovery++
			if served {
				out.ServedAfterRecovery++
			}
		}
		c.checkCall(s, runs[s.call.ID])
	}
	c.checkNotices(servers)
	for id, l := range runs {
		if !known[id] {
			c.addViolationLocked("server %s ran call %s, which no caller made", l[0].Instance, id)
		}
	}
	if out.ServedAfterRecovery < out.CallsAfterRecovery*9/10 {
		c.addViolationLocked("%d of %d calls were served after the recovery time", out.ServedAfterRecovery, out.CallsAfterRecovery)
	}
	out.Violations = c.violations
	return out
}

// addViolationLocked is addViolation for callers that hold the lock.
func (c *checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkCall checks the answer and the runs of one call.
func (c *checker) checkCall(s observedCall, runs []stub.Run) {
	id := s.call.ID
	c.checkRuns(s, runs)
	if s.err != nil {
		return
	}
	switch status := s.reply.Status; {
	case status == 200 && strings.HasPrefix(s.prefix, "/stream/"):
		c.checkStream(s)
	case status == 200:
		if s.reply.Complete && (s.reply.Body != stub.AnswerBody(id) || s.reply.Signature != stub.Sign(s.reply.Body)) {
			c.addViolationLocked("call %s (%s) got a wrong answer: %.60q", id, s.prefix, s.reply.Body)
		}
		if len(runs) == 0 {
			c.addViolationLocked("call %s (%s) was answered but never ran", id, s.prefix)
		}
	case (status == 503 || status == 429 || status == 408 || status == 421) && len(runs) > 0:
		if s.prefix == "/once/" || s.prefix == "/stream/plain/" {
			c.addViolationLocked("call %s (%s) got status %d although it ran at %s", id, s.prefix, status, runs[0].Instance)
		}
	}
}

// checkStream checks that a stream has its events in order, and all of them if it
// is complete.
func (c *checker) checkStream(s observedCall) {
	id, rest := s.call.ID, s.reply.Body
	n := 0
	for n < streamEvents && strings.HasPrefix(rest, stub.Event(id, n+1)) {
		n++
		rest = rest[len(stub.Event(id, n)):]
	}
	if rest != "" {
		c.addViolationLocked("stream %s (%s) has wrong data after event %d: %.60q", id, s.prefix, n, rest)
	}
	if s.reply.Complete && n < streamEvents {
		c.addViolationLocked("stream %s (%s) ended as complete after %d events", id, s.prefix, n)
	}
}

// checkRuns checks the runs of one call on the backend servers: their number, their
// content, the key and that the servers were not leaving.
func (c *checker) checkRuns(s observedCall, runs []stub.Run) {
	id := s.call.ID
	maxRuns := map[string]int{"/once/": 1, "/stream/plain/": 1}[s.prefix]
	if maxRuns > 0 && len(runs) > maxRuns {
		c.addViolationLocked("call %s (%s) ran %d times", id, s.prefix, len(runs))
	}
	workspace := ""
	if s.workspace >= 0 {
		workspace = fmt.Sprintf("w%d", s.workspace)
	}
	for _, r := range runs {
		if r.Path != s.call.Path || r.Body != s.call.Body || r.Workspace != workspace || r.Authorization != "" {
			c.addViolationLocked("call %s (%s) reached %s changed: path %q, workspace %q", id, s.prefix, r.Instance, r.Path, r.Workspace)
		}
		for _, span := range c.revokedKeys[s.workspace] {
			if span.contains(s.sent, keyTrustTime) {
				c.addViolationLocked("call %s ran %v after its key was revoked", id, s.sent.Sub(span.from))
			}
		}
		c.checkEvacuation(s, r)
		for _, span := range c.leavingServers[r.Instance] {
			if s.daemonUndisturbed && span.contains(s.sent, leavingServerGrace) && span.contains(r.ReceivedAt, leavingServerGrace) && !c.hadStoreFault(span.from, r.ReceivedAt) {
				c.addViolationLocked("call %s ran at %s %v after it was listed as leaving", id, r.Instance, r.ReceivedAt.Sub(span.from))
			}
		}
	}
}

// hadStoreFault reports whether the store was faulty at some time between two
// points.
func (c *checker) hadStoreFault(from, to time.Time) bool {
	for _, span := range c.storeFaults {
		if span.from.Before(to) && span.to.After(from) {
			return true
		}
	}
	return false
}
