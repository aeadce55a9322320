package backend

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/fake"
)

// answerEarly starts a server that answers each request as soon as its head has arrived,
// and then ends the connection while the rest of the request is on its way.
func answerEarly(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	l := fake.ListenLoopback()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 512)); err != nil {
					return
				}
				if _, err := c.Write([]byte(answer)); err != nil {
					return
				}
				if t, ok := c.(*net.TCPConn); ok {
					end(t)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer that counts as the whole one, because it states no
// length and the connection was reset while the request was still being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const tries = 40
	body := []byte(strings.Repeat("x", 4<<20))
	for name, rest := range map[string]string{
		"whole answer": signatureHeader + ": s\r\n\r\npart",
		"stream":       "Content-Type: " + streamType + "\r\n" + signatureHeader + ": s\r\n\r\nid: 1\ndata: a\n\n",
	} {
		for how, end := range map[string]func(*net.TCPConn){
			"reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
			"close": func(*net.TCPConn) {},
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				is := is.New(t)
				address := answerEarly(t, "HTTP/1.1 200 OK\r\n"+HeaderAttempt+": r.1\r\n"+rest, end)
				r := newTestRelay(t)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				whole := 0
				for range tries {
					a := callAt(address, "r.1", true)
					a.Call.Body = body
					if relayCall(ctx, r, a).err == nil {
						whole++
					}
				}
				is.NoErr(ctx.Err())
				is.Equal(whole, 0)
			})
		}
	}
}

// Guards against a whole answer without a length that counts as cut off, because it came
// before the server had read the request.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	for _, size := range []int{10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			address := answerEarly(t, "HTTP/1.1 200 OK\r\n"+HeaderAttempt+": r.1\r\n\r\nfine", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				b := make([]byte, 64<<10)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
				}
			})
			r := newTestRelay(t)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			a := callAt(address, "r.1", true)
			a.Call.Body = []byte(strings.Repeat("x", size))
			out := relayCall(ctx, r, a)
			is.Equal(out.err, nil)
			is.Equal(out.body, "fine")
		})
	}
}
