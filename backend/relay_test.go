package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// newTestRelay returns a relay, which is closed at the end of the test. It waits longer
// than usual for connections, since a busy machine opens them late.
func newTestRelay(t testing.TB) *Relay {
	r := NewRelay(testCodec{})
	r.pool.times = dialTimes{min: deadline, max: deadline}
	r.pool.dialer.Timeout = deadline
	t.Cleanup(r.Close)
	return r
}

// callAt returns an attempt to run a call at a server.
func callAt(address, id string, atMostOnce bool) CallAttempt {
	return CallAttempt{
		Call:     &wigeonladder.Call{ID: id, Method: "POST", Path: "/x", Body: []byte("body of " + id)},
		Instance: wigeonladder.Instance{ID: "server", Address: address}, AtMostOnce: atMostOnce,
		BeforeSend: func() error { return nil },
	}
}

// relayed is what became of one call.
type relayed struct {
	head AnswerHead
	body string
	err  *wigeonladder.Error
}

// relayCall sends a call and reads its answer to the end.
func relayCall(ctx context.Context, r *Relay, a CallAttempt) relayed {
	p, err := r.Send(ctx, a)
	if err != nil {
		return relayed{err: err}
	}
	defer p.Close()
	if !p.Stream {
		body, err := p.ReadBody()
		return relayed{p.AnswerHead, string(body), err}
	}
	out := relayed{head: p.AnswerHead}
	for {
		event, err := p.NextEvent()
		if event == nil || err != nil {
			out.err = err
			return out
		}
		out.body += string(event)
	}
}

// wholeAnswer returns a whole answer to a call.
func wholeAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttempt, id, len(body), body)
}

// refusalAnswer returns an answer that says "not run"; without an id if id is
// empty.
func refusalAnswer(status int, id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: true\r\nContent-Length: 0\r\n", status, HeaderNotRun)
	if id != "" {
		head += HeaderAttempt + ": " + id + "\r\n"
	}
	return head + "\r\n"
}

// Guards against a refusal that a faulty server writes once more on a kept
// connection and that counts as the answer to the next call, which runs.
func TestRepeatedRefusalsBelongToNoCall(t *testing.T) {
	for _, k := range []struct{ name, first, second string }{
		{"without an id", refusalAnswer(503, ""), refusalAnswer(503, "") + wholeAnswer("a2", "fine")},
		{"another server's id", refusalAnswer(421, ""), refusalAnswer(421, "") + wholeAnswer("a2", "fine")},
		{"with the id of its call", refusalAnswer(503, "a1"), refusalAnswer(503, "a1") + wholeAnswer("a2", "fine")},
		{"without an id after an answer", wholeAnswer("a1", "x"), refusalAnswer(503, "") + wholeAnswer("a2", "fine")},
		{"twice", wholeAnswer("a1", "x"), strings.Repeat(refusalAnswer(503, ""), 2) + wholeAnswer("a2", "fine")},
	} {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at most once %v", k.name, atMostOnce), func(t *testing.T) {
				is := is.New(t)
				// The script goes by connection: a refusal is repeated only where
				// it was written before.
				s := newScript(t, func(n int) (string, bool) { return map[int]string{1: k.first, 2: k.second}[n], false })
				r := newTestRelay(t)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				relayCall(ctx, r, callAt(s.Address(), "a1", atMostOnce))
				second := relayCall(ctx, r, callAt(s.Address(), "a2", atMostOnce))
				_, conns := s.Received()
				if second.err == nil && second.head.NotRun {
					is.Equal(conns, 2) // trusted only as the first answer of its connection
					return
				}
				is.Equal(second.err, nil)
				is.Equal(second.body, "fine")
			})
		}
	}
}

// Guards against refusals without an id that are never believed, so that a call
// is lost at every server that states none.
func TestFirstRefusalNeedsNoID(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return refusalAnswer(503, ""), false })
	r := newTestRelay(t)
	for i := range 3 {
		out := relayCall(t.Context(), r, callAt(s.Address(), fmt.Sprintf("a%d", i), true))
		is.Equal(out.err, nil)
		is.True(out.head.NotRun)
	}
	wantCounts(t, s, 3, 3)
}

// Guards against the reuse of a connection on which an answer to another call
// arrived: more of them may follow.
func TestConnectionsWithStrayAnswersAreClosed(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(n int) (string, bool) {
		id := fmt.Sprintf("a%d", n)
		return wholeAnswer("other", "x") + wholeAnswer(id, "fine"), false
	})
	r := newTestRelay(t)
	for n := 1; n <= 3; n++ {
		out := relayCall(t.Context(), r, callAt(s.Address(), fmt.Sprintf("a%d", n), true))
		is.Equal(out.err, nil)
		is.Equal(out.body, "fine")
	}
	wantCounts(t, s, 3, 3)
}

// headPrefixes are what may precede the head of an answer.
var headPrefixes = []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"}

// wholeAnswers are answers to the call a2 in each framing whose end can be told
// from a broken connection.
var wholeAnswers = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nContent-Length: 8\r\nX-Pad: 1\r\n\r\nthe body",
	"chunks":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n5\r\n body\r\n0\r\n\r\n",
	"version": "HTTP/1.0 200 OK\r\nX-Attempt-Id: a2\r\nContent-Length: 8\r\n\r\nthe body",
	"events":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + "10\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n",
}

// cutServer answers the call a1 whole and cuts the answer to the next one off.
type cutServer struct {
	answer          string
	cutAt, segment  int
	reset, keptConn bool
}

// serve answers the requests of one connection.
func (s cutServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := make([]byte, 4<<10)
	if s.keptConn {
		if _, err := c.Read(b); err != nil {
			return
		}
		_, _ = c.Write([]byte(wholeAnswer("a1", "first")))
	}
	if _, err := c.Read(b); err != nil {
		return
	}
	rest := s.answer[:s.cutAt]
	for len(rest) > 0 {
		n := min(s.segment, len(rest))
		_, _ = c.Write([]byte(rest[:n]))
		rest = rest[n:]
	}
	if tcp, ok := c.(*net.TCPConn); ok && s.reset {
		_ = tcp.SetLinger(0)
	}
}

// start listens until the end of the test and returns the address.
func (s cutServer) start(t *testing.T) string {
	t.Helper()
	l := fake.ListenLoopback()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that is cut off inside its head, or later, and passes
// for a whole one.
func TestRelayRejectsCutAnswers(t *testing.T) {
	for name, whole := range wholeAnswers {
		for _, prefix := range headPrefixes {
			for _, segment := range []int{1 << 20, 7} {
				for _, reset := range []bool{false, true} {
					for _, kept := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s, prefix %d, segment %d, reset %v, kept %v", name, len(prefix), segment, reset, kept), func(t *testing.T) {
							answer := prefix + whole
							for cut := range len(answer) {
								wantCutAnswer(t, cutServer{answer, cut, segment, reset, kept}, name)
							}
						})
					}
				}
			}
		}
	}
}

// wantCutAnswer asserts that a cut answer is not whole and that its call counts as
// one that may have run.
func wantCutAnswer(t *testing.T, s cutServer, name string) {
	t.Helper()
	r := newTestRelay(t)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	address := s.start(t)
	if s.keptConn {
		if first := relayCall(ctx, r, callAt(address, "a1", true)); first.err != nil || first.body != "first" {
			t.Fatalf("first call: %v, %q", first.err, first.body)
		}
	}
	out := relayCall(ctx, r, callAt(address, "a2", true))
	// The last chunk is whole before its empty line, with which only the
	// connection could be used again.
	lastChunk := strings.Index(s.answer, "\r\n0\r\n")
	hasLastChunk := lastChunk >= 0 && s.cutAt >= lastChunk+len("\r\n0\r\n")
	if hasLastChunk && !s.reset {
		return
	}
	if out.err == nil && !hasLastChunk {
		t.Fatalf("%s cut at %d of %d: no error, body %q", name, s.cutAt, len(s.answer), out.body)
	}
	if out.err != nil && out.err.Code.Info().Outcome != wigeonladder.MayHaveRun {
		t.Fatalf("%s cut at %d: %v", name, s.cutAt, out.err)
	}
}

// Guards against a connection that is put back unused with a new idle time, so
// that a call that may not be repeated gets one which rested too long.
func TestUnusedConnectionsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return wholeAnswer("a1", "x"), false })
	r := newTestRelay(t)
	is.Equal(relayCall(t.Context(), r, callAt(s.Address(), "a1", true)).err, nil)
	rested := time.Now().Add(-atMostOnceIdleTimeout / 2)
	r.pool.idle[s.Address()][0].idleSince = rested
	a := callAt(s.Address(), "a2", true)
	a.BeforeSend = func() error { return wigeonladder.Errorf(wigeonladder.CodeContractLate, "server", "late") }
	is.Equal(relayCall(t.Context(), r, a).err.Code, wigeonladder.CodeContractLate)
	is.Equal(r.pool.idle[s.Address()][0].idleSince, rested)
}

// keptConnectionSeeds are answers of two calls on one connection.
var keptConnectionSeeds = [][2]string{
	{refusalAnswer(503, ""), refusalAnswer(503, "") + wholeAnswer("a2", "x")},
	{wholeAnswer("a1", "x"), refusalAnswer(421, "")},
	{wholeAnswer("a1", "x") + refusalAnswer(503, "a1"), wholeAnswer("a2", "y")},
	{"HTTP/1.1 100 Continue\r\n\r\n" + refusalAnswer(503, "a1"), wholeAnswers["chunks"]},
	{wholeAnswer("a1", "x"), wholeAnswers["events"]},
}

// FuzzKeptConnection answers two calls on one connection with arbitrary bytes.
func FuzzKeptConnection(f *testing.F) {
	for _, s := range keptConnectionSeeds {
		f.Add([]byte(s[0]), []byte(s[1]))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) { wantMatchedAnswers(t, string(first), string(second)) })
}

// Guards against the same as FuzzKeptConnection, with answers that are put
// together at random from parts of valid ones.
func TestKeptConnections(t *testing.T) {
	parts := []string{
		refusalAnswer(503, ""), refusalAnswer(421, ""), refusalAnswer(503, "a1"), refusalAnswer(503, "a2"), wholeAnswer("a1", "one"),
		wholeAnswer("a2", "two"), wholeAnswer("", "none"), headPrefixes[1], wholeAnswers["chunks"], "\r\n", "HTTP/1.1 ", "x",
	}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1)) // #nosec G404 -- a seeded trial
		var answers [2]string
		for i := range answers {
			for range 1 + random.IntN(3) {
				answers[i] += parts[random.IntN(len(parts))]
			}
		}
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { wantMatchedAnswers(t, answers[0], answers[1]) })
	}
}

// incompleteAnswerTimeout ends a call whose answer does not. What is asserted
// holds whether a call ends or not.
const incompleteAnswerTimeout = 50 * time.Millisecond

// wantMatchedAnswers answers two calls, the second on the connection of the first
// if it is kept. It asserts that no call gets the answer of another, and that a
// refusal without an id is believed only on a connection that had no other call.
func wantMatchedAnswers(t *testing.T, first, second string) {
	t.Helper()
	s := newScript(t, func(n int) (string, bool) {
		if n == 1 {
			return first, false
		}
		return second, true
	})
	r := newTestRelay(t)
	conns := 0
	for _, id := range []string{"a1", "a2"} {
		ctx, cancel := context.WithTimeout(t.Context(), incompleteAnswerTimeout)
		defer cancel()
		out := relayCall(ctx, r, callAt(s.Address(), id, id == "a2"))
		connsBefore := conns
		_, conns = s.Received()
		if out.err != nil || out.head.ID == id {
			continue
		}
		if out.head.ID != "" || !out.head.NotRun || conns == connsBefore {
			t.Fatalf("call %s got the answer of %q, not run %v, on connection %d", id, out.head.ID, out.head.NotRun, conns)
		}
	}
}

// Guards against a call that was not sent and of which the caller is told that it may
// have run, and against an attempt without a check that ends the daemon.
func TestFailedCheckMeansNotRun(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return wholeAnswer("a1", "x"), false })
	r := newTestRelay(t)
	for _, err := range []error{errors.New("plain"), wigeonladder.Errorf(wigeonladder.CodeBroken, "", "may have run")} {
		a := callAt(s.Address(), "a1", true)
		a.BeforeSend = func() error { return err }
		got := relayCall(t.Context(), r, a).err
		is.Equal(got.Code, wigeonladder.CodeContractLate)
		is.Equal(got.Code.Info().Outcome, wigeonladder.NotRun)
	}
	requests, _ := s.Received()
	is.Equal(len(requests), 0)
	a := callAt(s.Address(), "a1", true)
	a.BeforeSend = nil
	is.Equal(relayCall(t.Context(), r, a).body, "x")
}

// Guards against a long request that is sent although its caller left before the
// goroutine which writes it ran, seconds later in a daemon that is short of processor
// time, and against one of which the caller is then told that it may have run.
func TestLongRequestsAreCheckedWhenTheyAreWritten(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return wholeAnswer("a1", "x"), false })
	r := newTestRelay(t)
	a := callAt(s.Address(), "a1", false)
	a.Call.Body = []byte(strings.Repeat("x", 2*backgroundWriteMinBytes))
	checks := 0
	a.BeforeSend = func() error {
		if checks++; checks > 1 {
			return wigeonladder.Errorf(wigeonladder.CodeCallerGone, "", "left")
		}
		return nil
	}
	got := relayCall(t.Context(), r, a)
	is.True(got.err != nil)
	is.Equal(got.err.Code, wigeonladder.CodeCallerGone)
	requests, _ := s.Received()
	is.Equal(len(requests), 0)
	a.BeforeSend = nil
	is.Equal(relayCall(t.Context(), r, a).body, "x")
}

// Guards against a body that is written in the background while the head of the answer
// is read: the race detector finds state that both share.
func TestLongBodiesAreWrittenInTheBackground(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int) (string, bool) { return wholeAnswer("a1", "x"), false })
	r := newTestRelay(t)
	a := callAt(s.Address(), "a1", true)
	a.Call.Body = []byte(strings.Repeat("x", 4*backgroundWriteMinBytes))
	for range 20 {
		is.Equal(relayCall(t.Context(), r, a).body, "x")
	}
	requests, _ := s.Received()
	for _, q := range requests {
		is.Equal(q.Content, string(a.Call.Body))
	}
}
