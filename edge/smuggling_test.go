package edge_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Guards against a second call that is hidden in the body or the header of
// another one and runs.
func TestNothingIsSmuggled(t *testing.T) {
	r := newRig(t)
	get := func(id, more string) string {
		return "GET /public/x HTTP/1.1\r\nHost: " + host + "\r\n" + stub.CallIDHeaderLine(id) + more + "\r\n"
	}
	for name, rest := range map[string]func(inner string) string{
		"two lengths": func(s string) string {
			return fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
		},
		"list of lengths":   func(s string) string { return fmt.Sprintf("Content-Length: 0, %d\r\n\r\n%s", len(s), s) },
		"signed length":     func(s string) string { return "Content-Length: +0\r\n\r\n" + s },
		"length and chunks": func(s string) string { return "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + s },
		"odd coding":        func(s string) string { return "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + s },
		"two codings": func(s string) string {
			return "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + s
		},
		"space before colon":    func(s string) string { return fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(s), s) },
		"bare line feed":        func(s string) string { return fmt.Sprintf("X-A: b\nContent-Length: %d\r\n\r\n%s", len(s), s) },
		"bare line feed at end": func(s string) string { return "Content-Length: 0\n\n" + s },
		"carriage return":       func(s string) string { return fmt.Sprintf("X-A: b\rContent-Length: %d\r\n\r\n%s", len(s), s) },
		"folded header":         func(s string) string { return fmt.Sprintf("X-A: b\r\n Content-Length: %d\r\n\r\n%s", len(s), s) },
		"bad chunk":             func(s string) string { return "Transfer-Encoding: chunked\r\n\r\n5;a\nb\r\nabcde\r\n0\r\n\r\n" + s },
		"chunk length overflow": func(s string) string { return "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + s },
		"hidden in the body":    func(s string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(s), s) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprintf("inner-%d", r.ids.Add(1))
			text := "POST /public/x HTTP/1.1\r\nHost: " + host + "\r\n" + stub.CallIDHeaderLine("outer") + rest(get(id, ""))
			c, err := net.Dial("tcp", r.callerAddresses[0])
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(deadline)))
			// The last call closes the connection, unless something before it already
			// does.
			_, err = io.WriteString(c, text+get("last", "Connection: close\r\n"))
			is.NoErr(err)
			_, err = io.ReadAll(c)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
			for _, x := range r.runs(id) {
				t.Errorf("a smuggled call ran: %s %s", x.Method, x.Path)
			}
		})
	}
}
