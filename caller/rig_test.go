package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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

// deadline bounds every wait of the tests. It is generous: no test passes or
// fails by it unless something hangs.
const deadline = 20 * time.Second

// runner is a Runner that sends every request at once.
type runner func(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error)

func (f runner) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	return f(ctx, r, s)
}

// tickets accepts the tickets that it issued, for the call they name.
type tickets struct{ runner wigeonladder.Runner }

func (t tickets) Issue(workspace, service, method, path string) (string, error) {
	return strings.Join([]string{workspace, service, method, path}, " "), nil
}

func (t tickets) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) error {
	if want, _ := t.Issue(r.Workspace, r.Service, r.Method, r.Path); r.Ticket != want {
		return wigeonladder.Errorf(wigeonladder.CodeBadTicket, "", "for %q", r.Ticket)
	}
	_, err := t.runner.Run(ctx, r, s)
	return err
}

// rig is a caller server in front of one engine and one desk.
type rig struct {
	server *caller.Server
	engine *fake.Engine
	desk   *fake.Desk
	client *backend.Client
	stop   context.CancelFunc
	config atomic.Pointer[wigeonladder.Config]
	url    string
	http   *http.Client
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func keyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// newRig starts the rig. The change may replace options.
func newRig(t testing.TB, e fake.EngineOptions, change func(*rig, *caller.Options)) *rig {
	t.Helper()
	e.Listener = listen(t)
	r := &rig{engine: fake.NewEngine(e), desk: fake.NewDesk(fake.DeskOptions{Listener: listen(t)})}
	r.config.Store(&wigeonladder.Config{
		Revision: 1,
		Register: wigeonladder.Register{
			Services: []wigeonladder.Service{
				{Name: "scribe", Kind: wigeonladder.KindModel, Servers: []wigeonladder.Server{
					{Name: "engine", Address: r.engine.Address(), Models: []string{"nib"}},
				}},
				{Name: "desk", Kind: wigeonladder.KindPlain, CallCost: 3, Servers: []wigeonladder.Server{
					{Name: "desk", Address: r.desk.Address()},
				}, Routes: []wigeonladder.Route{{Prefix: "/deposit", Once: true}}},
			},
			Workspaces: []wigeonladder.Workspace{
				{Name: "alder", Keys: []string{keyHash("key-alder")}},
				{Name: "birch", Keys: []string{keyHash("key-birch")}},
			},
		},
		Rules: wigeonladder.Rules{Urgent: []wigeonladder.Urgent{{Service: "desk", Prefix: "/status", Urgency: wigeonladder.UrgencyHigh}}},
	})
	r.client = backend.NewClient(backend.Options{Kind: func(name string) wigeonladder.Kind {
		v, _ := r.config.Load().Register.Service(name)
		return v.Kind
	}})
	run := runner(r.run)
	l := listen(t)
	o := caller.Options{
		Listener: l, Runner: run, Tickets: tickets{run}, MaxBody: 1 << 20,
		Config: func() wigeonladder.Config { return *r.config.Load() },
	}
	if change != nil {
		change(r, &o)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	r.server = caller.NewServer(ctx, o)
	r.url = "http://" + l.Addr().String()
	r.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: deadline}
	t.Cleanup(func() {
		r.http.CloseIdleConnections()
		cancel()
		_ = r.server.Shutdown(ctx)
		r.client.Close()
		r.engine.Die()
		r.desk.Die()
	})
	return r
}

// run sends a request at once to the first server of its service.
func (r *rig) run(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	v, _ := r.config.Load().Register.Service(q.Service)
	return r.client.Do(ctx, wigeonladder.Attempt{Request: q, Number: 1, Server: v.Servers[0]}, s)
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one HTTP request.
func (r *rig) send(method, path, key, body string, headers ...string) reply {
	q, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	a, err := r.http.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(b), err: err}
}

// chat sends a chat request of the workspace alder.
func (r *rig) chat(body string) reply {
	return r.send("POST", "/v1/chat/completions", "key-alder", body)
}

// chatJSON returns the body of a chat request.
func chatJSON(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"nib","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

// streamText returns the text of a stream and whether it ended complete.
func streamText(body string) (text string, done bool) {
	for _, event := range strings.Split(body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var k struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &k) == nil && len(k.Choices) > 0 {
			text += k.Choices[0].Delta.Content
		}
	}
	return text, false
}

// wholeText returns the text of a whole answer.
func wholeText(body string) string {
	var k struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal([]byte(body), &k) != nil || len(k.Choices) == 0 {
		return ""
	}
	return k.Choices[0].Message.Content
}

// wantCode asserts that a reply is an error with the code, alike in status,
// header and body.
func wantCode(t *testing.T, a reply, c wigeonladder.Code) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(a.err)
	is.Equal(a.status, c.Fact().Status)
	is.Equal(a.header.Get("X-Result-Code"), fmt.Sprint(int(c)))
	var p struct {
		Code    int
		Name    string
		Outcome wigeonladder.Outcome
	}
	is.NoErr(json.NewDecoder(bytes.NewReader([]byte(a.body))).Decode(&p))
	is.Equal(p.Code, int(c))
	is.Equal(p.Name, c.Fact().Name)
	is.Equal(p.Outcome, c.Fact().Outcome)
	is.True(a.header.Get("X-Request-Id") != "")
}

// within fails the test unless the channel yields before the deadline.
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

// waitFor fails the test unless the condition holds before the deadline.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(deadline)
	for !ok() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("timed out: %s", what)
		}
	}
}

// readReply reads one successful HTTP answer. It reads byte by byte, so that
// nothing of the next answer is lost.
func readReply(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	a, err := http.ReadResponse(bufio.NewReaderSize(oneByte{c}, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if _, err := io.ReadAll(a.Body); err != nil || a.StatusCode != 200 {
		t.Fatalf("status %d, %v", a.StatusCode, err)
	}
}

// oneByte reads one byte at a time.
type oneByte struct{ io.Reader }

func (o oneByte) Read(b []byte) (int, error) { return o.Reader.Read(b[:1]) }
