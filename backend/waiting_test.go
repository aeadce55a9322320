package backend

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against a request on a connection on which bytes wait, or which has ended:
// the bytes would be taken for the beginning of its answer.
func TestWaitingBytesCloseTheConnection(t *testing.T) {
	for name, body := range map[string]string{"short": "x", "long": strings.Repeat("x", 2*backgroundWriteMinBytes)} {
		for _, left := range []string{refusalAnswer(503, ""), "\r\n", ""} {
			t.Run(name+" body, "+left[:min(len(left), 12)], func(t *testing.T) {
				l := fake.ListenLoopback()
				t.Cleanup(func() { _ = l.Close() })
				r, c := newTestRelay(t), newTestClient(t, Options{ConnectTimeout: deadline})
				call := callAt(l.Addr().String(), "a1", false)
				call.Call.Body = []byte(body)
				call.BeforeSend = leaveBytes(t, r.pool, l, left)
				out := relayCall(t.Context(), r, call)
				wantCode(t, "relay", out.err, wigeonladder.CodeConnect)
				a := wigeonladder.Attempt{
					Request: wigeonladder.Request{ID: "r", Method: "POST", Path: "/x", Body: []byte(body)}, Number: 1,
					Server: wigeonladder.Server{Name: "raw", Address: l.Addr().String()}, BeforeSend: leaveBytes(t, c.pool, l, left),
				}
				_, u, err := runAttempt(t, c, a)
				wantCode(t, "client", asErrorOrNil(err), wigeonladder.CodeConnect)
				is.New(t).Equal(u.Cost, int64(0))
			})
		}
	}
}

// leaveBytes puts a connection into a pool. It returns a check for the call that uses
// it: the server writes bytes, or closes the connection if there are none, and the
// check returns once they have arrived.
func leaveBytes(t *testing.T, p *pool, l net.Listener, left string) func() error {
	t.Helper()
	is := is.New(t)
	c, err := p.get(t.Context(), l.Addr().String())
	is.NoErr(err)
	peer, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = peer.Close() })
	p.putUnused(c)
	return func() error {
		if left == "" {
			_ = peer.Close()
		}
		_, _ = peer.Write([]byte(left))
		fake.Await(deadline, func() bool { return !c.usable() })
		return nil
	}
}
