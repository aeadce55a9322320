package fake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// post sends a request with headers as keys and values.
func post(ctx context.Context, address, path, body string, headers ...string) (status int, header http.Header, answer string, err error) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, a.Header, string(b), err
}

const (
	chat   = "/v1/chat/completions"
	stream = `{"stream":true,"max_tokens":6}`
)

// Guards against a stand-in that does not keep the protocol with the fleet.
func TestEngineProtocol(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: listen(t)})
	defer e.Die()
	is := is.New(t)
	_, h, all, err := post(t.Context(), e.Address(), chat, stream, attemptHeader, "r.1")
	is.NoErr(err)
	is.Equal(h.Get(attemptHeader), "r.1")
	is.Equal(strings.Count(all, "delta"), 6)
	is.True(strings.HasSuffix(all, "\"completion_tokens\":6}}\n\ndata: [DONE]\n\n"))
	_, h, rest, err := post(t.Context(), e.Address(), chat, stream, attemptHeader, "r.1", resumeHeader, "4")
	is.NoErr(err)
	is.Equal(h.Get(resumeHeader), "4")
	is.True(strings.HasSuffix(all, rest) && strings.Count(rest, "delta") == 2)
	status, _, _, err := post(t.Context(), e.Address(), "/control/faults", `{"refuse":true,"times":1}`)
	is.NoErr(err)
	is.Equal(status, 204)
	status, h, _, err = post(t.Context(), e.Address(), chat, stream)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(h.Get(notRunHeader), "true")
	status, _, _, err = post(t.Context(), e.Address(), chat, stream)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(e.Served(), 3)
}

// Guards against an engine that admits work without slowing down, and against
// a load report that does not lag.
func TestEngineBatches(t *testing.T) {
	e := NewEngine(EngineOptions{Listener: listen(t), Slots: 2, LoadLag: time.Hour})
	defer e.Die()
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
	e := NewEngine(EngineOptions{Listener: listen(t)})
	defer e.Die()
	is := is.New(t)
	e.SetFaults(EngineFaults{StallAfter: -1, Marker: "crash"})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, _, _, err := post(ctx, e.Address(), chat, stream)
		ended <- err
	}()
	eventually(t, func() bool { return e.Running() == 1 })
	cancel()
	is.True(<-ended != nil)
	eventually(t, func() bool { return e.Running() == 0 })
	_, _, _, err := post(t.Context(), e.Address(), chat, `{"crash":1}`)
	is.True(err != nil)
	<-e.Dead()
	_, err = net.Dial("tcp", e.Address())
	is.True(err != nil)
	e.SetFaults(EngineFaults{})
	is.NoErr(e.Revive())
	_, _, _, err = post(t.Context(), e.Address(), chat, stream)
	is.NoErr(err)
}

// eventually fails the test unless the condition holds within a generous time.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("timed out")
		}
	}
}

// Guards against executions that are not counted: tests of "at most once" rely
// on the count also when the answer was dropped.
func TestDeskCounts(t *testing.T) {
	d := NewDesk(DeskOptions{Listener: listen(t)})
	defer d.Die()
	is := is.New(t)
	_, h, answer, err := post(t.Context(), d.Address(), "/deposit?x=1", "body", attemptHeader, "r.1")
	is.NoErr(err)
	is.Equal(h.Get(attemptHeader), "r.1")
	is.Equal(answer, string(DeskAnswer("POST", "/deposit?x=1", []byte("body"))))
	d.SetFaults(DeskFaults{Drop: true, Times: 1})
	_, _, _, err = post(t.Context(), d.Address(), "/deposit?x=1", "body")
	is.True(err != nil)
	d.SetFaults(DeskFaults{Refuse: true})
	_, h, _, err = post(t.Context(), d.Address(), "/deposit?x=1", "body")
	is.NoErr(err)
	is.Equal(h.Get(notRunHeader), "true")
	is.Equal(d.Runs(RunKey("/deposit?x=1", []byte("body"))), 2)
	_, _, answer, err = post(t.Context(), d.Address(), "/control/runs", "")
	is.NoErr(err)
	is.Equal(answer, `{"/deposit?x=1 body":2}`)
}
