package edge_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

// Guards against calls that are sent to a backend server which is leaving or
// has been removed.
func TestLeavingServer(t *testing.T) {
	for name, leave := range map[string]func(*rig){
		"listed as leaving": func(r *rig) {
			i := r.apps[0].Instance()
			i.Leaving = true
			r.store.PutServer(i)
		},
		"removed": func(r *rig) { r.store.RemoveServer(r.apps[0].Instance().ID) },
		"unreadable": func(r *rig) {
			r.store.PutRawServer(r.apps[0].Instance().ID, []byte(`{"service":7}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			leave(r)
			r.eventually("the server is listed as leaving or not at all", func() bool {
				for _, s := range r.daemons[0].Dump().Servers {
					if s.Server == r.apps[0].Instance().ID && !s.Leaving {
						return false
					}
				}
				return true
			})
			before := len(r.apps[0].Runs())
			for range 10 {
				c := r.call("/once/x")
				wantWhole(t, c, r.do(c))
			}
			is.New(t).Equal(len(r.apps[0].Runs()), before)
		})
	}
}

// Guards against a call that runs at another server which has taken over the
// address of the intended one.
func TestAddressIsUsedAgain(t *testing.T) {
	r := newRig(t)
	for _, s := range r.apps {
		i := s.Instance()
		i.ID += "-gone"
		r.store.PutServer(i)
		r.store.RemoveServer(s.Instance().ID)
	}
	r.eventually("the new names are known", func() bool {
		n := 0
		for _, s := range r.daemons[0].Dump().Servers {
			if s.Service == appService && len(s.Server) > len("app-0") {
				n++
			}
		}
		return n == len(r.apps)
	})
	c := r.call("/once/x")
	r.wantNotRun(c, r.do(c))
}

// Guards against unreadable entries of other writers that make a service
// unavailable.
func TestForeignEntries(t *testing.T) {
	r := newRig(t)
	for i, text := range []string{
		`{`, `[]`, `{"service":"app"}`, `{"service":"app","address":1,"zone":"z","slots":1,"state":"ready"}`, "\xff\xfe",
		`{"service":"app","address":"127.0.0.1:1","zone":"z","slots":1,"state":"odd"}`,
	} {
		r.store.PutRawServer(fmt.Sprintf("foreign-%d", i), []byte(text))
	}
	r.publish(func(*route.Document) {})
	for range 5 {
		c := r.call("/once/x")
		wantWhole(t, c, r.do(c))
	}
	is.New(t).Equal(len(r.daemons[0].Dump().Servers), 4)
}

// Guards against an old configuration that stays in force or returns.
func TestConfigurationChanges(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	old := r.config
	r.publish(func(d *route.Document) {
		d.Routes = d.Routes[1:]
		d.Workspaces = d.Workspaces[:1]
	})
	is.Equal(r.do(r.call("/safe/x")).Status, 404)
	c := r.call("/once/x")
	c.APIKey = otherKey
	is.Equal(r.do(c).Status, 401)
	r.store.PutConfig(old)
	r.store.Compact()
	r.publish(func(*route.Document) {})
	is.Equal(r.do(r.call("/safe/x")).Status, 404)
}

// Guards against a daemon that cannot reach the store and still accepts a key
// which may have been withdrawn, and against such a daemon refusing calls that
// need no key.
func TestKeysNeedAFreshConfiguration(t *testing.T) {
	r := newRig(t, withKeyTrust(3*time.Second))
	r.store.SetMode(stub.Silent)
	r.eventually("the daemon no longer trusts keys", func() bool { return !stub.Ready(t.Context(), r.readinessAddresses[0]) })
	c := r.call("/safe/x")
	r.wantNotRun(c, r.do(c))
	c = r.call("/public/x")
	c.APIKey = ""
	wantWhole(t, c, r.do(c))
	r.store.SetMode(stub.Answering)
	r.eventually("the daemon is ready again", func() bool { return stub.Ready(t.Context(), r.readinessAddresses[0]) })
	c = r.call("/safe/x")
	wantWhole(t, c, r.do(c))
}

// Guards against a faulty store that stops the daemon from serving calls.
func TestStoreFaults(t *testing.T) {
	for name, m := range map[string]stub.Mode{"refusing": stub.Refusing, "resetting": stub.Resetting, "silent": stub.Silent} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.store.SetMode(m)
			for range 10 {
				c := r.call("/once/x")
				wantWhole(t, c, r.do(c))
			}
			r.store.SetMode(stub.Answering)
			r.publish(func(*route.Document) {})
		})
	}
}

// Guards against a planned stop that cuts off calls.
func TestStopCutsNothing(t *testing.T) {
	r := newRig(t, withDaemons(2))
	for _, s := range append(r.apps, r.engines...) {
		s.Delay = 20 * time.Millisecond
	}
	var failed atomic.Int64
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 8 {
		callers.Go(func() {
			caller := stub.NewCaller(true)
			defer caller.Close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c := r.call([]string{"/once/x", "/stream/x"}[n%2])
				at := r.callerAddresses[0]
				if !stub.Ready(t.Context(), r.readinessAddresses[0]) {
					at = r.callerAddresses[1]
				}
				reply, err := caller.Do(t.Context(), at, c)
				if err != nil && len(r.runs(c.ID)) == 0 {
					continue // the connection ended between two calls
				}
				if err != nil || reply.Status != 200 || !reply.Complete {
					t.Logf("call %s: %v, status %d", c.ID, err, reply.Status)
					failed.Add(1)
				}
			}
		})
	}
	r.eventually("calls run", func() bool { return len(r.apps[0].Runs())+len(r.apps[1].Runs()) > 20 })
	r.daemons[0].Stop(t.Context())
	close(stop)
	callers.Wait()
	is.New(t).Equal(failed.Load(), int64(0))
}

// Guards against a call that may not be repeated, is taken late in the grace period of
// a planned stop and is cut off at its end.
func TestStopRefusesCallsThatItWouldCut(t *testing.T) {
	is := is.New(t)
	r := newRig(t, withDaemons(2), withGrace(2*time.Second))
	for _, s := range r.apps {
		s.Delay = 1900 * time.Millisecond
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.daemons[0].Stop(t.Context())
	}()
	r.eventually("the daemon stops", func() bool { return r.daemons[0].Dump().Leaving })
	for range 3 {
		c := r.call("/once/x")
		r.wantNotRun(c, r.do(c))
	}
	c := r.call("/once/x")
	wantWhole(t, c, r.doAt(1, c))
	<-stopped
	is.Equal(r.daemons[0].Dump().OpenCalls, 0)
}

// arrivalsAt returns the number of calls that reached a server.
func arrivalsAt(s *stub.Server) int { return len(s.Arrivals()) }

// Guards against calls to a server that says in an answer that it leaves, against a
// store entry that brings it back, and against other daemons that are not told.
func TestServersSayThatTheyLeave(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, withDaemons(2))
			servers := r.apps
			if path == "/stream/x" {
				servers = r.engines
			}
			leaving := servers[0]
			leaving.SetLeaving(true)
			said := false
			r.eventually("the server says that it leaves", func() bool {
				reply := r.do(r.call(path))
				is.Equal(reply.Status, 200)
				said = stub.SaysLeaving(reply.Header)
				return said
			})
			arrived := arrivalsAt(leaving)
			is.Equal(arrived, 1)
			r.eventually("the other daemon is told", func() bool {
				for _, s := range r.daemons[1].Dump().Servers {
					if s.Server == leaving.Instance().ID {
						return s.Unavailable != ""
					}
				}
				return false
			})
			r.store.PutServer(leaving.Instance())
			for range 20 {
				is.Equal(r.do(r.call(path)).Status, 200)
				reply, err := r.caller.Do(t.Context(), r.callerAddresses[1], r.call(path))
				is.NoErr(err)
				is.Equal(reply.Status, 200)
			}
			is.Equal(arrivalsAt(leaving), arrived)
			// A new incarnation takes calls once the other server leaves.
			leaving.SetLeaving(false)
			servers[1].SetLeaving(true)
			i := leaving.Instance()
			i.StartUnixMs++
			r.store.PutServer(i)
			r.eventually("the new incarnation gets calls", func() bool {
				return r.do(r.call(path)).Status == 200 && arrivalsAt(leaving) > arrived
			})
		})
	}
}

// Guards against calls to a server before the time is over for which it asked for
// none, and against callers that wait while no server takes calls.
func TestServersAskForAPause(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	const pause = 1500 * time.Millisecond
	r.apps[0].Pause(pause)
	began := time.Now()
	for time.Since(began) < pause/2 {
		is.Equal(r.do(r.call("/once/x")).Status, 200)
	}
	is.Equal(arrivalsAt(r.apps[0]), 1)
	r.apps[1].Pause(pause)
	var delay time.Duration
	r.eventually("no server takes calls", func() bool {
		c := r.call("/once/x")
		sent := time.Now()
		reply := r.do(c)
		if reply.Status == 200 {
			return false
		}
		r.wantNotRun(c, reply)
		is.True(time.Since(sent) < c.Timeout/2)
		delay = reply.RetryAfter
		return true
	})
	is.True(delay <= pause-time.Since(began)+100*time.Millisecond)
	for time.Since(began) < pause-100*time.Millisecond {
		r.do(r.call("/once/x"))
	}
	is.Equal(arrivalsAt(r.apps[0]), 1)
	r.eventually("the first server takes calls again", func() bool { return r.do(r.call("/once/x")).Status == 200 })
}

// relayedDaemons returns the number of daemons for which another one reads the store.
func (r *rig) relayedDaemons() int {
	n := 0
	for _, d := range r.daemons {
		if d.Dump().StoreRelayed {
			n++
		}
	}
	return n
}

// Guards against daemons of one zone that all read the store, and against changes that
// get lost when the daemon that reads for the others stops.
func TestOneDaemonReadsTheStore(t *testing.T) {
	is := is.New(t)
	r := newRig(t, withDaemons(5), withKeyTrust(5*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		for ctx.Err() == nil {
			r.store.PutServer(r.apps[0].Instance())
			time.Sleep(50 * time.Millisecond)
		}
	})
	defer heartbeats.Wait()
	defer cancel()
	r.eventually("four of five daemons follow the fifth", func() bool { return r.relayedDaemons() == 4 })
	is.True(!r.daemons[4].Dump().StoreRelayed)
	r.publish(func(d *route.Document) { d.Workspaces[1].Keys = nil })
	c := r.call("/safe/x")
	c.APIKey = otherKey
	is.Equal(r.do(c).Status, 401)
	r.store.RemoveServer(r.apps[1].Instance().ID)
	r.eventually("the server is removed everywhere", func() bool {
		for _, d := range r.daemons {
			if len(d.Dump().Servers) != 3 {
				return false
			}
		}
		return true
	})

	r.daemons[4].Stop(t.Context())
	r.daemons = r.daemons[:4]
	r.publish(func(d *route.Document) { d.Workspaces[1].Keys = []string{otherKey} })
	is.Equal(r.do(c).Status, 200)
	r.eventually("three of four daemons follow the fourth", func() bool { return r.relayedDaemons() == 3 })
	r.store.SetMode(stub.Refusing)
	r.eventually("no daemon is ready without the store", func() bool {
		for _, a := range r.readinessAddresses[:4] {
			if stub.Ready(t.Context(), a) {
				return false
			}
		}
		return true
	})
}
