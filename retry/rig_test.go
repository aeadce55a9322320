package retry

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// placeTime is how long the rig takes to grant a contract, workTime how
	// long a server takes to run a request.
	placeTime = time.Millisecond
	workTime  = 50 * time.Millisecond
)

// rig is a placer and a backend on virtual time, with servers whose failures a
// test can set. A server crashes with all its requests when it runs one whose
// body starts with "crash".
type rig struct {
	mu        sync.Mutex
	random    *rand.Rand
	servers   []string
	freeSlots map[string]int
	up        map[string]bool
	states    map[string]wigeonladder.VMState
	// fail, if set, can fail an attempt after it was sent. If it returns nil,
	// the attempt runs normally.
	fail func(a wigeonladder.Attempt, s wigeonladder.Sink) error
	// before, if set, runs ahead of the check before sending.
	before func(a wigeonladder.Attempt)

	// avoided is the Avoid list of the last placement.
	avoided    []string
	lastNumber uint64
	// openReleases counts the outstanding releases of each contract.
	openReleases map[uint64]int
	sent         []wigeonladder.Attempt
	crashed      []string
	crashSignals map[string]chan struct{}
}

func newRig(t *testing.T, servers, slots int) *rig {
	v := rand.Uint64()
	t.Logf("seed %d", v)
	g := &rig{
		random: rand.New(rand.NewPCG(v, 0)), freeSlots: map[string]int{}, up: map[string]bool{},
		states: map[string]wigeonladder.VMState{}, openReleases: map[uint64]int{}, crashSignals: map[string]chan struct{}{},
	}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		g.servers = append(g.servers, name)
		g.freeSlots[name], g.up[name], g.crashSignals[name] = slots, true, make(chan struct{})
	}
	return g
}

func (g *rig) runner(s *Suspects) *Runner {
	return NewRunner(Options{
		Placer: g, Backend: g, Suspects: s, Seed: 1, OnNewSuspicion: func() {},
		LookupServer: func(name string) (wigeonladder.Server, bool) {
			return wigeonladder.Server{Name: name}, true
		},
		ServerState: func(name string) wigeonladder.VMState {
			g.mu.Lock()
			defer g.mu.Unlock()
			if st, ok := g.states[name]; ok {
				return st
			}
			return wigeonladder.StateLive
		},
	})
}

// Place grants a random free slot of a server that is up.
func (g *rig) Place(ctx context.Context, r wigeonladder.Request) (wigeonladder.Contract, error) {
	g.mu.Lock()
	g.avoided = r.Avoid
	g.mu.Unlock()
	for {
		select {
		case <-time.After(placeTime):
		case <-ctx.Done():
			return wigeonladder.Contract{}, wigeonladder.Errorf(wigeonladder.CodeCallerGone, r.ID, "gone")
		}
		if c, ok := g.grant(); ok {
			return c, nil
		}
	}
}

func (g *rig) grant() (wigeonladder.Contract, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.random.Perm(len(g.servers)) {
		name := g.servers[i]
		if g.up[name] && g.freeSlots[name] > 0 {
			g.freeSlots[name]--
			g.lastNumber++
			g.openReleases[g.lastNumber] = 1
			id := wigeonladder.ContractID{HomeIncarnation: "h", Number: g.lastNumber}
			return wigeonladder.Contract{ID: id, Server: name, Received: time.Now()}, true
		}
	}
	return wigeonladder.Contract{}, false
}

func (g *rig) Progress(wigeonladder.Contract, int64) {}

func (g *rig) Release(c wigeonladder.Contract, _ wigeonladder.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openReleases[c.ID.Number]--
	g.freeSlots[c.Server]++
}

func (g *rig) Load(context.Context, wigeonladder.Server) (wigeonladder.Load, error) {
	return wigeonladder.Load{}, nil
}

// Do runs an attempt as a backend server does.
func (g *rig) Do(ctx context.Context, a wigeonladder.Attempt, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	if g.before != nil {
		g.before(a)
	}
	if err := a.BeforeSend(); err != nil {
		return wigeonladder.Usage{Failed: true}, err
	}
	g.mu.Lock()
	g.sent = append(g.sent, a)
	broken := g.crashSignals[a.Server.Name]
	g.mu.Unlock()
	if g.fail != nil {
		if err := g.fail(a, s); err != nil {
			return wigeonladder.Usage{Failed: true, Cost: 1}, err
		}
	}
	if strings.HasPrefix(string(a.Request.Body), "crash") {
		time.Sleep(workTime / 2)
		g.crashServer(a.Server.Name)
	}
	select {
	case <-broken:
		return wigeonladder.Usage{Failed: true, Cost: 1}, wigeonladder.Errorf(wigeonladder.CodeBroken, a.Server.Name, "connection lost")
	case <-ctx.Done():
		return wigeonladder.Usage{Failed: true, Cost: 1}, ctx.Err()
	case <-time.After(workTime):
	}
	if err := s.Start(200, "text/plain"); err != nil {
		return wigeonladder.Usage{Failed: true, Cost: 1}, err
	}
	return wigeonladder.Usage{Cost: 1}, s.Write([]byte("done"), 0)
}

// crashServer fails all requests that run on a server and restarts it.
func (g *rig) crashServer(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed = append(g.crashed, name)
	close(g.crashSignals[name])
	g.crashSignals[name] = make(chan struct{})
}

// expectAllReleased asserts that every contract was released exactly once.
func (g *rig) expectAllReleased(is *is.I) {
	is.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, count := range g.openReleases {
		if count != 0 {
			is.Equal(fmt.Sprintf("contract %d has %d outstanding releases", id, count), "")
		}
	}
}

// answer is a sink that records its input.
type answer struct {
	starts int
	parts  []string
	err    error
}

func (a *answer) Start(int, string) error { a.starts++; return a.err }

func (a *answer) Write(p []byte, _ int64) error {
	a.parts = append(a.parts, string(p))
	return a.err
}

// bubble runs a test on virtual time and checks at the end that every contract
// was released.
func bubble(t *testing.T, servers, slots int, test func(context.Context, *is.I, *rig)) {
	t.Helper()
	g := newRig(t, servers, slots)
	synctest.Test(t, func(t *testing.T) {
		for _, name := range g.servers {
			g.crashSignals[name] = make(chan struct{}) // a channel of the bubble
		}
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, is, g)
		cancel()
		synctest.Wait()
		g.expectAllReleased(is)
	})
}

func request(body string) wigeonladder.Request {
	return wigeonladder.Request{ID: body, Workspace: "w", Service: "v", Path: "/p", Body: []byte(body)}
}

// expectCode asserts the code of an error.
func expectCode(is *is.I, err error, want wigeonladder.Code) {
	is.Helper()
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		is.Equal(err, want)
		return
	}
	is.Equal(e.Code, want)
}

// placed lists the servers of the attempts that were sent, in order.
func (g *rig) placed() []string {
	var l []string
	for _, a := range g.sent {
		l = append(l, a.Server.Name)
	}
	return l
}

func (g *rig) setState(server string, s wigeonladder.VMState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[server] = s
}

// dropAll drops all suspicions, which simulates daemons without them.
func (s *Suspects) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = map[uint64]*list.Element{}
	s.order.Init()
}
