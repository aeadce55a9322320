package campaign

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// mode is what a backend server does wrong.
type mode string

// The modes.
const (
	modeSlow   mode = "slow"
	modeHang   mode = "hangs"
	modeRefuse mode = "refuses"
	modeDrop   mode = "drops answers"
	modeCross  mode = "crosses answers"
)

// Times of a backend server.
const (
	tokenTime = 20 * time.Millisecond
	callTime  = 150 * time.Millisecond
	slowness  = 10
	// crashAfter is how long a crashing request runs before the server is gone.
	crashAfter = 100 * time.Millisecond
	// restartAfter is how long a crashed server is away.
	restartAfter = 3 * time.Second
)

// reply is one part of what a server sends back.
type reply struct {
	part string
	err  *wigeonladder.Error
}

// server is one backend server.
type server struct {
	spec    wigeonladder.Server
	kind    wigeonladder.ServiceKind
	history *history
	end     context.Context

	mu   sync.Mutex
	mode mode
	down bool
	// life ends when the server crashes.
	life    context.Context
	crashed context.CancelFunc
	running int
	peak    int
}

// newServer returns a running server.
func newServer(end context.Context, spec wigeonladder.Server, kind wigeonladder.ServiceKind, h *history) *server {
	s := &server{spec: spec, kind: kind, history: h, end: end}
	s.restart()
	return s
}

// restart starts the server.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.life, s.crashed = context.WithCancel(s.end)
}

// crash ends all work of the server and stops it for a while.
func (s *server) crash(subject, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.history.note(subject, "%s crashes: %s", s.spec.Name, why)
	s.down = true
	s.crashed()
	time.AfterFunc(restartAfter, s.restart)
}

// setMode sets what the server does wrong, if its mode is the given one.
func (s *server) setMode(from, to mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == from || to != "" {
		s.mode = to
	}
}

// state returns the mode and whether the server is down.
func (s *server) state() (mode, bool, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.down, s.life
}

// begin counts a running request and returns its end.
func (s *server) begin() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}

// load returns the number of running requests.
func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// broken is the error of a connection that ended early.
func broken(server, why string) *wigeonladder.Error {
	return wigeonladder.Errorf(wigeonladder.CodeBroken, server, "%s", why)
}

// serve runs one attempt. It sends at most one reply for each token and one
// more. A model stops when the connection is gone; a plain service does not.
func (s *server) serve(gone context.Context, c *call, a wigeonladder.Attempt, out chan<- reply) {
	m, down, life := s.state()
	switch {
	case down:
		out <- reply{err: broken(s.spec.Name, "reset")}
		return
	case m == modeRefuse:
		out <- reply{err: wigeonladder.Errorf(wigeonladder.CodeRefused, s.spec.Name, "busy")}
		return
	}
	s.history.execute(execution{c.name, a.Request.ID, s.spec.Name, time.Now()})
	defer s.begin()()
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	if s.kind == wigeonladder.KindModel {
		defer context.AfterFunc(gone, cancel)()
	}
	out <- reply{err: s.work(ctx, c, a, m, out)}
}

// work runs the call and returns how it fails; nil for a complete answer.
func (s *server) work(ctx context.Context, c *call, a wigeonladder.Attempt, m mode, out chan<- reply) *wigeonladder.Error {
	if c.crash {
		sleep(ctx, crashAfter)
		s.crash(c.name, "runs "+c.name)
		return broken(s.spec.Name, "reset")
	}
	if m == modeCross {
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, s.spec.Name, "the answer of another attempt")
	}
	step, parts, from := callTime, 1, 0
	if s.kind == wigeonladder.KindModel {
		step, parts, from = tokenTime, c.tokens, int(a.ResumeFrom)
	}
	if m == modeSlow {
		step *= slowness
	}
	for i := from; i < parts; i++ {
		if m == modeHang && i >= parts/2 {
			<-ctx.Done()
		}
		if !sleep(ctx, step) {
			return broken(s.spec.Name, "reset")
		}
		if m == modeDrop && i == parts-1 {
			return broken(s.spec.Name, "the answer was dropped")
		}
		out <- reply{part: c.part(i)}
	}
	return nil
}

// part returns the text of one part of the answer to a call.
func (c *call) part(i int) string { return fmt.Sprintf("%s:%d", c.name, i) }
