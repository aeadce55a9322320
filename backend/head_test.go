package backend

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// ownAnswers are answers to the attempt r.1 of which a server says what became of it.
var ownAnswers = map[string]string{
	"success": plainOK("fine"),
	"failure": "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: r.1\r\nContent-Length: 2\r\n\r\nno",
}

// leftBytes are what a faulty server may leave on a connection before its answer to
// the attempt r.1.
var leftBytes = map[string]string{
	"status line of a refusal":  "HTTP/1.1 503 Service Unavailable",
	"half a status line":        "HTTP/1.1 50",
	"reason and line end":       "HTTP/1.1 200 OK\r",
	"line of a success":         "HTTP/1.1 200 OK\r\n",
	"refusal, cut in a value":   "HTTP/1.1 503 S\r\nX-Not-Run: true\r\nRetry-After: 0.2",
	"refusal, cut in the mark":  "HTTP/1.1 503 S\r\nX-Not-Run: true",
	"refusal, cut in a name":    "HTTP/1.1 503 S\r\nX-Not-Run: true\r\nRetry",
	"refusal, cut after a line": "HTTP/1.1 503 S\r\nX-Not-Run: true\r\nRetry-After: 1\r\n",
	"refusal, cut at its id":    "HTTP/1.1 503 S\r\nX-Not-Run: true\r\nX-Attempt-Id: ",
	"hints, cut":                "HTTP/1.1 103 Early Hints\r\nLink: ",
	"empty line":                "\r\n",
	"end of a chunked body":     "0\r\n\r\n",
	"end of a head":             "X-Not-Run: true\r\n\r\n",
	"text":                      "fine",
}

// Guards against bytes that a server left on a connection and that become a part of
// the next answer's head: the head then says "not run" of a call that ran, or success
// of one that failed. The callers of both clients would believe it.
func TestLeftBytesArePartOfNoAnswer(t *testing.T) {
	for left, l := range leftBytes {
		for answer, a := range ownAnswers {
			t.Run(left+", "+answer, func(t *testing.T) {
				wantUnknownOrigin(t, l+a)
			})
		}
	}
}

// wantUnknownOrigin asserts that an answer to the second call of a connection tells
// nothing about the call, with both clients.
func wantUnknownOrigin(t *testing.T, answer string) {
	t.Helper()
	second := func(n int) (string, bool) {
		if n == 1 {
			return plainOK("first"), false
		}
		return answer, false
	}
	s := newScript(t, second)
	r := newTestRelay(t)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	for _, want := range []wigeonladder.Code{wigeonladder.CodeOK, wigeonladder.CodeCrossed} {
		out := relayCall(ctx, r, callAt(s.Address(), "r.1", true))
		wantCode(t, "relay", out.err, want)
	}
	s = newScript(t, second)
	c := newTestClient(t, Options{})
	a := attemptAt(s, "POST", "/x", "")
	a.Request.AtMostOnce = true
	for _, want := range []wigeonladder.Code{wigeonladder.CodeOK, wigeonladder.CodeCrossed} {
		_, u, err := runAttempt(t, c, a)
		wantCode(t, "client", asErrorOrNil(err), want)
		is.New(t).True(u.Cost > 0) // the call counts as one that may have run
	}
}

// asErrorOrNil returns the *wigeonladder.Error that err is or wraps; nil for nil.
func asErrorOrNil(err error) *wigeonladder.Error {
	if err == nil {
		return nil
	}
	return asError(err)
}

// wantCode asserts that an error has a code; CodeOK for no error.
func wantCode(t *testing.T, who string, err *wigeonladder.Error, want wigeonladder.Code) {
	t.Helper()
	got := wigeonladder.CodeOK
	if err != nil {
		got = err.Code
	}
	if got != want {
		t.Fatalf("%s: want %v, got %v (%v)", who, want, got, err)
	}
}

// Guards against heads of sound servers that pass for mixed ones.
func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 404\r\nServer: x\r\n\r\n",
		"HTTP/1.1 204 \r\nVia: HTTP/1.1 gate, 1.1 other\r\nLink: <http://h/HTTP/1.1>\r\n\r\n",
		"HTTP/1.1 200 Fine, thanks: really\r\nX-Empty:\r\nDate: Sun, 06 Dec 2026 06:00:00 GMT\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Y: 1\r\nX-Y: 2\r\n\r\n",
	} {
		for _, size := range []int{1, 5, len(head)} {
			t.Run(fmt.Sprintf("%.30q in pieces of %d", head, size), func(t *testing.T) {
				is.New(t).NoErr(awaitHead(bufio.NewReaderSize(&pieces{rest: head, size: size}, readBufferBytes)))
			})
		}
	}
}

// pieces is a reader that returns at most size bytes at a time.
type pieces struct {
	rest string
	size int
}

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	n, err := strings.NewReader(p.rest).Read(b[:min(p.size, len(b))])
	p.rest = p.rest[n:]
	return n, err
}
