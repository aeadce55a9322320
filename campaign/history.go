package campaign

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// The names of the checks in violations.
const (
	checkAtMostOnce = "doubled"
	checkOwnAnswer  = "crossed"
	checkNotRun     = "false not run"
	checkLost       = "lost contract"
	checkLimit      = "over limit"
	checkRevision   = "revision"
	checkLeaving    = "leaving"
	checkWait       = "wait"
	checkCrash      = "crashing request"
	checkUseTimeout = "late use"
	checkShutdown   = "planned stop"
	checkRecovery   = "back to normal"
)

// A trace shows the faults up to traceMargin before and after the events of a
// violation. traceLines limits its length.
const (
	traceMargin = 2 * time.Second
	traceLines  = 60
)

// event is one line of the history.
type event struct {
	at time.Time
	// subject is a call or a VM; empty for faults, which belong to every trace.
	subject string
	text    string
}

// execution is one run of a call at a backend server.
type execution struct {
	call, request, server string
	at                    time.Time
}

// sending is one transmission of a call by its caller, with the answer.
type sending struct {
	call *call
	// request is the request ID; empty if the sending reached no daemon.
	request string
	node    string
	start   time.Time
	end     time.Time
	code    wigeonladder.Code
	body    []string
	// callerMayLeave is true if the caller may disconnect before the answer.
	callerMayLeave bool
}

// Violation is one violated invariant: the check, the call or VM that it
// concerns, and the time.
type Violation struct {
	Check   string
	Subject string
	Text    string
	At      time.Time
}

// history records the events of one run.
type history struct {
	start time.Time

	mu         sync.Mutex
	events     []event
	executions []execution
	sendings   []*sending
	violations []Violation
	counts     map[string]int
}

// note adds an event.
func (h *history) note(subject, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{time.Now(), subject, fmt.Sprintf(format, args...)})
}

// violate records a violation at the present time.
func (h *history) violate(check, subject, format string, args ...any) {
	h.violateAt(time.Now(), check, subject, format, args...)
}

// violateAt records a violation at a time.
func (h *history) violateAt(at time.Time, check, subject, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, Violation{check, subject, fmt.Sprintf(format, args...), at})
}

// addCount adds to a counter of the report.
func (h *history) addCount(name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name] += n
}

// recordMax raises a counter of the report to a value if it is lower.
func (h *history) recordMax(name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name] = max(h.counts[name], n)
}

// recordExecution records a run of a call.
func (h *history) recordExecution(e execution) {
	h.note(e.call, "%s executes on %s", e.request, e.server)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
}

// recordEnd records the end of a sending.
func (h *history) recordEnd(s *sending) {
	s.end = time.Now()
	h.note(s.call.name, "%s at %s ends with %v after %v", s.request, s.node, s.code, s.end.Sub(s.start))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sendings = append(h.sendings, s)
}

// trace returns the events of the subject of a violation and the faults around
// them.
func (h *history) trace(v Violation) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	first, last := v.At, v.At
	for _, e := range h.events {
		if e.subject == v.Subject && e.subject != "" && e.at.Before(first) {
			first = e.at
		}
	}
	var lines []string
	for _, e := range h.events {
		near := e.subject == "" && e.at.After(first.Add(-traceMargin)) && e.at.Before(last.Add(traceMargin))
		if near || e.subject != "" && e.subject == v.Subject {
			lines = append(lines, fmt.Sprintf("  %9.3fs %-8s %s", e.at.Sub(h.start).Seconds(), e.subject, e.text))
		}
	}
	if len(lines) > traceLines {
		cut := len(lines) - traceLines
		lines = slices.Insert(lines[cut:], 0, fmt.Sprintf("  ... %d lines", cut))
	}
	return strings.Join(lines, "\n")
}
