package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against a daemon that reads a request only after its caller has left,
// and against a refusal that the caller does not get, because its request was
// not read.
func TestUnreadRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.MaxUnreadConns = 1
	s, address := serve(t, limits, func(_ context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
		_ = w.SendWhole(wigeonladder.Answer{Status: 200}, c.Body)
	})
	silent, silentReader := dial(t, address)
	refused, r := dial(t, address)
	// A silent connection counts as unread for a short time only.
	for end := time.Now().Add(deadline); post(t, refused, r) != 503; refused, r = dial(t, address) {
		is.True(time.Now().Before(end))
		dial(t, address)
	}
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	is.True(s.ShedConns() > 0)
	is.Equal(post(t, silent, silentReader), 200)
}

// post sends a request with a long body and returns the status of its answer.
func post(t *testing.T, c net.Conn, r *bufio.Reader) int {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
	is.NoErr(err)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	return resp.StatusCode
}

// Guards against callers whose calls were refused for want of room and who keep their
// connections during a flood.
func TestRefusalsForWantOfRoomEndConnections(t *testing.T) {
	for _, x := range []struct {
		code  wigeonladder.Code
		close bool
	}{{wigeonladder.CodeOverload, true}, {wigeonladder.CodeShareUsed, true}, {wigeonladder.CodeNoService, false}} {
		t.Run(x.code.String(), func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t, defaultLimits, func(_ context.Context, _ *wigeonladder.Call, w wigeonladder.Reply) {
				w.Refuse(wigeonladder.Errorf(x.code, "", "refused"))
			})
			c, r := dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, x.code.Info().Status)
			is.Equal(resp.Close, x.close)
		})
	}
}
