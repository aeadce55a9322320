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
	zones = 3
	// keyTrust is how long a withdrawn key may be accepted.
	keyTrust = 5 * time.Second
	// leaveTime is how long a server that leaves may get calls.
	leaveTime = 2 * time.Second
	// recoverTime is the time after the last fault in which the fleet serves
	// again.
	recoverTime = 12 * time.Second
	// settleTime is how long the fleet is checked after that.
	settleTime = 3 * time.Second
	// engineEvents is the number of events of a stream.
	engineEvents = 6
	// serverPace is the time before an answer and between two events.
	serverPace = 15 * time.Millisecond
	// startWithin bounds the start of the fleet.
	startWithin = 30 * time.Second
)

// Options are the settings of a soak.
type Options struct {
	// Binary is the program under test.
	Binary string
	Seed   uint64
	// FaultDuration is the time with faults.
	FaultDuration time.Duration
	// Daemons, Servers and Callers are numbers.
	Daemons, Servers, Callers int
	// Dir gets settings and logs of the daemons.
	Dir string
	// FaultLog gets a line for each fault; nil for none.
	FaultLog io.Writer
}

// Result is what a soak saw.
type Result struct {
	Calls, Served, Faults int
	// CallsAfterRecovery is the number of calls after the recovery time, ServedAfterRecovery how many
	// of these were served.
	CallsAfterRecovery, ServedAfterRecovery int
	Violations                              []string
}

// soak is one run.
type soak struct {
	o       Options
	random  *rand.Rand
	store   *stub.Store
	link    *proxy
	servers []*backend
	fleet   []*process
	check   *checker
	started time.Time

	mu     sync.Mutex
	config route.Document
}

// backend is a backend server behind a proxy.
type backend struct {
	*stub.Server
	link *proxy
	// listed is the entry, whose address is that of the proxy.
	listed wigeonladder.Instance
}

// Run runs a soak. The error says that it could not run; what the fleet did wrong
// is in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &soak{o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	done := s.call(load)
	s.faults(ctx)
	s.heal()
	sleep(ctx, recoverTime)
	s.check.recovered()
	sleep(ctx, settleTime)
	stop()
	done.Wait()
	return s.check.result(s.servers), ctx.Err()
}

// start starts the stand-ins and the fleet.
func (s *soak) start(ctx context.Context) error {
	l, err := listen(ctx)
	if err != nil {
		return err
	}
	s.store = stub.NewStore(l)
	if s.link, err = newProxy(ctx, s.store.Address()); err != nil {
		return err
	}
	for i := range s.o.Servers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.config = document()
	s.check = newChecker()
	s.store.PutConfig(s.config)
	var seeds []string
	for i := range s.o.Daemons {
		settings := newSettings(i, s.link.address(), seeds)
		if len(seeds) < zones {
			seeds = append(seeds, settings.PeerAddress)
		}
		p, err := newProcess(s.o.Binary, s.o.Dir, settings)
		if err != nil {
			return err
		}
		if err := p.start(ctx); err != nil {
			return err
		}
		s.fleet = append(s.fleet, p)
	}
	return s.await(ctx)
}

// await waits until all daemons are ready.
func (s *soak) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for _, p := range s.fleet {
		for !stub.Ready(ctx, p.settings.ReadinessAddress) {
			if !sleep(ctx, 20*time.Millisecond) {
				return errors.Errorf("%s is not ready after %v", p.settings.Name, startWithin)
			}
		}
	}
	return nil
}

// addServer starts the n-th backend server. Every third one is an application.
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
	b.EventCount, b.Delay = engineEvents, serverPace
	if b.link, err = newProxy(ctx, l.Addr().String()); err != nil {
		return err
	}
	b.listed = b.Instance()
	b.listed.Address = b.link.address()
	s.servers = append(s.servers, b)
	s.store.PutServer(b.listed)
	return nil
}

// close ends what the soak started.
func (s *soak) close() {
	for _, p := range s.fleet {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
	}
	for _, b := range s.servers {
		b.link.close()
		b.Close()
	}
	if s.link != nil {
		s.link.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// say writes a line about a fault.
func (s *soak) say(format string, args ...any) {
	if s.o.FaultLog != nil {
		_, _ = fmt.Fprintf(s.o.FaultLog, "%7.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// sleep waits for a time; it reports false if the context ended.
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

// TempDir returns a new directory for settings and logs.
func TempDir() (string, error) { return os.MkdirTemp("", "soak-") }
