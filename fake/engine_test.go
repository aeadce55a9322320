package fake

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadline bounds every wait; no test passes or fails by it unless it hangs.
const deadline = 20 * time.Second

const stream = `{"stream":true,"max_tokens":6}`

// client returns a client of a stand-in.
func client(t *testing.T, address string) *Client {
	c := NewClient(address, "", deadline)
	t.Cleanup(c.Close)
	return c
}

// Guards against a stand-in that does not keep the protocol with the fleet.
func TestEngineProtocol(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback()})
	defer e.Crash()
	c := client(t, e.Address())
	is := is.New(t)
	send := func(path, body string, headers ...string) Reply {
		a := c.Send(t.Context(), "POST", path, body, headers...)
		is.NoErr(a.Err)
		return a
	}
	const chat = "/v1/chat/completions"
	all := send(chat, stream, attemptHeader, "r.1")
	is.Equal(all.Header.Get(attemptHeader), "r.1")
	is.Equal(strings.Count(all.Body, "delta"), 6)
	is.True(strings.HasSuffix(all.Body, "\"completion_tokens\":6}}\n\ndata: [DONE]\n\n"))
	rest := send(chat, stream, attemptHeader, "r.1", resumeHeader, "4")
	is.Equal(rest.Header.Get(resumeHeader), "4")
	is.True(strings.HasSuffix(all.Body, rest.Body) && strings.Count(rest.Body, "delta") == 2)
	is.Equal(send("/control/faults", `{"refuse":true,"times":1}`).Status, 204)
	refused := send(chat, stream)
	is.Equal(refused.Status, 503)
	is.Equal(refused.Header.Get(notRunHeader), "true")
	is.Equal(send(chat, stream).Status, 200)
	is.Equal(e.Served(), 3)
}

// Guards against an engine that admits work without slowing down, and against
// a load report that does not lag.
func TestEngineBatches(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback(), Slots: 2, LoadLag: time.Hour})
	defer e.Crash()
	is := is.New(t)
	is.Equal(e.stretch(time.Second, 0), time.Second)
	for range 6 {
		e.change(1)
	}
	is.Equal(e.stretch(time.Second, 0), 3*time.Second)
	is.Equal(e.stretch(time.Second, 2), 6*time.Second)
	is.Equal(e.Load().Running, 0)
	e.options.LoadLag = 0
	is.Equal(e.Load().Running, 6)
}

// Guards against a slot that a gone caller keeps, and an engine that survives
// the request that is to crash it or does not come back.
func TestEngineEnds(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: ListenLoopback()})
	defer e.Crash()
	is := is.New(t)
	e.SetFaults(EngineFaults{StallAfter: -1, CrashMarker: "crash"})
	ctx, cancel := context.WithCancel(t.Context())
	c := client(t, e.Address())
	ended := make(chan Reply, 1)
	go func() { ended <- c.Chat(ctx, stream) }()
	is.True(Await(deadline, func() bool { return e.Running() == 1 }))
	cancel()
	is.True((<-ended).Err != nil)
	is.True(Await(deadline, func() bool { return e.Running() == 0 }))
	is.True(c.Chat(t.Context(), `{"crash":1}`).Err != nil)
	<-e.Crashed()
	_, err := net.Dial("tcp", e.Address())
	is.True(err != nil)
	e.SetFaults(EngineFaults{})
	is.NoErr(e.Restart())
	is.NoErr(c.Chat(t.Context(), stream).Err)
}

// Guards against executions that are not counted: tests of "at most once" rely
// on the count also when the answer was dropped.
func TestDeskCounts(t *testing.T) {
	d := NewPlainService(PlainServiceOptions{Listener: ListenLoopback()})
	defer d.Crash()
	is := is.New(t)
	c := client(t, d.Address())
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
