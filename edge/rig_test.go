package edge_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/edge"
	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
	"github.com/wigeonladder/wigeonladder/setting"
)

// deadline bounds every wait. Only a test that hangs reaches it.
const deadline = 30 * time.Second

// Names that the rig uses.
const (
	host          = "shop.example"
	key           = "key-1"
	otherKey      = "key-2"
	appService    = "app"
	engineService = "model"
)

// rig is a store, backend servers of two services, and daemons on loopback.
type rig struct {
	t                  testing.TB
	store              *stub.Store
	apps               []*stub.Server
	engines            []*stub.Server
	daemons            []*edge.Daemon
	callerAddresses    []string
	readinessAddresses []string
	peerAddresses      []string
	caller             *stub.Caller
	ids                atomic.Int64
	config             route.Document
}

// option changes the rig before its daemons start.
type option func(*setup)

// setup holds what options can change.
type setup struct {
	daemons, apps, engines int
	settings               setting.Edge
}

func withDaemons(n int) option { return func(s *setup) { s.daemons = n } }

func withEngines(n int) option { return func(s *setup) { s.engines = n } }

// withKeyTrust sets how long a withdrawn key may be accepted.
func withKeyTrust(d time.Duration) option {
	return func(s *setup) { s.settings.KeyTrustTime = setting.Duration(d) }
}

// withGrace sets the time that a daemon has to stop.
func withGrace(d time.Duration) option {
	return func(s *setup) { s.settings.ShutdownGracePeriod = setting.Duration(d) }
}

// withRetry sets the retry budget.
func withRetry(ratio, slack float64) option {
	return func(s *setup) {
		s.settings.RetryBudget.Ratio, s.settings.RetryBudget.Slack = setting.Decimal(ratio), setting.Decimal(slack)
	}
}

// newRig starts a rig; it ends with the test.
func newRig(t testing.TB, options ...option) *rig {
	t.Helper()
	s := setup{daemons: 1, apps: 2, engines: 2, settings: setting.DefaultEdge()}
	s.settings.RetryBudget.Slack = 1000
	for _, o := range options {
		o(&s)
	}
	r := &rig{t: t, store: stub.NewStore(listen(t)), caller: stub.NewCaller(true), config: initialConfig()}
	t.Cleanup(r.store.Close)
	t.Cleanup(r.caller.Close)
	for i := range s.apps {
		r.apps = append(r.apps, r.startServer(fmt.Sprintf("app-%d", i), appService))
	}
	for i := range s.engines {
		r.engines = append(r.engines, r.startServer(fmt.Sprintf("model-%d", i), engineService))
	}
	r.store.PutConfig(r.config)
	var seeds []string
	for i := range s.daemons {
		seeds = r.startDaemon(s.settings, i, seeds)
	}
	for i := range r.daemons {
		r.eventually("daemon is ready", func() bool { return stub.Ready(t.Context(), r.readinessAddresses[i]) })
	}
	r.eventually("servers are known", func() bool {
		for _, d := range r.daemons {
			if len(d.Dump().Servers) != s.apps+s.engines || d.Dump().LiveDaemons != s.daemons {
				return false
			}
		}
		return true
	})
	return r
}

// startDaemon starts a daemon and returns the seeds for the next one.
func (r *rig) startDaemon(s setting.Edge, n int, seeds []string) []string {
	r.t.Helper()
	s.Name, s.Zone, s.StoreAddress = fmt.Sprintf("edge-%d", n), "zone-a", r.store.Address()
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress = loopbackAddress(), loopbackAddress(), loopbackAddress()
	s.Seeds = seeds
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	d, err := edge.New(ctx, edge.Options{
		Settings: s,
		NewPlatform: func(dial func(context.Context, string) (net.Conn, error)) edge.Platform {
			return platform.New(s.StoreAddress, dial)
		},
	})
	is.New(r.t).NoErr(err)
	r.daemons = append(r.daemons, d)
	r.callerAddresses = append(r.callerAddresses, s.CallerAddress)
	r.readinessAddresses = append(r.readinessAddresses, s.ReadinessAddress)
	r.peerAddresses = append(r.peerAddresses, s.PeerAddress)
	return append(seeds, s.PeerAddress)
}

// startServer starts a backend server and lists it in the store.
func (r *rig) startServer(name, service string) *stub.Server {
	s := stub.NewServer(listen(r.t), wigeonladder.Instance{ID: name, StartUnixMs: 1, Service: service, Zone: "zone-a", Slots: 8})
	r.t.Cleanup(s.Close)
	r.store.PutServer(s.Instance())
	return s
}

// initialConfig returns the first configuration.
func initialConfig() route.Document {
	return route.Document{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: host, PathPrefix: "/safe/", Kind: route.Safe, Timeout: 3 * time.Second, TargetLatency: time.Second, MaxAttempts: 2, WeightedServices: []route.WeightedService{{Service: appService, Weight: 1}}},
			{Name: "once", Host: host, PathPrefix: "/once/", Kind: route.AtMostOnce, Timeout: 3 * time.Second, TargetLatency: time.Second, MaxAttempts: 1, WeightedServices: []route.WeightedService{{Service: appService, Weight: 1}}},
			{Name: "public", Host: host, PathPrefix: "/public/", Kind: route.Safe, Timeout: 3 * time.Second, MaxAttempts: 1, Public: true, WeightedServices: []route.WeightedService{{Service: appService, Weight: 1}}},
			{Name: "short", Host: host, PathPrefix: "/short/", Kind: route.Safe, Timeout: 300 * time.Millisecond, MaxAttempts: 1, WeightedServices: []route.WeightedService{{Service: appService, Weight: 1}}},
			{Name: "resume", Host: host, PathPrefix: "/stream/resume/", Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 2, WeightedServices: []route.WeightedService{{Service: engineService, Weight: 1}}},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: route.Stream, Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 1, WeightedServices: []route.WeightedService{{Service: engineService, Weight: 1}}},
		},
		Services: []route.Service{
			{Name: appService, MaxConns: 100},
			{Name: engineService, MaxConns: 100, Engine: &route.Engine{Slots: 8, CacheTokens: 100000}},
		},
		Workspaces: []route.Workspace{{Name: "north", Keys: []string{key}}, {Name: "south", Keys: []string{otherKey}}},
		Limits:     route.Limits{TokensPerSecond: 100000},
	}
}

// listen returns a listener on loopback.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

// addresses counts the addresses that loopbackAddress has returned.
var addresses atomic.Int64

// loopbackAddress returns an address on the loopback network that no other
// daemon of the tests uses. It does not look for a free port, because another
// listener could take that port before it is used.
func loopbackAddress() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7400", 130+os.Getpid()%120, n/250, 1+n%250)
}

// eventually waits until a condition holds.
func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(deadline); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// call returns a call of a path with a new id and the first key.
func (r *rig) call(path string) stub.Call {
	return stub.Call{ID: fmt.Sprintf("c-%d", r.ids.Add(1)), Host: host, Path: path, APIKey: key, Timeout: 2 * time.Second, Body: "body of " + path}
}

// do makes a call to the first daemon.
func (r *rig) do(c stub.Call) stub.Reply {
	r.t.Helper()
	reply, err := r.caller.Do(r.t.Context(), r.callerAddresses[0], c)
	is.New(r.t).NoErr(err)
	return reply
}

// runs returns all runs of the call with an id.
func (r *rig) runs(id string) []stub.Run {
	var l []stub.Run
	for _, s := range append(append([]*stub.Server{}, r.apps...), r.engines...) {
		for _, x := range s.Runs() {
			if x.ID == id {
				l = append(l, x)
			}
		}
	}
	return l
}

// setFault sets the fault of all backend servers.
func (r *rig) setFault(f stub.Fault) {
	for _, s := range append(append([]*stub.Server{}, r.apps...), r.engines...) {
		s.SetFault(stub.Always(f))
	}
}

// publish publishes a changed configuration and waits until it is in force.
func (r *rig) publish(change func(*route.Document)) {
	r.t.Helper()
	r.config.Version++
	change(&r.config)
	r.store.PutConfig(r.config)
	for _, d := range r.daemons {
		r.eventually("the configuration is in force", func() bool { return d.Dump().ConfigVersion == r.config.Version })
	}
}

// wantWhole asserts the whole answer to a call of a plain service.
func wantWhole(t testing.TB, c stub.Call, r stub.Reply) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Status, 200)
	is.Equal(r.Body, stub.AnswerBody(c.ID))
	is.Equal(r.Signature, stub.Sign(r.Body))
	is.Equal(r.ID, c.ID)
	is.True(r.Complete)
}

// wantStream asserts a whole stream, which may have been resumed at another
// server.
func wantStream(t testing.TB, c stub.Call, r stub.Reply, events int) {
	t.Helper()
	is := is.New(t)
	var want strings.Builder
	for i := 1; i <= events; i++ {
		want.WriteString(stub.Event(c.ID, i))
	}
	is.Equal(r.Status, 200)
	is.Equal(r.Body, want.String())
	is.Equal(r.Signature, stub.Sign(c.ID))
	is.True(r.Complete)
}

// wantNotRun asserts that a refusal says that the call did not run, and that
// the call did not run.
func (r *rig) wantNotRun(c stub.Call, reply stub.Reply) {
	r.t.Helper()
	is := is.New(r.t)
	is.Equal(reply.Status, 503)
	is.Equal(reply.Signature, "")
	is.True(reply.RetryAfter > 0)
	is.Equal(len(r.runs(c.ID)), 0)
}
