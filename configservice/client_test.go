package configservice_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/configservice"
	"github.com/wigeonladder/wigeonladder/fake"
)

// testTimeout bounds every wait of these tests. A passing test does not
// reach it.
const testTimeout = 20 * time.Second

// serve starts a fake platform on loopback and returns it with a client and its
// address. At the end of the test it checks for leaked goroutines.
func serve(t *testing.T) (*fake.Platform, *configservice.Client, string) {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		// The background goroutines of fasthttp end up to 10 s after their
		// server or client, or never. The check is for goroutines of this
		// module.
		ignored := []goleak.Option{leaks}
		for _, f := range []string{"(*workerPool).Start.func2", "(*TCPDialer).tcpAddrsClean", "(*HostClient).connsCleaner", "updateServerDate.func1"} {
			ignored = append(ignored, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp."+f))
		}
		goleak.VerifyNone(t, ignored...)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := fake.NewPlatform()
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ln) }()
	c := configservice.NewClient(ln.Addr().String())
	t.Cleanup(func() {
		c.Close()
		is.New(t).NoErr(p.Close())
		is.New(t).NoErr(<-ended)
	})
	return p, c, ln.Addr().String()
}

func boundedContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// post calls the control interface of the fake platform.
func post(t *testing.T, address, path, body string) {
	t.Helper()
	a, err := http.Post("http://"+address+path, "application/json", bytes.NewBufferString(body))
	is.New(t).NoErr(err)
	is.New(t).NoErr(a.Body.Close())
	is.New(t).Equal(a.StatusCode, http.StatusOK)
}

// Guards against a long poll that returns before there is a change or misses
// the change, and against an accepted list with an unknown VM state.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	p, c, address := serve(t)
	ctx := boundedContext(t)
	p.Publish([]byte(`{"revision":3}`))
	got, err := c.Config(ctx, 0, testTimeout)
	is.NoErr(err)
	is.Equal(string(got), `{"revision":3}`)
	got, err = c.Config(ctx, 3, time.Millisecond) // the wait ends without a change
	is.NoErr(err)
	is.Equal(string(got), `{"revision":3}`)
	next := make(chan string, 1)
	go func() {
		got, _ := c.Config(ctx, 3, testTimeout)
		next <- string(got)
	}()
	post(t, address, "/control/config", `{"revision":4}`)
	is.Equal(<-next, `{"revision":4}`)
	post(t, address, "/control/live", `{"version":2,"vms":[{"name":"a","state":"leaving"}]}`)
	l, err := c.Live(ctx, 1, testTimeout)
	is.NoErr(err)
	is.Equal(l, wigeonladder.LiveList{Version: 2, VMs: []wigeonladder.LiveVM{{Name: "a", State: wigeonladder.StateLeaving}}})
	p.SetLive(wigeonladder.LiveList{Version: 3, VMs: []wigeonladder.LiveVM{{Name: "a", State: "odd"}}})
	_, err = c.Live(ctx, 2, testTimeout)
	is.True(err != nil) // an unknown state is an error
}

// Guards against taking a platform that is down for one without changes, and
// against a stale replica that keeps the client from later revisions.
func TestDownAndStale(t *testing.T) {
	is := is.New(t)
	p, c, address := serve(t)
	ctx := boundedContext(t)
	p.Publish([]byte(`{"revision":1}`))
	post(t, address, "/control/stale?on=true", "")
	p.Publish([]byte(`{"revision":2}`))
	got, err := c.Config(ctx, 0, testTimeout)
	is.NoErr(err)
	is.Equal(string(got), `{"revision":1}`)
	post(t, address, "/control/stale?on=false", "")
	got, err = c.Config(ctx, 1, testTimeout)
	is.NoErr(err)
	is.Equal(string(got), `{"revision":2}`)
	post(t, address, "/control/down?on=true", "")
	_, err = c.Config(ctx, 0, testTimeout)
	is.True(err != nil)
	post(t, address, "/control/down?on=false", "")
	_, err = c.Config(ctx, 0, testTimeout)
	is.NoErr(err)
	is.Equal(p.Reads(), 4)
}

// Guards against a daemon that cannot stop because a long poll is running, and
// against a client that cannot be used after a call was canceled.
func TestContextEndsPoll(t *testing.T) {
	is := is.New(t)
	p, c, _ := serve(t)
	p.Publish([]byte(`{"revision":1}`))
	for range 20 {
		ctx, cancel := context.WithCancel(boundedContext(t))
		before := p.Reads()
		ended := make(chan error, 1)
		go func() {
			_, err := c.Config(ctx, 1, testTimeout)
			ended <- err
		}()
		for p.Reads() == before {
			time.Sleep(time.Millisecond) // until the poll waits at the platform
		}
		cancel()
		is.Equal(<-ended, context.Canceled)
		_, err := c.Config(boundedContext(t), 0, testTimeout)
		is.NoErr(err)
	}
}

// Guards against a Watcher that works with the fake platform of the other tests
// but not over HTTP in real time.
func TestWatcherOverHTTP(t *testing.T) {
	is := is.New(t)
	p, c, _ := serve(t)
	ctx, cancel := context.WithCancel(boundedContext(t))
	parse := func([]byte) (wigeonladder.Config, error) { return wigeonladder.Config{Revision: 8}, nil }
	w := configservice.NewWatcher(ctx, configservice.Options{Platform: c, Parse: parse, Seed: 1})
	p.Publish([]byte(`{"revision":8}`))
	is.NoErr(w.WaitReady(ctx))
	is.Equal(w.Config().Revision, uint64(8))
	cancel()
	w.Wait()
}
