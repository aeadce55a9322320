package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// zones is the number of availability zones.
	zones = 3
	// keyTrustTime is how long daemons may accept a key after it was revoked.
	keyTrustTime = 5 * time.Second
	// leavingServerGrace is how long a backend server may get calls after it was
	// listed as leaving.
	leavingServerGrace = 2 * time.Second
	// recoveryTime is the time after the last fault within which the fleet must
	// serve calls again.
	recoveryTime = 12 * time.Second
	// finalCheckTime is how long calls go on after the recovery time, to check that
	// they are served.
	finalCheckTime = 3 * time.Second
	// streamEvents is the number of events of a stream.
	streamEvents = 6
	// serverEventDelay is the time before an answer and between two events.
	serverEventDelay = 15 * time.Millisecond
	// startTimeout is how long the start of the fleet may take.
	startTimeout = 30 * time.Second
)

// Options are the settings of a soak run.
type Options struct {
	// Binary is the path of the program under test.
	Binary string
	Seed   uint64
	// FaultDuration is the time in which faults are injected.
	FaultDuration time.Duration
	// Daemons, Servers and Callers are how many of each take part.
	Daemons, Servers, Callers int
	// Dir is the directory for the settings and logs of the daemons.
	Dir string
	// FaultLog gets a line for each fault, unless it is nil.
	FaultLog io.Writer
}

// Result is the outcome of a soak run. Violations describes each observation that
// breaks an invariant.
type Result struct {
	Calls, Served, Faults int
	// CallsAfterRecovery is the number of calls that were sent after the recovery
	// time and whose callers waited for the answer. ServedAfterRecovery is how many
	// of these were served.
	CallsAfterRecovery, ServedAfterRecovery int
	Violations                              []string
}

// soak is one run.
type soak struct {
	options    Options
	random     *rand.Rand
	store      *stub.Store
	storeProxy *proxy
	servers    []*backend
	daemons    []*process
	checker    *checker
	startedAt  time.Time

	mu     sync.Mutex
	config route.Document
	// evacuated is the zone that is evacuated; empty for none.
	evacuated string

	entriesMu sync.Mutex
	// entries contains the entries of the servers as they were written last.
	entries map[string]wigeonladder.Instance
}

// backend is a backend server behind a proxy.
type backend struct {
	*stub.Server
	proxy *proxy
	// storeEntry is the server's entry in the store, with the address of the proxy.
	storeEntry wigeonladder.Instance
}

// Run executes a soak run. It returns an error if the run could not be executed or
// was canceled; the violations are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &soak{options: o, entries: map[string]wigeonladder.Instance{}, random: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	callers := s.startCallers(callCtx)
	s.injectFaults(ctx)
	s.endFaults()
	sleep(ctx, recoveryTime)
	s.checker.endRecovery()
	sleep(ctx, finalCheckTime)
	stop()
	callers.Wait()
	return s.checker.result(s.servers), ctx.Err()
}

// start starts the stand-ins and the daemons, and waits until the daemons are
// ready.
func (s *soak) start(ctx context.Context) error {
	l, err := listen(ctx)
	if err != nil {
		return err
	}
	s.store = stub.NewStore(l)
	if s.storeProxy, err = newProxy(ctx, s.store.Address()); err != nil {
		return err
	}
	for i := range s.options.Servers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.config = initialConfig()
	s.checker = newChecker()
	s.store.PutConfig(s.config)
	var seeds []string
	for i := range s.options.Daemons {
		settings := newSettings(i, s.storeProxy.address(), seeds)
		if len(seeds) < zones {
			seeds = append(seeds, settings.PeerAddress)
		}
		p, err := newProcess(s.options.Binary, s.options.Dir, settings)
		if err != nil {
			return err
		}
		if err := p.start(ctx); err != nil {
			return err
		}
		s.daemons = append(s.daemons, p)
	}
	return s.awaitReady(ctx)
}

// awaitReady waits until all daemons are ready.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range s.daemons {
		for !stub.Ready(ctx, p.settings.ReadinessAddress) {
			if !sleep(ctx, 20*time.Millisecond) {
				return errors.Errorf("%s is not ready after %v", p.settings.Name, startTimeout)
			}
		}
	}
	return nil
}

// addServer starts the n-th backend server. Every third one serves the application,
// the others the model.
func (s *soak) addServer(ctx context.Context, n int) error {
	l, err := listen(ctx)
	if err != nil {
		return err
	}
	service := modelService
	if n%3 == 0 {
		service = appService
	}
	b := &backend{Server: stub.NewServer(l, wigeonladder.Instance{
		ID: fmt.Sprintf("server-%d", n), StartUnixMs: time.Now().UnixMilli(), Service: service,
		Zone: fmt.Sprintf("zone-%d", n%zones), Slots: 8,
	})}
	b.EventCount, b.Delay = streamEvents, serverEventDelay
	if b.proxy, err = newProxy(ctx, l.Addr().String()); err != nil {
		return err
	}
	b.storeEntry = b.Instance()
	b.storeEntry.Address = b.proxy.address()
	s.servers = append(s.servers, b)
	s.putServer(b.storeEntry)
	return nil
}

// close stops all processes and stand-ins.
func (s *soak) close() {
	for _, p := range s.daemons {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
	}
	for _, b := range s.servers {
		b.proxy.close()
		b.Close()
	}
	if s.storeProxy != nil {
		s.storeProxy.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// logFault writes a line with the time since the start to the fault log.
func (s *soak) logFault(format string, args ...any) {
	if s.options.FaultLog != nil {
		_, _ = fmt.Fprintf(s.options.FaultLog, "%7.3f %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// sleep waits for a duration. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// TempDir creates a directory for the settings and logs of a run.
func TempDir() (string, error) { return os.MkdirTemp("", "soak-") }
