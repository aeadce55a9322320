package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// echo answers a call with its body.
func echo(_ context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
	_ = w.SendWhole(wigeonladder.Answer{Status: 200}, c.Body)
}

// Guards against unfinished bodies that keep other callers from being served, and
// against a refusal of such a body that its caller does not get.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.MemoryBytes = 256 << 10
	s, address := serve(t, limits, echo)
	stalled, stalledReader := dial(t, address)
	_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 25))
	is.NoErr(err)
	for end := time.Now().Add(deadline); s.Memory().Held["body"] < 100_000; {
		is.True(time.Now().Before(end))
	}
	// The body counts as stalled only after some time.
	c, r := dial(t, address)
	for end := time.Now().Add(deadline); post(t, c, r) != 200; c, r = dial(t, address) {
		is.True(time.Now().Before(end))
	}
	resp, err := http.ReadResponse(stalledReader, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close)
	is.Equal(s.Memory().Evicted, int64(1))
}

// Guards against bytes that stay counted after their request has ended.
func TestMemoryIsReleased(t *testing.T) {
	for name, text := range map[string]string{
		"length":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"chunks":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"pipelined":   strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 3),
		"broken off":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\nabc",
		"cut chunk":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
		"no header":   "POST / HT",
		"not a chunk": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			s, address := serve(t, defaultLimits, func(ctx context.Context, c *wigeonladder.Call, w wigeonladder.Reply) {
				calls.Add(1)
				echo(ctx, c, w)
			})
			c, _ := dial(t, address)
			_, err := io.WriteString(c, text)
			is.NoErr(err)
			wanted := int64(strings.Count(text, "abc"))
			if !strings.HasSuffix(text, "abc") && !strings.HasSuffix(text, "0\r\n\r\n") || strings.Contains(text, "300") {
				wanted = 0
			}
			for end := time.Now().Add(deadline); calls.Load() < wanted; {
				is.True(time.Now().Before(end))
			}
			is.NoErr(c.Close())
			for end := time.Now().Add(deadline); s.OpenConns() > 0; {
				is.True(time.Now().Before(end))
			}
			for end := time.Now().Add(deadline); fmt.Sprint(s.Memory().Held) != "map[answer:0 body:0 head:0]"; {
				is.True(time.Now().Before(end))
			}
			is.Equal(calls.Load(), wanted)
		})
	}
}

// Guards against a body that grows by a few bytes at a time and holds its room for
// long.
func TestSlowBodyIsRefused(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.ProgressTime = 50 * time.Millisecond
	_, address := serve(t, limits, echo)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			_, _ = io.WriteString(c, "1\r\nx\r\n")
			time.Sleep(5 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 408)
}

// Guards against a body that is read although its head has decided the answer, and
// against a decision about a call that has arrived.
func TestCallIsJudgedByItsHead(t *testing.T) {
	for name, x := range map[string]struct {
		head   string
		judged int
		status int
	}{
		"announced":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", 100000, 404},
		"in chunks":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", -1, 404},
		"expects":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n", 10, 404},
		"no body":     {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 0, 200},
		"has arrived": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 0, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, address := serve(t, defaultLimits, echo)
			var judged atomic.Int64
			s.o.Judge = func(_ *wigeonladder.Call, bodyBytes int) (string, *wigeonladder.Error) {
				judged.Store(int64(bodyBytes))
				return "", wigeonladder.Errorf(wigeonladder.CodeNoService, "", "no route")
			}
			c, r := dial(t, address)
			_, err := io.WriteString(c, x.head)
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, x.status)
			is.Equal(judged.Load(), int64(x.judged))
			is.Equal(resp.Close, x.status != 200)
		})
	}
}

// Guards against a caller that waits for the permission to send its body.
func TestExpectedContinue(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, defaultLimits, echo)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(c, "abc")
	is.NoErr(err)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "abc")
}

// Guards against a request that is cut, parsed as another one, or answered out of
// order when requests are pipelined.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, defaultLimits, echo)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naPOST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\nc")
	is.NoErr(err)
	for _, want := range []string{"a", "b", "c"} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.NoErr(err)
		is.Equal(string(body), want)
		is.Equal(resp.Close, want == "c")
	}
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}
