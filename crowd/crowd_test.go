package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// missingBytes is how many bytes each unfinished body lacks.
	missingBytes = 64
	// oversizeBytes is the length of the bodies beyond the limit.
	oversizeBytes = 16 * maxBody
	// answerBytes is the length of the answers that slowReaders callers read slowly. It
	// exceeds what the buffers of a connection hold.
	answerBytes = 8 << 20
	slowReaders = 64
	// longHeadBytes is the length of a long head, which the users' pages allow.
	longHeadBytes = 15 << 10
	// slowReadBuffer is the receive buffer of a caller that reads slowly, in bytes.
	slowReadBuffer = 4 << 10
)

// Guards against callers that end a daemon, or shut out others, by bodies that they
// never finish: in large chunks, in very small ones, or with a length.
func TestUnfinishedBodies(t *testing.T) {
	for _, chunk := range []int{65536, 16} {
		t.Run(fmt.Sprintf("chunks of %d bytes", chunk), func(t *testing.T) {
			r := newRig(t)
			text := chunks(chunk)
			perChunk := len(fmt.Sprintf("%x\r\n\r\n", chunk)) + chunk
			g := r.newCrowd(r.settings.CallerAddress, crowdSize, func(g *crowd, i int, c net.Conn) {
				g.send(c, []byte(head(i, "/x", "Transfer-Encoding: chunked")), len(head(i, "/x", "Transfer-Encoding: chunked")))
				g.send(c, text, (maxBody-missingBytes)/chunk*perChunk)
				g.readStatus(c)
			})
			r.settle(g)
			r.wantWithinLimits()
			r.wantServed(1000)
			r.wantWithinLimits()
		})
	}
	t.Run("with a length", func(t *testing.T) {
		r := newRig(t)
		text := []byte(strings.Repeat("x", 64<<10))
		g := r.newCrowd(r.settings.CallerAddress, crowdSize, func(g *crowd, i int, c net.Conn) {
			h := head(i, "/x", fmt.Sprintf("Content-Length: %d", maxBody))
			g.send(c, []byte(h), len(h))
			g.send(c, text, maxBody-missingBytes)
			g.readStatus(c)
		})
		r.settle(g)
		r.wantWithinLimits()
		r.wantServed(1000)
		r.wantWithinLimits()
	})
}

// Guards against callers that end a daemon by bodies far beyond the limit.
func TestOversizeBodies(t *testing.T) {
	for name, lines := range map[string]string{
		"announced":   fmt.Sprintf("Content-Length: %d", oversizeBytes),
		"unannounced": "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			text := chunks(65536)
			g := r.newCrowd(r.settings.CallerAddress, crowdSize, func(g *crowd, i int, c net.Conn) {
				h := head(i, "/x", lines)
				g.send(c, []byte(h), len(h))
				g.send(c, text, oversizeBytes)
				g.readStatus(c)
			})
			r.settle(g)
			r.wantWithinLimits()
			r.wantServed(1000)
			r.wantWithinLimits()
		})
	}
}

// Guards against callers that end a daemon, or shut out others, by reading long
// answers slowly.
func TestSlowReaders(t *testing.T) {
	r := newRig(t)
	body := strings.Repeat("x", answerBytes)
	r.server.SetRawAnswer(func(q *http.Request) (stub.RawAnswer, bool) {
		if q.URL.Path != "/long" {
			return stub.RawAnswer{}, false
		}
		return stub.RawAnswer{Text: stub.BodyText(stub.CallID(q), body)}, true
	})
	g := r.newCrowd(r.settings.CallerAddress, slowReaders, func(g *crowd, i int, c net.Conn) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(slowReadBuffer)
		}
		h := head(i, "/long", "Content-Length: 0")
		g.send(c, []byte(h), len(h))
		g.readStatus(c)
	})
	r.settle(g)
	r.wantWithinLimits()
	r.wantServed(1000)
	r.wantWithinLimits()
}

// Guards against callers that take the descriptors of a daemon, by connections on
// which they send nothing, or the beginning of a head.
func TestManyConnections(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "part of a head": "POST / HTTP/1.1\r\nHost: "} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, address := range []string{r.settings.CallerAddress, r.settings.ReadinessAddress, r.settings.MetricsAddress} {
				g := r.newCrowd(address, files+100, func(_ *crowd, _ int, c net.Conn) { _, _ = io.WriteString(c, text) })
				r.settle(g)
				r.wantWithinLimits()
				r.wantServed(1000)
				r.eventually("the daemon answers readiness checks", func() bool { return stub.Ready(t.Context(), r.settings.ReadinessAddress) })
				r.wantWithinLimits()
			}
		})
	}
}

// Guards against callers who together end a daemon, or shut out others, though each
// kind of them stays within its bound: unfinished bodies, slow readers, calls with
// long heads that wait for their server, and connections without a request.
func TestAllAtOnce(t *testing.T) {
	r := newRig(t)
	body := strings.Repeat("x", answerBytes)
	r.server.SetRawAnswer(func(q *http.Request) (stub.RawAnswer, bool) {
		switch q.URL.Path {
		case "/long":
			return stub.RawAnswer{Text: stub.BodyText(stub.CallID(q), body)}, true
		case "/wait":
			<-q.Context().Done()
			return stub.RawAnswer{Reset: true}, true
		}
		return stub.RawAnswer{}, false
	})
	text := chunks(16)
	longLine := "X-Long: " + strings.Repeat("x", longHeadBytes)
	g := r.newCrowd(r.settings.CallerAddress, 4*crowdSize, func(g *crowd, i int, c net.Conn) {
		h := ""
		switch i % 4 {
		case 0:
			h = head(i, "/x", "Transfer-Encoding: chunked")
		case 1:
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetReadBuffer(slowReadBuffer)
			}
			h = head(i, "/long", "Content-Length: 0")
		case 2:
			h = head(i, "/wait", longLine, "Content-Length: 0")
		}
		g.send(c, []byte(h), len(h))
		if i%4 == 0 {
			g.send(c, text, maxBody)
		}
		if i%4 != 3 {
			g.readStatus(c)
		}
	})
	r.settle(g)
	r.wantWithinLimits()
	r.wantServed(1000)
	r.wantWithinLimits()
}

// Guards against limits that refuse a request inside the users' limits while nothing
// else goes on.
func TestLargestBodyIsServed(t *testing.T) {
	r := newRig(t)
	for range 3 {
		r.wantServed(maxBody)
	}
	is.New(t).Equal(len(r.server.Runs()), 4)
	r.wantWithinLimits()
}
