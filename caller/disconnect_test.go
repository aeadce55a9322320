package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// sendRaw opens a connection and sends the bytes of a request on it.
func sendRaw(t *testing.T, r *rig, request string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.caller.Address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	return c
}

// rawRequest returns the bytes of an HTTP request.
func rawRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer key-alder\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against sending a request to a server after its caller disconnected
// while the request was waiting.
func TestCallerGoneWhileWaiting(t *testing.T) {
	for name, request := range map[string]string{
		"whole":  rawRequest("/v1/chat/completions", chatJSON("hello", 5, false)),
		"stream": rawRequest("/v1/chat/completions", chatJSON("hello", 5, true)),
		"plain":  rawRequest("/s/desk/status", "hello"),
	} {
		t.Run(name, func(t *testing.T) {
			waiting, ended := make(chan struct{}), make(chan error, 1)
			r := newRig(t, fake.EngineOptions{}, func(r *rig, o *caller.Options) {
				o.Runner = fake.RunnerFunc(func(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
					close(waiting)
					<-ctx.Done()
					u, err := r.run(ctx, q, s)
					ended <- err
					return u, err
				})
			})
			c := sendRaw(t, r, request)
			within(t, waiting, "the request waits")
			is := is.New(t)
			is.NoErr(c.Close())
			var e *wigeonladder.Error
			is.True(errors.As(within(t, ended, "the request ends"), &e))
			is.Equal(e.Code, wigeonladder.CodeCallerGone)
			is.Equal(r.engine.Served(), 0)
			is.Equal(len(r.desk.AllRuns()), 0)
		})
	}
}

// Guards against a slot that stays in use by a stream whose caller has
// disconnected.
func TestCallerGoneWhileStreaming(t *testing.T) {
	ended := make(chan error, 1)
	r := newRig(t, fake.EngineOptions{}, func(r *rig, o *caller.Options) {
		o.Runner = fake.RunnerFunc(func(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			u, err := r.run(ctx, q, s)
			ended <- err
			return u, err
		})
	})
	r.engine.SetFaults(fake.EngineFaults{StallAfter: 3})
	c := sendRaw(t, r, rawRequest("/v1/chat/completions", chatJSON("hello", 5, true)))
	is := is.New(t)
	_, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(c.Close())
	var e *wigeonladder.Error
	is.True(errors.As(within(t, ended, "the request ends"), &e))
	is.Equal(e.Code, wigeonladder.CodeCallerLost)
	waitFor(t, "the engine frees the slot", func() bool { return r.engine.Running() == 0 })
	waitFor(t, "no request is open", func() bool { return r.server.OpenRequests() == 0 })
}

// Guards against answers that are lost, repeated or out of order on a
// connection with several requests, whether pipelined or sent one after the
// other. Streams are written to the connection without the HTTP library, so its
// order of responses does not cover them.
func TestConnectionIsReused(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	body := chatJSON("hello", 5, true)
	plain, chat := rawRequest("/s/desk/status", "one"), rawRequest("/v1/chat/completions", body)
	c := sendRaw(t, r, plain+chat+chat+plain)
	defer c.Close()
	in := bufio.NewReader(c)
	wantPlain := func() { wantDesk(t, readReply(t, c, in), "POST", "/status", "one") }
	wantChat := func() { wantAnswer(t, readReply(t, c, in), body) }
	wantPlain()
	wantChat()
	wantChat()
	wantPlain()
	for range 3 {
		_, err := c.Write([]byte(chat))
		is.New(t).NoErr(err)
		wantChat()
		_, err = c.Write([]byte(plain))
		is.New(t).NoErr(err)
		wantPlain()
	}
	is.New(t).Equal(r.desk.Runs(fake.RunKey("/status", []byte("one"))), 5)
}

// Guards against chunked encoding towards an HTTP/1.0 caller, which cannot read
// it.
func TestStreamWithoutChunks(t *testing.T) {
	r := newRig(t, fake.EngineOptions{}, nil)
	body := chatJSON("hello", 5, true)
	c := sendRaw(t, r, strings.Replace(rawRequest("/v1/chat/completions", body), "HTTP/1.1", "HTTP/1.0", 1))
	defer c.Close()
	wantAnswer(t, readReply(t, c, bufio.NewReader(c)), body)
}
