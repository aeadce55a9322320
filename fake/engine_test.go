package fake

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout is the timeout of every wait. Only a test that hangs reaches it.
const testTimeout = 20 * time.Second

const streamBody = `{"stream":true,"max_tokens":6}`

// newTestClient returns a client that calls a stand-in directly.
func newTestClient(t *testing.T, address string) *Client {
	c := NewClient(address, "", testTimeout)
	t.Cleanup(c.Close)
	return c
}

// Guards against an engine that breaks the protocol between the fleet and backend
// servers: the attempt id, resumed streams and the refusal before running.
func TestEngineProtocol(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback()})
	defer e.Crash()
	c := newTestClient(t, e.Address())
	is := is.New(t)
	send := func(path, body string, headers ...string) Reply {
		a := c.Send(t.Context(), "POST", path, body, headers...)
		is.NoErr(a.Err)
		return a
	}
	const chat = "/v1/chat/completions"
	all := send(chat, streamBody, attemptHeader, "r.1")
	is.Equal(all.Header.Get(attemptHeader), "r.1")
	is.Equal(strings.Count(all.Body, "delta"), 6)
	is.True(strings.HasSuffix(all.Body, "\"completion_tokens\":6}}\n\ndata: [DONE]\n\n"))
	rest := send(chat, streamBody, attemptHeader, "r.1", resumeHeader, "4")
	is.Equal(rest.Header.Get(resumeHeader), "4")
	is.True(strings.HasSuffix(all.Body, rest.Body) && strings.Count(rest.Body, "delta") == 2)
	is.Equal(send("/control/faults", `{"refuse":true,"times":1}`).Status, 204)
	refused := send(chat, streamBody)
	is.Equal(refused.Status, 503)
	is.Equal(refused.Header.Get(notRunHeader), "true")
	is.Equal(send(chat, streamBody).Status, 200)
	is.Equal(e.Served(), 3)
}

// Guards against an engine that does not slow down when it has more requests than
// slots, and against a load report that is newer than LoadLag.
func TestEngineBatches(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback(), Slots: 2, LoadLag: time.Hour})
	defer e.Crash()
	is := is.New(t)
	is.Equal(e.scaledTime(time.Second, 0), time.Second)
	for range 6 {
		e.addRunning(1)
	}
	is.Equal(e.scaledTime(time.Second, 0), 3*time.Second)
	is.Equal(e.scaledTime(time.Second, 2), 6*time.Second)
	is.Equal(e.Load().Running, 0)
	e.options.LoadLag = 0
	is.Equal(e.Load().Running, 6)
}

// Guards against a slot that stays in use after its caller has disconnected, and
// against an engine that survives the request with the crash marker or cannot be
// restarted.
func TestEngineEnds(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback()})
	defer e.Crash()
	is := is.New(t)
	e.SetFaults(EngineFaults{StallAfter: -1, CrashMarker: "crash"})
	ctx, cancel := context.WithCancel(t.Context())
	c := newTestClient(t, e.Address())
	ended := make(chan Reply, 1)
	go func() { ended <- c.Chat(ctx, streamBody) }()
	is.True(Await(testTimeout, func() bool { return e.Running() == 1 }))
	cancel()
	is.True((<-ended).Err != nil)
	is.True(Await(testTimeout, func() bool { return e.Running() == 0 }))
	is.True(c.Chat(t.Context(), `{"crash":1}`).Err != nil)
	<-e.Crashed()
	_, err := net.Dial("tcp", e.Address())
	is.True(err != nil)
	e.SetFaults(EngineFaults{})
	is.NoErr(e.Restart())
	is.NoErr(c.Chat(t.Context(), streamBody).Err)
}

// Guards against executions that are not counted. Tests of at-most-once calls rely
// on the count also when the answer was dropped, and a refused call must not count.
func TestPlainServiceCounts(t *testing.T) {
	d := NewPlainService(PlainServiceOptions{Listener: ListenLoopback()})
	defer d.Crash()
	is := is.New(t)
	c := newTestClient(t, d.Address())
	call := func() Reply { return c.Send(t.Context(), "POST", "/deposit?x=1", "body", attemptHeader, "r.1") }
	a := call()
	is.Equal(a.Header.Get(attemptHeader), "r.1")
	is.Equal(a.Body, string(PlainServiceAnswer("POST", "/deposit?x=1", []byte("body"))))
	d.SetFaults(PlainServiceFaults{DropAnswer: true, Times: 1})
	is.True(call().Err != nil)
	d.SetFaults(PlainServiceFaults{Refuse: true})
	is.Equal(call().Header.Get(notRunHeader), "true")
	is.Equal(d.Runs(RunKey("/deposit?x=1", []byte("body"))), 2)
	is.Equal(c.Send(t.Context(), "GET", "/control/runs", "").Body, `{"/deposit?x=1 body":2}`)
}
