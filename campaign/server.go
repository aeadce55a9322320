package campaign

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// failureMode is how a backend server misbehaves; empty if it does not.
type failureMode string

// The failure modes.
const (
	modeSlow   failureMode = "slow"
	modeHang   failureMode = "hangs"
	modeRefuse failureMode = "refuses"
	modeDrop   failureMode = "drops answers"
	modeCross  failureMode = "crosses answers"
)

// The times of a backend server, and the factor of modeSlow.
const (
	tokenTime  = 20 * time.Millisecond
	callTime   = 150 * time.Millisecond
	slowFactor = 10
	// crashDelay is how long a crashing request runs before the server crashes.
	crashDelay = 100 * time.Millisecond
	// restartDelay is how long a crashed server is down.
	restartDelay = 3 * time.Second
)

// reply is one part of an answer: a token or the body, or the error that ends
// the answer. A reply with neither ends a complete answer.
type reply struct {
	part string
	err  *wigeonladder.Error
}

// server is a backend server.
type server struct {
	spec     wigeonladder.Server
	kind     wigeonladder.ServiceKind
	history  *history
	fleetCtx context.Context

	mu   sync.Mutex
	mode failureMode
	down bool
	// lifetime ends when the server crashes.
	lifetime        context.Context
	endLifetime     context.CancelFunc
	runningRequests int
	peakRequests    int
}

// newServer returns a running server.
func newServer(fleetCtx context.Context, spec wigeonladder.Server, kind wigeonladder.ServiceKind, h *history) *server {
	s := &server{spec: spec, kind: kind, history: h, fleetCtx: fleetCtx}
	s.restart()
	return s
}

func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.lifetime, s.endLifetime = context.WithCancel(s.fleetCtx)
}

// crash breaks all running calls and stops the server for restartDelay.
func (s *server) crash(subject, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.history.note(subject, "%s crashes: %s", s.spec.Name, why)
	s.down = true
	s.endLifetime()
	time.AfterFunc(restartDelay, s.restart)
}

// setFailureMode sets the failure mode to the mode to. An empty to ends the mode
// from and no other, so that the end of a fault does not end a later fault.
func (s *server) setFailureMode(from, to failureMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == from || to != "" {
		s.mode = to
	}
}

// state returns the failure mode, whether the server is down, and its lifetime.
func (s *server) state() (failureMode, bool, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.down, s.lifetime
}

// beginRequest counts a running request. The returned function ends it.
func (s *server) beginRequest() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningRequests++
	s.peakRequests = max(s.peakRequests, s.runningRequests)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runningRequests--
	}
}

// runningCount returns the number of running requests.
func (s *server) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningRequests
}

// brokenConnection returns the error of a connection that closed before the end
// of the answer.
func brokenConnection(server, why string) *wigeonladder.Error {
	return wigeonladder.Errorf(wigeonladder.CodeBroken, server, "%s", why)
}

// serve runs one attempt. It sends at most one reply for each token and one
// more. A model server stops when the connection is closed; a plain server does
// not.
func (s *server) serve(connClosed context.Context, c *call, a wigeonladder.Attempt, out chan<- reply) {
	m, down, lifetime := s.state()
	switch {
	case down:
		out <- reply{err: brokenConnection(s.spec.Name, "reset")}
		return
	case m == modeRefuse:
		out <- reply{err: wigeonladder.Errorf(wigeonladder.CodeRefused, s.spec.Name, "busy")}
		return
	}
	s.history.recordExecution(execution{c.name, a.Request.ID, s.spec.Name, time.Now()})
	defer s.beginRequest()()
	ctx, cancel := context.WithCancel(lifetime)
	defer cancel()
	if s.kind == wigeonladder.KindModel {
		defer context.AfterFunc(connClosed, cancel)()
	}
	out <- reply{err: s.runCall(ctx, c, a, m, out)}
}

// runCall runs the call and returns its error, or nil after a complete answer.
func (s *server) runCall(ctx context.Context, c *call, a wigeonladder.Attempt, m failureMode, out chan<- reply) *wigeonladder.Error {
	if c.crashesServers {
		sleep(ctx, crashDelay)
		s.crash(c.name, "runs "+c.name)
		return brokenConnection(s.spec.Name, "reset")
	}
	if m == modeCross {
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, s.spec.Name, "the answer of another attempt")
	}
	step, parts, from := callTime, 1, 0
	if s.kind == wigeonladder.KindModel {
		step, parts, from = tokenTime, c.tokens, int(a.ResumeFrom)
	}
	if m == modeSlow {
		step *= slowFactor
	}
	for i := from; i < parts; i++ {
		if m == modeHang && i >= parts/2 {
			<-ctx.Done()
		}
		if !sleep(ctx, step) {
			return brokenConnection(s.spec.Name, "reset")
		}
		if m == modeDrop && i == parts-1 {
			return brokenConnection(s.spec.Name, "the answer was dropped")
		}
		out <- reply{part: c.part(i)}
	}
	return nil
}

// part returns the text of one part of the answer to a call.
func (c *call) part(i int) string { return fmt.Sprintf("%s:%d", c.name, i) }
