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

// contradictoryHeads are heads of the attempt r.1 that no single answer has, for both
// clients.
var contradictoryHeads = map[string]string{
	"two ids":              "HTTP/1.1 500 E\r\nX-Attempt-Id: r.1\r\nx-attempt-id: q\r\nContent-Length: 0\r\n\r\n",
	"the id twice":         "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"two marks":            "HTTP/1.1 503 S\r\nX-Attempt-Id: r.1\r\nX-Not-Run: true\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
	"two lengths":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
	"length and chunks":    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"status 000":           "HTTP/1.1 000 E\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"status 099":           "HTTP/1.1 099 E\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"status 101":           "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: r.1\r\n\r\n",
	"status 600":           "HTTP/1.1 600 E\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"status 612":           "HTTP/1.1 612 E\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"status 999":           "HTTP/1.1 999 E\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"HTTP 0.9":             "HTTP/0.9 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"HTTP 2.0":             "HTTP/2.0 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: 0\r\n\r\n",
	"compressed chunks":    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"unknown encoding":     "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nTransfer-Encoding: identity\r\n\r\nx",
	"negative length":      "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: -1\r\n\r\nx",
	"signed length":        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nContent-Length: +1\r\n\r\nx",
	"success that refuses": "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a head of two answers that counts as one of them because all its
// lines are proper.
func TestContradictoryHeadsAreBelievedInNothing(t *testing.T) {
	for name, answer := range contradictoryHeads {
		t.Run(name, func(t *testing.T) { wantUnknownOrigin(t, answer) })
	}
}

// Guards against a refusal that carries the signature of a run.
func TestSignedRefusalsAreNotBelieved(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first on its connection %v", first), func(t *testing.T) {
			s := newScript(t, func(n int) (string, bool) {
				if n == 1 && !first {
					return wholeAnswer("a", "x"), false
				}
				return strings.Replace(refusalAnswer(503, "a"), "\r\n", "\r\n"+signatureHeader+": s\r\n", 1), false
			})
			r := newTestRelay(t)
			if !first {
				wantCode(t, "relay", relayCall(t.Context(), r, callAt(s.Address(), "a", true)).err, wigeonladder.CodeOK)
			}
			wantCode(t, "relay", relayCall(t.Context(), r, callAt(s.Address(), "a", true)).err, wigeonladder.CodeCrossed)
		})
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

// Guards against a call that is sent to a second server while the first one may still
// run it: the first left bytes on the connection that are not the answer. Only the end
// of the connection shows that the run has ended.
func TestRunningCallsAreNotGivenUp(t *testing.T) {
	refusal, answer := refusalAnswer(503, ""), wholeAnswer("a2", "fine")
	for _, k := range []struct {
		name, second      string
		exclusive, closes bool
		want              wigeonladder.Code
	}{
		{"refusal and answer", refusal + answer, true, false, wigeonladder.CodeOK},
		{"refusal, no answer yet", refusal, true, false, wigeonladder.CodeTimeout},
		{"refusal, no answer yet, may run twice", refusal, false, false, wigeonladder.CodeCrossed},
		{"cut refusal and answer", refusal[:20] + answer, true, false, wigeonladder.CodeCrossed},
		{"cut refusal and answer, may run twice", refusal[:20] + answer, false, false, wigeonladder.CodeCrossed},
		{"cut refusal and end", refusal[:20], true, true, wigeonladder.CodeBroken},
		{"cut refusal, answer and end", refusal[:20] + answer, true, true, wigeonladder.CodeBroken},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := newScript(t, func(n int) (string, bool) {
				if n == 1 {
					return wholeAnswer("a1", "x"), false
				}
				return k.second, k.closes
			})
			r := newTestRelay(t)
			timeout := deadline
			if k.want == wigeonladder.CodeTimeout {
				timeout = 2 * RunEndTimeout
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			wantCode(t, "relay", relayCall(ctx, r, callAt(s.Address(), "a1", true)).err, wigeonladder.CodeOK)
			a := callAt(s.Address(), "a2", false)
			a.Exclusive = k.exclusive
			wantCode(t, "relay", relayCall(ctx, r, a).err, k.want)
		})
	}
}
