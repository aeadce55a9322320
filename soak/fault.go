package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 500 * time.Millisecond
	// maxFaultDuration is the upper bound of the random duration of a fault.
	maxFaultDuration = 4 * time.Second
	// limitStream is the stream of the random numbers for limitServer.
	limitStream = 1 << 20
)

// injectFaults injects random faults for the time Options.FaultDuration. It does not
// wait until a fault has ended before it injects the next.
func (s *soak) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.FaultDuration)
	defer cancel()
	s.limitServer()
	s.evacuateZone(ctx)
	s.restoreStore(ctx)
	for sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanFaultInterval)))) {
		s.checker.countFault()
		duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
		choices := []func(context.Context, time.Duration){
			s.disturbServerProxy, s.disturbServerProxy, s.setServerFault, s.setServerFault, s.markServerLeaving, s.leaveByAnswers, s.pauseServer,
			s.disturbStoreProxy, s.setStoreMode, s.pauseDaemon, s.killDaemon, s.stopDaemon, s.reloadDaemon,
			s.changeConfig, s.toggleKey, s.compactStore,
		}
		choices[s.random.IntN(len(choices))](ctx, duration)
	}
}

// runAfter calls a function after a time, or when the injection of faults ends.
func runAfter(ctx context.Context, d time.Duration, f func()) {
	go func() {
		sleep(ctx, d)
		f()
	}()
}

func (s *soak) randomServer() *backend { return s.servers[s.random.IntN(len(s.servers))] }

// disturbServerProxy disturbs the connections to a random backend server. If the
// chosen mode is PassThrough, it resets them once instead.
func (s *soak) disturbServerProxy(ctx context.Context, d time.Duration) {
	b, mode := s.randomServer(), ProxyMode(s.random.IntN(int(proxyModes)))
	s.checker.daemonDisturbed(allDaemons)
	if mode == PassThrough {
		s.logFault("connections of %s are reset", b.storeEntry.ID)
		b.proxy.resetConns()
		return
	}
	s.logFault("connections to %s: proxy mode %d for %v", b.storeEntry.ID, mode, d)
	b.proxy.setMode(mode)
	runAfter(ctx, d, func() { b.proxy.setMode(PassThrough) })
}

// setServerFault makes a random backend server inject a fault into every n-th call.
// The number n is random, from 1 to 4.
func (s *soak) setServerFault(ctx context.Context, d time.Duration) {
	b := s.randomServer()
	f := stub.ResetAnswer + stub.Fault(s.random.IntN(int(stub.RepeatedRefusal-stub.ResetAnswer)+1))
	every := 1 + s.random.IntN(4)
	s.logFault("%s has fault %d in one of %d calls for %v", b.storeEntry.ID, f, every, d)
	b.SetFault(func(n int, _ *http.Request) stub.Fault {
		if n%every == 0 {
			return f
		}
		return stub.NoFault
	})
	runAfter(ctx, d, func() { b.SetFault(nil) })
}

// markServerLeaving lists a random backend server as leaving, and later as live
// again.
func (s *soak) markServerLeaving(ctx context.Context, d time.Duration) {
	b := s.randomServer()
	s.logFault("%s is listed as leaving for %v", b.storeEntry.ID, leavingServerGrace+d)
	leaving := s.entry(b)
	leaving.Leaving = true
	s.putServer(leaving)
	s.checker.serverLeaves(b.storeEntry.ID, time.Now())
	runAfter(ctx, leavingServerGrace+d, func() {
		s.checker.serverReturns(b.storeEntry.ID)
		s.putServer(s.entry(b))
	})
}

// entry returns the store entry of a server.
func (s *soak) entry(b *backend) wigeonladder.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.storeEntry
}

// leaveByAnswers makes a random backend server say in its answers that it leaves,
// while the store lists it as live. Then a new incarnation takes its place.
func (s *soak) leaveByAnswers(ctx context.Context, d time.Duration) {
	b := s.randomServer()
	s.logFault("%s says that it leaves for %v", b.storeEntry.ID, leavingServerGrace+d)
	b.SetLeaving(true)
	runAfter(ctx, leavingServerGrace+d, func() { s.replaceServer(b) })
}

// replaceServer lists a new incarnation of a server under the same name and address.
func (s *soak) replaceServer(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.serverReturns(b.storeEntry.ID)
	b.SetLeaving(false)
	b.SetLimit("")
	b.storeEntry.StartUnixMs++
	s.putServer(b.storeEntry)
}

// pauseServer makes a random backend server refuse all calls for a time and ask for
// none.
func (s *soak) pauseServer(_ context.Context, d time.Duration) {
	b := s.randomServer()
	s.logFault("%s refuses calls for %v", b.storeEntry.ID, d)
	b.Pause(d)
}

// limitServer makes a server name a limit until its incarnation ends. The server is
// chosen apart from the other faults, so that a seed keeps those.
func (s *soak) limitServer() {
	random := rand.New(rand.NewPCG(s.options.Seed, limitStream))
	b := s.servers[random.IntN(len(s.servers))]
	limit := strconv.Itoa(2 + random.IntN(6))
	s.logFault("%s names a limit of %s calls a second", b.storeEntry.ID, limit)
	b.SetLimit(limit)
}

// disturbStoreProxy disturbs the connections to the store.
func (s *soak) disturbStoreProxy(ctx context.Context, d time.Duration) {
	mode := Delayed + ProxyMode(s.random.IntN(int(proxyModes)-1))
	s.logFault("connections to the store: proxy mode %d for %v", mode, d)
	s.checker.storeFault(d)
	s.storeProxy.setMode(mode)
	runAfter(ctx, d, func() { s.storeProxy.setMode(PassThrough) })
}

// setStoreMode makes the store refuse requests, close their connections or not
// answer.
func (s *soak) setStoreMode(ctx context.Context, d time.Duration) {
	m := stub.Refusing + stub.Mode(s.random.IntN(int(stub.Silent-stub.Refusing)+1))
	s.logFault("the store has mode %d for %v", m, d)
	s.checker.storeFault(d)
	s.store.SetMode(m)
	runAfter(ctx, d, func() { s.store.SetMode(stub.Answering) })
}

// compactStore makes the store discard its history, so that watches from an earlier
// revision fail.
func (s *soak) compactStore(context.Context, time.Duration) {
	s.logFault("the store compacts its history")
	s.store.Compact()
}

func (s *soak) randomDaemon() *process { return s.daemons[s.random.IntN(len(s.daemons))] }

// pauseDaemon pauses a random daemon by SIGSTOP.
func (s *soak) pauseDaemon(ctx context.Context, d time.Duration) {
	p := s.randomDaemon()
	s.logFault("%s is paused for %v", p.settings.Name, d)
	s.checker.daemonDisturbed(p.settings.Name)
	p.signal(syscall.SIGSTOP)
	runAfter(ctx, d, func() {
		s.checker.daemonDisturbed(p.settings.Name)
		p.signal(syscall.SIGCONT)
	})
}

// killDaemon kills a random daemon and starts it again.
func (s *soak) killDaemon(ctx context.Context, _ time.Duration) {
	p := s.randomDaemon()
	s.logFault("%s is killed", p.settings.Name)
	s.checker.daemonDisturbed(p.settings.Name)
	p.stop(syscall.SIGKILL)
	s.restart(ctx, p)
}

// stopDaemon shuts a random daemon down gracefully and starts it again. The
// shutdown overlaps with earlier faults, and calls go on meanwhile. A second SIGTERM
// follows after a random time and counts as a fault of its own.
func (s *soak) stopDaemon(ctx context.Context, _ time.Duration) {
	p := s.randomDaemon()
	s.logFault("%s is stopped", p.settings.Name)
	s.checker.daemonDisturbed(p.settings.Name)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	sleep(ctx, time.Duration(s.random.Int64N(int64(meanFaultInterval))))
	s.checker.countFault()
	p.stop(syscall.SIGTERM)
	s.restart(ctx, p)
}

// restart starts a daemon again. A failure is a violation.
func (s *soak) restart(ctx context.Context, p *process) {
	if err := p.start(ctx); err != nil {
		s.checker.addViolation("%s does not start: %v", p.settings.Name, err)
	}
}

// reloadDaemon rewrites the settings file of a random daemon, and in two of three
// cases sends SIGHUP, upon which the daemon reloads it.
func (s *soak) reloadDaemon(context.Context, time.Duration) {
	p := s.randomDaemon()
	s.logFault("the settings file of %s is rewritten", p.settings.Name)
	if err := p.writeSettings(); err != nil {
		s.checker.addViolation("%s: %v", p.settings.Name, err)
	}
	if s.random.IntN(3) > 0 {
		p.signal(syscall.SIGHUP)
	}
}

// changeConfig publishes a configuration with another timeout of a random route.
func (s *soak) changeConfig(context.Context, time.Duration) {
	s.publishConfig(func(d *route.Document) {
		d.Routes = append([]route.Route{}, d.Routes...)
		d.Routes[s.random.IntN(len(d.Routes))].Timeout = time.Duration(2000+s.random.IntN(3000)) * time.Millisecond
	})
}

// toggleKey revokes the key of a random workspace, or restores it if it is revoked.
func (s *soak) toggleKey(context.Context, time.Duration) {
	n := s.random.IntN(workspaces)
	revoked := false
	s.publishConfig(func(d *route.Document) {
		d.Workspaces = append([]route.Workspace{}, d.Workspaces...)
		if revoked = len(d.Workspaces[n].Keys) > 0; revoked {
			d.Workspaces[n].Keys = nil
		} else {
			d.Workspaces[n].Keys = []string{workspaceKey(n)}
			s.checker.keyRestored(n)
		}
	})
	if revoked {
		s.checker.keyRevoked(n, time.Now())
	}
}

// publishConfig changes the configuration and publishes it under a higher version.
func (s *soak) publishConfig(change func(*route.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 1 + s.random.Int64N(5)
	change(&s.config)
	s.logFault("version %d of the configuration is published", s.config.Version)
	s.store.PutConfig(s.config)
}

// endFaults ends all faults and restores all keys.
func (s *soak) endFaults() {
	s.logFault("all faults end")
	s.storeProxy.setMode(PassThrough)
	s.store.SetMode(stub.Answering)
	s.restoreZone()
	for _, b := range s.servers {
		b.proxy.setMode(PassThrough)
		b.SetFault(nil)
		b.Pause(0)
		s.replaceServer(b)
	}
	for _, p := range s.daemons {
		p.signal(syscall.SIGCONT)
	}
	s.publishConfig(func(d *route.Document) {
		d.Workspaces = initialConfig().Workspaces
		for n := range workspaces {
			s.checker.keyRestored(n)
		}
	})
}
