package backend

import (
	"context"
	"errors"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// endlessWriteBytes is what an endless server writes at most, so that the tests
// end also if its bytes are read without a bound. It is more than any bound.
const endlessWriteBytes = 64 << 20

// endlessServer answers each request with a prefix and then repeats bytes until
// the connection is closed.
type endlessServer struct {
	listener net.Listener
	written  atomic.Int64
	closed   chan struct{}
}

// newEndlessServer starts a server, which is closed at the end of the test.
func newEndlessServer(t *testing.T, prefix, repeated string) *endlessServer {
	t.Helper()
	s := &endlessServer{listener: fake.ListenLoopback(), closed: make(chan struct{})}
	t.Cleanup(func() { _ = s.listener.Close() })
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	go func() {
		defer close(s.closed)
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		for part := []byte(prefix); s.written.Load() < endlessWriteBytes; part = block {
			n, err := c.Write(part)
			s.written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return s
}

// address returns the address of the server.
func (s *endlessServer) address() string { return s.listener.Addr().String() }

// wantCutOff asserts that the client closed the connection before the server had
// written all that it writes at most.
func (s *endlessServer) wantCutOff(t *testing.T) {
	t.Helper()
	<-s.closed
	is.New(t).True(s.written.Load() < endlessWriteBytes)
}

// endlessAnswers are answers to the attempt r.1 that do not end.
var endlessAnswers = []struct {
	name, prefix, repeated string
	stream                 bool
}{
	{"status line", "HTTP/1.1 200 ", "x", false},
	{"no HTTP", "", "x", false},
	{"empty lines", "", "\r\n", false},
	{"header line", "HTTP/1.1 200 OK\r\nX-Pad: ", "x", false},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n", false},
	{"informational responses", "", "HTTP/1.1 103 E\r\n\r\n", false},
	{"answers to other calls", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nContent-Length: 1\r\n\r\nx", false},
	{"body without length", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\n\r\n", "x", false},
	{"long body", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: 9999999999\r\n\r\n", "x", false},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
	{"chunk size", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false},
	{"chunk extension", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", false},
	{"event", endlessStreamHead + "data: ", "x", true},
	{"event lines", endlessStreamHead, "data: x\n", true},
	{"empty lines in a stream", endlessStreamHead, "\n", true},
	{"comments", endlessStreamHead, ": x\n\n", true},
}

// endlessStreamHead is the head of a stream that ends with the connection.
const endlessStreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against a server in trouble that occupies a client for as long as it
// sends bytes.
func TestClientCutsOffEndlessAnswers(t *testing.T) {
	for _, k := range endlessAnswers {
		t.Run(k.name, func(t *testing.T) {
			s := newEndlessServer(t, k.prefix, k.repeated)
			c := newTestClient(t, Options{})
			a := wigeonladder.Attempt{
				Request: wigeonladder.Request{ID: "r", Method: "GET", Path: "/x"}, Number: 1,
				Server: wigeonladder.Server{Name: "endless", Address: s.address()},
			}
			if k.stream {
				a.Request.Method, a.Request.Path, a.Request.Stream = "POST", ChatPath, true
			}
			_, u, err := runAttempt(t, c, a)
			is.New(t).True(err != nil)
			is.New(t).True(u.Failed)
			s.wantCutOff(t)
		})
	}
}

// signatureHeader is the header of a server's signature in the tests.
const signatureHeader = "X-Signature"

// testCodec is a codec for the headers of the tests.
type testCodec struct{}

// WriteCallHead implements Codec.
func (testCodec) WriteCallHead(req *fasthttp.Request, a CallAttempt) {
	req.Header.SetHost(a.Instance.Address)
}

// ReadAnswerHead implements Codec.
func (testCodec) ReadAnswerHead(h *fasthttp.ResponseHeader) AnswerHead {
	return AnswerHead{
		Answer: wigeonladder.Answer{Status: h.StatusCode(), Stream: string(h.ContentType()) == streamType},
		ID:     string(h.Peek(HeaderAttempt)),
		NotRun: len(h.Peek(HeaderNotRun)) > 0,
		Signed: len(h.Peek(signatureHeader)) > 0, Repeated: Repeated(h, HeaderAttempt, HeaderNotRun, signatureHeader),
	}
}

// Guards against a server in trouble that occupies a daemon, or fills its
// memory, for as long as it sends bytes.
func TestRelayCutsOffEndlessAnswers(t *testing.T) {
	for _, k := range endlessAnswers {
		t.Run(k.name, func(t *testing.T) {
			s := newEndlessServer(t, k.prefix, k.repeated)
			r := NewRelay(testCodec{})
			defer r.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			err := receive(ctx, r, s.address())
			is.New(t).True(err != nil)
			is.New(t).Equal(err.Code.Info().Outcome, wigeonladder.MayHaveRun)
			is.New(t).NoErr(ctx.Err())
			s.wantCutOff(t)
		})
	}
}

// receive sends the call r.1 and reads its answer to the end.
func receive(ctx context.Context, r *Relay, address string) *wigeonladder.Error {
	p, err := r.Send(ctx, CallAttempt{
		Call:       &wigeonladder.Call{ID: "r.1", Method: "GET", Path: "/x"},
		Instance:   wigeonladder.Instance{ID: "endless", Address: address},
		BeforeSend: func() error { return nil },
	})
	if err != nil {
		return err
	}
	defer p.Close()
	if !p.Stream {
		_, err = p.ReadBody()
		return err
	}
	for {
		event, err := p.NextEvent()
		if event == nil || err != nil {
			return err
		}
	}
}

// sharedReserve returns a function that reserves memory of a limit which all callers
// share.
func sharedReserve(limit int64) func(n int) error {
	var held atomic.Int64
	return func(n int) error {
		if held.Add(int64(n)) > limit && n > 0 {
			held.Add(int64(-n))
			return errors.New("no memory")
		}
		return nil
	}
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64()) // #nosec G115
}

// Guards against a faulty server whose endless bytes fill the memory of a daemon, because
// each of many connections keeps as many of them as one may.
func TestEndlessAnswersShareMemory(t *testing.T) {
	// Each connection and its stand-in may use 512 KB in addition to the shared limit.
	const conns, limit = 24, 4 << 20
	const most = limit + conns*(512<<10)
	for name, x := range map[string]struct{ prefix, repeated string }{
		"event":                {endlessStreamHead + "id: 1\ndata: a\n\ndata: ", "x"},
		"event lines":          {endlessStreamHead + "id: 1\ndata: a\n\n", "data: x\n"},
		"body":                 {"HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\n\r\n", "x"},
		"chunks":               {"HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"answer to other call": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"stated length":        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nContent-Length: 16000000\r\n\r\n", "x"},
		"trailers":             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: x\r\n"},
		"interim answers":      {"", "HTTP/1.1 103 E\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRelay(t)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			before, peak := liveBytes(), int64(0)
			reserve := sharedReserve(limit)
			var running sync.WaitGroup
			for range conns {
				s := newEndlessServer(t, x.prefix, x.repeated)
				running.Go(func() {
					a := callAt(s.address(), "r.1", false)
					a.ReserveAnswer = reserve
					relayCall(ctx, r, a)
					<-s.closed
				})
			}
			done := make(chan struct{})
			go func() { running.Wait(); close(done) }()
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(time.Millisecond):
				}
				peak = max(peak, liveBytes()-before)
			}
			is.NoErr(ctx.Err())
			t.Log("most bytes held:", peak)
			is.True(peak < most)
		})
	}
}
