package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// deadline bounds every wait of the tests. It is so long that a wait reaches it
// only if something hangs.
const deadline = 20 * time.Second

// rig is a caller server with two backend servers: an engine, which serves the
// model service scribe, and a desk, which serves the plain service desk.
type rig struct {
	server *caller.Server
	engine *fake.Engine
	desk   *fake.PlainService
	client *backend.Client
	stop   context.CancelFunc
	config atomic.Pointer[wigeonladder.Config]
	caller *fake.Client
}

// newRig starts a rig, which is closed at the end of the test. The function
// change, if any, may change the server's options.
func newRig(t testing.TB, e fake.EngineOptions, change func(*rig, *caller.Options)) *rig {
	t.Helper()
	e.Listener = fake.ListenLoopback()
	r := &rig{engine: fake.NewEngine(e), desk: fake.NewPlainService(fake.PlainServiceOptions{Listener: fake.ListenLoopback()})}
	r.config.Store(&wigeonladder.Config{
		Revision: 1,
		Register: wigeonladder.Register{
			Services: []wigeonladder.Service{
				{Name: "scribe", Kind: wigeonladder.KindModel, Servers: []wigeonladder.Server{
					{Name: "engine", Address: r.engine.Address(), Models: []string{"nib"}},
				}},
				{Name: "desk", Kind: wigeonladder.KindPlain, CallCost: 3, Servers: []wigeonladder.Server{
					{Name: "desk", Address: r.desk.Address()},
				}, Routes: []wigeonladder.Route{{PathPrefix: "/deposit", AtMostOnce: true}}},
			},
			Workspaces: []wigeonladder.Workspace{
				{Name: "alder", KeyHashes: []string{fake.KeyHash("key-alder")}},
				{Name: "birch", KeyHashes: []string{fake.KeyHash("key-birch")}},
			},
		},
		Rules: wigeonladder.Rules{UrgencyRules: []wigeonladder.UrgencyRule{{Service: "desk", PathPrefix: "/status", Urgency: wigeonladder.UrgencyHigh}}},
	})
	r.client = backend.NewClient(backend.Options{Kind: func(name string) wigeonladder.ServiceKind {
		v, _ := r.config.Load().Register.Service(name)
		return v.Kind
	}})
	run := fake.RunnerFunc(r.run)
	l := fake.ListenLoopback()
	o := caller.Options{
		Listener: l, Runner: run, Tickets: fake.Tickets{Runner: run}, MaxBodyBytes: 1 << 20,
		Config: func() wigeonladder.Config { return *r.config.Load() },
	}
	if change != nil {
		change(r, &o)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	r.server = caller.NewServer(ctx, o)
	r.caller = fake.NewClient(l.Addr().String(), "key-alder", deadline)
	t.Cleanup(func() {
		r.caller.Close()
		cancel()
		_ = r.server.Shutdown(ctx)
		r.client.Close()
		r.engine.Crash()
		r.desk.Crash()
	})
	return r
}

// run sends a request to the first server of its service without waiting for a
// slot.
func (r *rig) run(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	v, _ := r.config.Load().Register.Service(q.Service)
	return r.client.Do(ctx, wigeonladder.Attempt{Request: q, Number: 1, Server: v.Servers[0]}, s)
}

// send sends one HTTP request.
func (r *rig) send(method, path, key, body string, headers ...string) fake.Reply {
	return r.caller.WithKey(key).Send(context.Background(), method, path, body, headers...)
}

// chat sends a chat request of the workspace alder.
func (r *rig) chat(body string) fake.Reply { return r.caller.Chat(context.Background(), body) }

// chatJSON returns the body of a chat request.
func chatJSON(prompt string, tokens int, stream bool) string {
	return fake.ChatBody("nib", prompt, tokens, stream)
}

// wantCode asserts that a reply is an error with the code, and that its status,
// header and body agree.
func wantCode(t *testing.T, a fake.Reply, c wigeonladder.Code) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(a.Err)
	is.Equal(a.Status, c.Info().Status)
	is.Equal(a.Header.Get("X-Result-Code"), fmt.Sprint(int(c)))
	is.True(strings.HasPrefix(a.Body, fmt.Sprintf(`{"code":%d,"name":%q,"outcome":%q,`, int(c), c.Info().Name, c.Info().Outcome)))
	is.True(a.Header.Get("X-Request-Id") != "")
}

// within returns the next value of the channel. It fails the test if none
// arrives before the deadline.
func within[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(deadline):
		t.Fatalf("timed out: %s", what)
		panic("unreachable")
	}
}

// waitFor waits until the condition holds. It fails the test if that takes
// longer than the deadline.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if !fake.Await(deadline, ok) {
		t.Fatalf("timed out: %s", what)
	}
}

// readReply reads one HTTP answer.
func readReply(t *testing.T, c net.Conn, in *bufio.Reader) fake.Reply {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.Close {
		a.Header.Set("Connection", "close") // net/http has removed it
	}
	return fake.ReadReply(a, time.Now(), nil)
}

// wantAnswer asserts that a reply is the engine's complete answer to a request
// with the body.
func wantAnswer(t *testing.T, a fake.Reply, body string) {
	t.Helper()
	if a.Err != nil || a.Status != 200 || !a.Complete || a.Text != fake.EngineAnswer([]byte(body)) {
		t.Errorf("%.60q: got %d %v complete=%v %.300q", body, a.Status, a.Err, a.Complete, a.Body)
	}
}

// wantDesk asserts that a reply is the desk's complete answer to a call.
func wantDesk(t *testing.T, a fake.Reply, method, path, body string) {
	t.Helper()
	want := string(fake.PlainServiceAnswer(method, path, []byte(body)))
	if a.Err != nil || a.Status != 200 || a.Body != want {
		t.Errorf("%s: got %d %v %.300q", path, a.Status, a.Err, a.Body)
	}
}
