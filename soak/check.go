package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// checker compares what callers and backend servers see with what must always
// hold.
type checker struct {
	mu    sync.Mutex
	calls []seen
	// gone holds the time at which keys were withdrawn, by workspace, as spans.
	gone map[int][]span
	// leaving holds the spans in which servers were listed as leaving.
	leaving map[string][]span
	// unsound are the spans in which the store was in trouble.
	unsound []span
	late    time.Time
	faults  int
	found   []string
}

// span is a time with a start and an end; one without an end goes on.
type span struct{ from, to time.Time }

// holds reports whether a time is in the span, from a while after its start.
func (s span) holds(t time.Time, after time.Duration) bool {
	return t.After(s.from.Add(after)) && (s.to.IsZero() || t.Before(s.to))
}

// seen is one call and what its caller saw.
type seen struct {
	call      stub.Call
	workspace int
	kind      string
	sent      time.Time
	ended     time.Time
	reply     stub.Reply
	err       error
	left      bool
	inTouch   bool
}

// newChecker returns a checker that has seen nothing.
func newChecker() *checker {
	return &checker{gone: map[int][]span{}, leaving: map[string][]span{}}
}

// ended takes a call.
func (c *checker) ended(s seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, s)
}

// fault counts a fault.
func (c *checker) fault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// violate records what must not be.
func (c *checker) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// withdrawn notes that the store has acknowledged the end of a key.
func (c *checker) withdrawn(workspace int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[workspace] = append(c.gone[workspace], span{from: at})
}

// granted notes that a key is about to be given back.
func (c *checker) granted(workspace int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[workspace] = closeLast(c.gone[workspace])
}

// leaves and returns note that a server leaves and is back.
func (c *checker) leaves(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[server] = append(closeLast(c.leaving[server]), span{from: at})
}

// returns notes that a server is about to be listed as live again.
func (c *checker) returns(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[server] = closeLast(c.leaving[server])
}

// closeLast ends the last span if it is open.
func closeLast(l []span) []span {
	if n := len(l); n > 0 && l[n-1].to.IsZero() {
		l[n-1].to = time.Now()
	}
	return l
}

// storeTrouble notes that the store is in trouble for a time.
func (c *checker) storeTrouble(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.unsound = append(c.unsound, span{from: now, to: now.Add(d + touchTime)})
}

// recovered notes that the time to recover is over.
func (c *checker) recovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = time.Now()
}

// result checks all calls against all runs.
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
		if !c.late.IsZero() && s.sent.After(c.late) && !s.left {
			out.CallsAfterRecovery++
			if served {
				out.ServedAfterRecovery++
			}
		}
		c.judge(s, runs[s.call.ID])
	}
	for id, l := range runs {
		if !known[id] {
			c.add("server %s ran call %s, which nobody made", l[0].Instance, id)
		}
	}
	if out.ServedAfterRecovery < out.CallsAfterRecovery*9/10 {
		c.add("%d of %d calls served after the recovery", out.ServedAfterRecovery, out.CallsAfterRecovery)
	}
	out.Violations = c.found
	return out
}

// add records a violation with the lock held.
func (c *checker) add(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// judge checks one call.
func (c *checker) judge(s seen, runs []stub.Run) {
	id := s.call.ID
	c.judgeRuns(s, runs)
	if s.err != nil {
		return
	}
	switch status := s.reply.Status; {
	case status == 200 && strings.HasPrefix(s.kind, "/stream/"):
		c.judgeStream(s)
	case status == 200:
		if s.reply.Complete && (s.reply.Body != stub.AnswerBody(id) || s.reply.Signature != stub.Sign(s.reply.Body)) {
			c.add("call %s (%s) got another answer: %.60q", id, s.kind, s.reply.Body)
		}
		if len(runs) == 0 {
			c.add("call %s (%s) was answered and never ran", id, s.kind)
		}
	case (status == 503 || status == 429 || status == 408 || status == 421) && len(runs) > 0:
		if s.kind == "/once/" || s.kind == "/stream/plain/" {
			c.add("call %s (%s) got status %d and ran at %s", id, s.kind, status, runs[0].Instance)
		}
	}
}

// judgeStream checks that a stream has its events in order, and all if it is
// complete.
func (c *checker) judgeStream(s seen) {
	id, rest := s.call.ID, s.reply.Body
	n := 0
	for n < engineEvents && strings.HasPrefix(rest, stub.Event(id, n+1)) {
		n++
		rest = rest[len(stub.Event(id, n)):]
	}
	if rest != "" {
		c.add("stream %s (%s) goes on wrongly after event %d: %.60q", id, s.kind, n, rest)
	}
	if s.reply.Complete && n < engineEvents {
		c.add("stream %s (%s) looks complete after %d events", id, s.kind, n)
	}
}

// judgeRuns checks what the backend servers saw of a call.
func (c *checker) judgeRuns(s seen, runs []stub.Run) {
	id := s.call.ID
	most := map[string]int{"/once/": 1, "/stream/plain/": 1}[s.kind]
	if most > 0 && len(runs) > most {
		c.add("call %s (%s) ran %d times", id, s.kind, len(runs))
	}
	workspace := ""
	if s.workspace >= 0 {
		workspace = fmt.Sprintf("w%d", s.workspace)
	}
	for _, r := range runs {
		if r.Path != s.call.Path || r.Body != s.call.Body || r.Workspace != workspace || r.Authorization != "" {
			c.add("call %s (%s) ran changed at %s: path %q, workspace %q", id, s.kind, r.Instance, r.Path, r.Workspace)
		}
		for _, g := range c.gone[s.workspace] {
			if g.holds(s.sent, keyTrust) {
				c.add("call %s ran %v after its key was withdrawn", id, s.sent.Sub(g.from))
			}
		}
		for _, l := range c.leaving[r.Instance] {
			if s.inTouch && l.holds(s.sent, leaveTime) && l.holds(r.ReceivedAt, leaveTime) && !c.troubled(l.from, r.ReceivedAt) {
				c.add("call %s ran at %s %v after it was listed as leaving", id, r.Instance, r.ReceivedAt.Sub(l.from))
			}
		}
	}
}

// troubled reports whether the store was in trouble between two times.
func (c *checker) troubled(from, to time.Time) bool {
	for _, u := range c.unsound {
		if u.from.Before(to) && u.to.After(from) {
			return true
		}
	}
	return false
}
