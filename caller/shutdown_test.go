package caller_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against callers that keep a connection to a draining daemon, because
// its answers do not close the connection.
func TestDrainingAnswersClose(t *testing.T) {
	var draining, refusing atomic.Bool
	r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
		o.Draining, o.Refusing = draining.Load, refusing.Load
	})
	requests := map[string]string{
		"whole":   rawRequest("/v1/chat/completions", chatJSON("hello", 5, false)),
		"stream":  rawRequest("/v1/chat/completions", chatJSON("hello", 5, true)),
		"plain":   rawRequest("/s/desk/status", "x"),
		"ready":   rawRequest("/ready", ""),
		"unknown": rawRequest("/s/oak/x", ""),
		"ticket":  rawRequest("/v1/tickets", `{"service":"desk","method":"POST","path":"/deposit"}`),
	}
	wantClose := func(t *testing.T, want bool) {
		for name, request := range requests {
			t.Run(name, func(t *testing.T) {
				c := sendRaw(t, r, request)
				defer c.Close()
				a := readReply(t, c, bufio.NewReader(c))
				is.New(t).Equal(a.Header.Get("Connection") == "close", want)
			})
		}
	}
	t.Run("serving", func(t *testing.T) { wantClose(t, false) })
	draining.Store(true)
	t.Run("draining", func(t *testing.T) { wantClose(t, true) })
	refusing.Store(true)
	t.Run("refusing", func(t *testing.T) { wantClose(t, true) })
}

// Guards against a shutdown that closes an idle connection without answering a
// request that the caller sends at that moment, or that runs such a request.
func TestShutdownClosesIdleConnection(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	plain := rawRequest("/s/desk/status", "x")
	c := sendRaw(t, r, plain)
	defer c.Close()
	in := bufio.NewReader(c)
	wantDesk(t, readReply(t, c, in), "POST", "/status", "x")
	ended := make(chan error, 1)
	go func() { ended <- r.server.Shutdown(t.Context()) }()
	is := is.New(t)
	_, err := in.Peek(1)
	is.NoErr(err)
	_, err = c.Write([]byte(plain))
	is.NoErr(err)
	wantFinalResponse(t, readReply(t, c, in))
	is.NoErr(c.Close())
	is.NoErr(within(t, ended, "the shutdown ends"))
	is.Equal(r.desk.Runs(fake.RunKey("/status", []byte("x"))), 1)
}

// wantFinalResponse asserts that a reply is the server's final response on an
// idle connection.
func wantFinalResponse(t *testing.T, a fake.Reply) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusRequestTimeout)
	is.Equal(a.Header.Get("X-Result-Code"), fmt.Sprint(int(wigeonladder.CodeDraining)))
	is.Equal(a.Header.Get("Connection"), "close")
	is.True(strings.Contains(a.Body, `"outcome":"`+string(wigeonladder.NotRun)+`"`))
}

// Guards against a shutdown that closes the listener while a request still
// runs. That would reset the connections of callers that do not yet know of the
// shutdown.
func TestShutdownStillRefuses(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	r.engine.SetFaults(fake.EngineFaults{StallAfter: 3})
	c := sendRaw(t, r, rawRequest("/v1/chat/completions", chatJSON("hello", 9, true)))
	waitFor(t, "the request runs", func() bool { return r.engine.Running() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- r.server.Shutdown(t.Context()) }()
	waitFor(t, "the daemon refuses", func() bool { return r.send("GET", "/ready", "", "").Status == 503 })
	for range 3 {
		wantCode(t, r.send("GET", "/s/desk/x", "key-alder", ""), wigeonladder.CodeDraining)
	}
	is := is.New(t)
	is.NoErr(c.Close())
	is.NoErr(within(t, ended, "the shutdown ends"))
	_, err := net.Dial("tcp", r.caller.Address)
	is.True(err != nil)
}

// Guards against requests that get no answer while many callers send on kept
// and new connections during a shutdown, also at the moment at which the server
// closes an idle connection.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var started, ended sync.WaitGroup
	for n := range 64 {
		started.Add(1)
		ended.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			sendUntilRefused(t, r, started.Done, rnd)
		})
	}
	started.Wait()
	is.New(t).NoErr(r.server.Shutdown(t.Context()))
	ended.Wait()
}

// sendUntilRefused sends plain calls on one connection until one is refused.
// It calls firstAnswered after the first answer. Most pauses between the calls
// are close to the time after which a shutdown closes idle connections.
func sendUntilRefused(t *testing.T, r *rig, firstAnswered func(), rnd *rand.Rand) {
	started := sync.OnceFunc(firstAnswered)
	defer started()
	const body = "x"
	c, err := net.Dial("tcp", r.caller.Address)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := c.Write([]byte(rawRequest("/s/desk/status", body))); err != nil {
			t.Error(err)
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(deadline))
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("a request got no answer: %v", err)
			return
		}
		_ = a.Body.Close()
		started()
		if a.Header.Get("X-Result-Code") == fmt.Sprint(int(wigeonladder.CodeDraining)) {
			return
		}
		if a.StatusCode != http.StatusOK {
			t.Errorf("status %d", a.StatusCode)
			return
		}
		<-time.After(time.Duration(480+rnd.IntN(60)) * time.Millisecond)
	}
}
