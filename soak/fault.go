package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// faultEvery is the mean time between two faults.
	faultEvery = 500 * time.Millisecond
	// faultMost is the longest duration of one.
	faultMost = 4 * time.Second
)

// faults injects faults until the time is over. Each ends by itself; the next does
// not wait for that.
func (s *soak) faults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.o.FaultDuration)
	defer cancel()
	for sleep(ctx, time.Duration(s.random.Int64N(int64(2*faultEvery)))) {
		s.check.fault()
		length := time.Duration(s.random.Int64N(int64(faultMost)))
		choices := []func(context.Context, time.Duration){
			s.troubleServer, s.troubleServer, s.faultyServer, s.faultyServer, s.leavingServer,
			s.troubleStore, s.storeMode, s.pauseDaemon, s.killDaemon, s.stopDaemon, s.reloadDaemon,
			s.changeConfig, s.withdrawKey, s.compact,
		}
		choices[s.random.IntN(len(choices))](ctx, length)
	}
}

// after runs a function after a time, or at the end of the faults.
func after(ctx context.Context, d time.Duration, f func()) {
	go func() {
		sleep(ctx, d)
		f()
	}()
}

// pick returns a random backend server.
func (s *soak) pick() *backend { return s.servers[s.random.IntN(len(s.servers))] }

// troubleServer troubles the way to a backend server.
func (s *soak) troubleServer(ctx context.Context, d time.Duration) {
	b, t := s.pick(), ProxyMode(s.random.IntN(int(proxyModes)))
	if t == PassThrough {
		s.say("connections of %s are reset", b.listed.ID)
		b.link.reset()
		return
	}
	s.say("way to %s: trouble %d for %v", b.listed.ID, t, d)
	b.link.set(t)
	after(ctx, d, func() { b.link.set(PassThrough) })
}

// faultyServer makes a backend server fail a part of its calls.
func (s *soak) faultyServer(ctx context.Context, d time.Duration) {
	b := s.pick()
	f := stub.ResetAnswer + stub.Fault(s.random.IntN(int(stub.CloseDelimitedAnswer-stub.ResetAnswer)+1))
	every := 1 + s.random.IntN(4)
	s.say("%s has fault %d at every call in %d for %v", b.listed.ID, f, every, d)
	b.SetFault(func(n int, _ *http.Request) stub.Fault {
		if n%every == 0 {
			return f
		}
		return stub.NoFault
	})
	after(ctx, d, func() { b.SetFault(nil) })
}

// leavingServer lists a backend server as leaving, and then as started anew.
func (s *soak) leavingServer(ctx context.Context, d time.Duration) {
	b := s.pick()
	s.say("%s leaves for %v", b.listed.ID, leaveTime+d)
	gone := b.listed
	gone.Leaving = true
	s.store.PutServer(gone)
	s.check.leaves(b.listed.ID, time.Now())
	after(ctx, leaveTime+d, func() {
		s.check.returns(b.listed.ID)
		s.store.PutServer(b.listed)
	})
}

// troubleStore troubles the way to the store.
func (s *soak) troubleStore(ctx context.Context, d time.Duration) {
	t := Delayed + ProxyMode(s.random.IntN(int(proxyModes)-1))
	s.say("way to the store: trouble %d for %v", t, d)
	s.check.storeTrouble(d)
	s.link.set(t)
	after(ctx, d, func() { s.link.set(PassThrough) })
}

// storeMode makes the store answer badly.
func (s *soak) storeMode(ctx context.Context, d time.Duration) {
	m := stub.Refusing + stub.Mode(s.random.IntN(int(stub.Silent-stub.Refusing)+1))
	s.say("the store has mode %d for %v", m, d)
	s.check.storeTrouble(d)
	s.store.SetMode(m)
	after(ctx, d, func() { s.store.SetMode(stub.Answering) })
}

// compact drops the store's history.
func (s *soak) compact(context.Context, time.Duration) {
	s.say("the store drops its history")
	s.store.Compact()
}

// daemon returns a random daemon.
func (s *soak) daemon() *process { return s.fleet[s.random.IntN(len(s.fleet))] }

// pauseDaemon pauses a daemon.
func (s *soak) pauseDaemon(ctx context.Context, d time.Duration) {
	p := s.daemon()
	s.say("%s is paused for %v", p.settings.Name, d)
	p.signal(syscall.SIGSTOP)
	after(ctx, d, func() { p.signal(syscall.SIGCONT) })
}

// killDaemon kills a daemon and starts it again.
func (s *soak) killDaemon(ctx context.Context, _ time.Duration) {
	p := s.daemon()
	s.say("%s is killed", p.settings.Name)
	p.stop(syscall.SIGKILL)
	s.restart(ctx, p)
}

// stopDaemon stops a daemon and starts it again. Faults go on meanwhile.
func (s *soak) stopDaemon(ctx context.Context, _ time.Duration) {
	p := s.daemon()
	s.say("%s is stopped", p.settings.Name)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	sleep(ctx, time.Duration(s.random.Int64N(int64(faultEvery))))
	s.check.fault()
	p.stop(syscall.SIGTERM)
	s.restart(ctx, p)
}

// restart starts a daemon again.
func (s *soak) restart(ctx context.Context, p *process) {
	if err := p.start(ctx); err != nil {
		s.check.violate("%s does not start: %v", p.settings.Name, err)
	}
}

// reloadDaemon rewrites the settings of a daemon and mostly tells it.
func (s *soak) reloadDaemon(context.Context, time.Duration) {
	p := s.daemon()
	s.say("%s reloads", p.settings.Name)
	if err := p.write(); err != nil {
		s.check.violate("%s: %v", p.settings.Name, err)
	}
	if s.random.IntN(3) > 0 {
		p.signal(syscall.SIGHUP)
	}
}

// changeConfig publishes a new version that changes a timeout and adds a route.
func (s *soak) changeConfig(context.Context, time.Duration) {
	s.publish(func(d *route.Document) {
		d.Routes = append([]route.Route{}, d.Routes...)
		d.Routes[s.random.IntN(len(d.Routes))].Timeout = time.Duration(2000+s.random.IntN(3000)) * time.Millisecond
	})
}

// withdrawKey withdraws the key of a workspace, or gives it back.
func (s *soak) withdrawKey(context.Context, time.Duration) {
	n := s.random.IntN(keys)
	gone := false
	s.publish(func(d *route.Document) {
		d.Workspaces = append([]route.Workspace{}, d.Workspaces...)
		if gone = len(d.Workspaces[n].Keys) > 0; gone {
			d.Workspaces[n].Keys = nil
		} else {
			d.Workspaces[n].Keys = []string{keyOf(n)}
			s.check.granted(n)
		}
	})
	if gone {
		s.check.withdrawn(n, time.Now())
	}
}

// publish publishes a changed configuration.
func (s *soak) publish(change func(*route.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 1 + s.random.Int64N(5)
	change(&s.config)
	s.say("version %d of the configuration", s.config.Version)
	s.store.PutConfig(s.config)
}

// heal ends all faults and gives all keys back.
func (s *soak) heal() {
	s.say("all faults end")
	s.link.set(PassThrough)
	s.store.SetMode(stub.Answering)
	for _, b := range s.servers {
		b.link.set(PassThrough)
		b.SetFault(nil)
		s.check.returns(b.listed.ID)
		s.store.PutServer(b.listed)
	}
	for _, p := range s.fleet {
		p.signal(syscall.SIGCONT)
	}
	s.publish(func(d *route.Document) {
		d.Workspaces = document().Workspaces
		for n := range keys {
			s.check.granted(n)
		}
	})
}
