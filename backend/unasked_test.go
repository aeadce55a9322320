package backend

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against an answer to an earlier attempt that counts as the failure of the
// next one, or as a report of the server's load.
func TestEarlierAnswersAreNoFailureAndNoLoad(t *testing.T) {
	for name, left := range map[string]string{
		"failure without an id": "HTTP/1.1 502 B\r\nContent-Length: 0\r\n\r\n",
		"answer with an id":     strings.Replace(plainOK(`{"running":7}`), "r.1", "q.1", 1),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, func(n int) (string, bool) {
				if n%2 == 1 {
					return plainOK("first"), false
				}
				return left, false
			})
			c := newTestClient(t, Options{ConnectTimeout: deadline})
			a := attemptAt(s, "GET", "/x", "")
			for _, want := range []wigeonladder.Code{wigeonladder.CodeOK, wigeonladder.CodeCrossed, wigeonladder.CodeOK} {
				_, _, err := runAttempt(t, c, a)
				wantCode(t, "client", asErrorOrNil(err), want)
			}
			_, err := c.Load(t.Context(), a.Server)
			is.New(t).True(err != nil)
		})
	}
}

// leftKind is an answer of an earlier call, of which a server may leave a part.
type leftKind struct{ name, text string }

var leftKinds = []leftKind{
	{"success", wholeAnswer("a1", "earlier")},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno"},
	{"refusal", refusalAnswer(503, "")},
	{"refusal with its id", refusalAnswer(429, "a1")},
	{"stream", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\na\r\ndata: 1\n\n\r\n0\r\n\r\n"},
	{"hints", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nX-Not-Run: true\r\n\r\n"},
	{"unframed", "HTTP/1.0 200 OK\r\nX-Attempt-Id: a1\r\n\r\nearlier"},
}

// trueAnswers are the answers to the call under test, and what became of it.
var trueAnswers = []struct {
	name, text     string
	status         int
	body           string
	refused, fails bool
}{
	{"length", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nfine", 200, "fine", false, false},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", 200, "fine", false, false},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: r.1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", 500, "no", false, true},
	{"not found", "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: r.1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", 404, "no", false, false},
	{"refusal", refusalAnswer(503, "r.1"), 503, "", true, true},
	{"after hints", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204 No Content\r\nX-Attempt-Id: r.1\r\n\r\n", 204, "", false, false},
}

// unaskedTimeout ends a call that waits for the rest of an answer which does not come.
// What the property says holds whether a call ends by it or not.
const unaskedTimeout = 40 * time.Millisecond

// Guards against bytes that nobody asked for and that decide what becomes of a call:
// whatever part of an earlier answer a server leaves before the answer to a call, the
// call ends with the truth or with an error that says that it may have run, and not
// with the end of its run while the server keeps the connection open.
func TestUnaskedBytesDecideNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		left := rapid.SampledFrom(leftKinds).Draw(rt, "left")
		answer := rapid.SampledFrom(trueAnswers).Draw(rt, "answer")
		useRelay := rapid.Bool().Draw(rt, "relay")
		exclusive := rapid.Bool().Draw(rt, "exclusive")
		text := left.text + rapid.SampledFrom([]string{"", left.text}).Draw(rt, "once more")
		const step = 13
		var cuts []int
		for cut := rapid.IntRange(0, step-1).Draw(rt, "first cut"); cut <= len(text); cut += step {
			cuts = append(cuts, cut)
		}
		outs := make([]relayed, len(cuts))
		var calls sync.WaitGroup
		for i, cut := range cuts {
			calls.Go(func() { outs[i] = secondCall(t, text[:cut]+answer.text, useRelay, exclusive) })
		}
		calls.Wait()
		for i, out := range outs {
			if out.err == nil && (out.head.Status != answer.status || out.body != answer.body || out.head.NotRun != answer.refused) {
				rt.Fatalf("cut at %d: status %d, body %q, not run %v", cuts[i], out.head.Status, out.body, out.head.NotRun)
			}
			if out.err == nil || out.err.Code == wigeonladder.CodeRefused && answer.refused || out.err.Code == wigeonladder.CodeBackend && answer.fails {
				continue
			}
			if c := out.err.Code; c != wigeonladder.CodeCrossed && c != wigeonladder.CodeTimeout {
				rt.Fatalf("cut at %d: %v", cuts[i], out.err)
			}
		}
	})
}

// secondCall sends two calls over one connection, whose answers are a whole one and the
// given one, and returns what became of the second call.
func secondCall(t *testing.T, answer string, useRelay, exclusive bool) relayed {
	t.Helper()
	s := newScript(t, func(n int) (string, bool) {
		if n == 1 {
			return plainOK("first"), false
		}
		return answer, false
	})
	if useRelay {
		return secondRelayed(t, s.Address(), exclusive)
	}
	return secondAttempted(t, s)
}

// secondRelayed sends two calls over one connection with a Relay and returns what
// became of the second one.
func secondRelayed(t *testing.T, address string, exclusive bool) relayed {
	t.Helper()
	r := newTestRelay(t)
	defer r.Close()
	if first := relayCall(t.Context(), r, callAt(address, "r.1", true)); first.err != nil {
		return first
	}
	ctx, cancel := context.WithTimeout(t.Context(), unaskedTimeout)
	defer cancel()
	a := callAt(address, "r.1", !exclusive)
	a.Exclusive = exclusive
	return relayCall(ctx, r, a)
}

// secondAttempted does the same with a Client. An answer that it does not pass on,
// such as a refusal, is an error.
func secondAttempted(t *testing.T, s *fake.ScriptedServer) relayed {
	t.Helper()
	c := newTestClient(t, Options{ConnectTimeout: deadline})
	defer c.Close()
	a := attemptAt(s, "GET", "/x", "")
	if _, err := c.Do(t.Context(), a, &recordingSink{}); err != nil {
		return relayed{err: asError(err)}
	}
	ctx, cancel := context.WithTimeout(t.Context(), unaskedTimeout)
	defer cancel()
	sink := &recordingSink{}
	_, err := c.Do(ctx, a, sink)
	return relayed{head: AnswerHead{Answer: wigeonladder.Answer{Status: sink.status}}, body: sink.body, err: asErrorOrNil(err)}
}
