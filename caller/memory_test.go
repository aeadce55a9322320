package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// memoryRig starts a rig whose callers may make the server hold little.
func memoryRig(t *testing.T, bytes int64) (r *rig, address string) {
	t.Helper()
	r = newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
		o.MemoryBytes = bytes
		address = o.Listener.Addr().String()
	})
	return r, address
}

// sendPart opens a connection and sends the beginning of a call of the desk.
func sendPart(t *testing.T, address, path, body string, headers ...string) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-alder\r\n"+strings.Join(append(headers, "Transfer-Encoding: chunked"), "\r\n")+"\r\n\r\n"+body)
	is.NoErr(err)
	return c, bufio.NewReader(c)
}

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// Guards against unfinished bodies that keep other callers from being served, and
// against a refusal that promises "not run" of a call that may have run before.
func TestStalledBodiesGiveWay(t *testing.T) {
	for name, x := range map[string]struct {
		headers []string
		want    wigeonladder.Code
	}{
		"call":               {nil, wigeonladder.CodeOverload},
		"call with a ticket": {[]string{"X-Ticket: t"}, wigeonladder.CodeTicketAway},
	} {
		t.Run(name, func(t *testing.T) {
			r, address := memoryRig(t, 400<<10)
			stalled, in := sendPart(t, address, "/s/desk/deposit", chunk(200<<10), x.headers...)
			body := strings.Repeat("y", 150<<10)
			waitFor(t, "others are served, and the stalled body gives way", func() bool {
				wantServed := r.send("POST", "/s/desk/search", "key-birch", body)
				_ = stalled.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
				_, err := in.Peek(1)
				return wantServed.Status == 200 && err == nil
			})
			wantCode(t, readReply(t, stalled, in), x.want)
		})
	}
}

// Guards against bodies beyond the limit that are held, and against a caller that gets
// no answer to one.
func TestOversizeBodies(t *testing.T) {
	r, address := memoryRig(t, 16<<20)
	wantCode(t, r.send("POST", "/s/desk/search", "key-alder", strings.Repeat("x", 2<<20)), wigeonladder.CodeTooLarge)
	c, in := sendPart(t, address, "/s/desk/search", strings.Repeat(chunk(64<<10), 17))
	wantCode(t, readReply(t, c, in), wigeonladder.CodeTooLarge)
	body := strings.Repeat("x", 1<<20)
	for range 20 {
		wantDesk(t, r.send("POST", "/s/desk/search", "key-alder", body), "POST", "/search", body)
	}
}

// Guards against a body that somebody without a key makes the server hold.
func TestBodyWithoutKeyIsNotRead(t *testing.T) {
	r, _ := memoryRig(t, 16<<20)
	a := r.send("POST", "/s/desk/search", "key-nobody", strings.Repeat("x", 1<<20))
	if a.Err == nil {
		wantCode(t, a, wigeonladder.CodeBadCredential)
	}
}
