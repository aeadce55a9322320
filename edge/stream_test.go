package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// brokenStreamEvents is the number of events of the streams that break off.
const brokenStreamEvents = 3

// framings are the framings of the stream that breaks off.
var framings = map[string]stub.Framing{"chunked": stub.Chunked, "unframed": stub.Unframed, "HTTP 1.0": stub.Unframed10}

// secondAnswers are answers of the server at which a broken stream goes on, after
// the last event that the caller has.
var secondAnswers = map[string]func(id string, after int) string{
	"the rest": func(id string, after int) string {
		return stub.StreamText(id, after+1, brokenStreamEvents, stub.Chunked)
	},
	"from the start":  func(id string, _ int) string { return stub.StreamText(id, 1, brokenStreamEvents, stub.Chunked) },
	"whole answer":    func(id string, _ int) string { return stub.WholeText(id) },
	"status 404":      func(id string, _ int) string { return stub.ErrorText(id, 404, false) },
	"status 500":      func(id string, _ int) string { return stub.ErrorText(id, 500, false) },
	"refusal":         func(id string, _ int) string { return stub.ErrorText(id, 503, true) },
	"after a gap":     func(id string, after int) string { return gapText(id, after) },
	"without ids":     func(id string, _ int) string { return stub.EventsText(id, stub.Chunked, "data: a\n\n", "data: b\n\n") },
	"other ids":       func(id string, _ int) string { return stub.EventsText(id, stub.Chunked, "id: x\ndata: a\n\n") },
	"a cut head":      func(id string, _ int) string { return stub.WholeText(id)[:40] },
	"nothing":         func(string, int) string { return "" },
	"a broken rest":   func(id string, after int) string { return cutText(id, after) },
	"an empty stream": func(id string, _ int) string { return stub.EventsText(id, stub.Unframed) },
	"an error as stream": func(id string, _ int) string {
		return stub.EventsText(id, stub.Chunked, "event: error\ndata: failed\n\n")
	},
}

// gapText returns a stream that lacks the event after the given one, if events of
// the stream have reached the caller.
func gapText(id string, after int) string {
	if after == 0 {
		return stub.StreamText(id, 1, brokenStreamEvents, stub.Chunked)
	}
	return stub.StreamText(id, after+2, brokenStreamEvents+1, stub.Chunked)
}

// cutText returns the rest of a stream, cut inside its first event.
func cutText(id string, after int) string {
	text := stub.StreamText(id, after+1, brokenStreamEvents, stub.Chunked)
	return text[:min(strings.Index(text, "\r\n\r\n")+12, len(text)-1)]
}

// breakingServers makes the servers of a rig answer the first sending of each call
// with a stream that is cut, and the others with another answer. The returned
// function reports whether a call was sent again before its caller had an event, so
// that its answer is that of the second server.
func breakingServers(r *rig, f stub.Framing, cut int, reset bool, second func(id string, after int) string) (startedAnew func(id string) bool) {
	var mu sync.Mutex
	seen, anew := map[string]bool{}, map[string]bool{}
	for _, s := range r.engines {
		s.SetRawAnswer(func(q *http.Request) (stub.RawAnswer, bool) {
			id := stub.CallID(q)
			mu.Lock()
			first := !seen[id]
			anew[id] = !first && stub.LastEvent(q) == 0
			seen[id] = true
			mu.Unlock()
			if first {
				text := stub.StreamText(id, 1, brokenStreamEvents, f)
				return stub.RawAnswer{Text: text[:min(cut, len(text))], Reset: reset}, true
			}
			return stub.RawAnswer{Text: second(id, stub.LastEvent(q))}, true
		})
	}
	return func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return anew[id]
	}
}

// wantPrefix asserts that a body is the right stream or its beginning, and the whole
// one if it looks complete.
func wantPrefix(t *testing.T, what, id, body string, complete bool) {
	t.Helper()
	var whole strings.Builder
	for i := 1; i <= brokenStreamEvents; i++ {
		whole.WriteString(stub.Event(id, i))
	}
	if !strings.HasPrefix(whole.String(), body) {
		t.Fatalf("%s: the stream is %q", what, body)
	}
	if complete && body != whole.String() {
		t.Fatalf("%s: the stream ended as complete: %q", what, body)
	}
}

// Guards against bytes of another answer in the middle of a stream that broke off,
// and against a broken stream that ends as if it were complete.
func TestBrokenStreamsGoOnOrBreak(t *testing.T) {
	for framing, f := range framings {
		for name, second := range secondAnswers {
			t.Run(framing+", then "+name, func(t *testing.T) {
				r := newRig(t, withRetry(1, 10000))
				text := stub.StreamText("c-100", 1, brokenStreamEvents, f)
				// Cuts inside the head differ only in the first answer.
				start := strings.Index(text, "\r\n\r\n")
				if name == "the rest" {
					start = 0
				}
				for cut := start; cut < len(text); cut++ {
					for _, reset := range []bool{true, false} {
						// A stream without a length that is closed between two events
						// counts as complete.
						betweenEvents := func(id string) bool {
							text := stub.StreamText(id, 1, brokenStreamEvents, f)
							return !reset && f != stub.Chunked && strings.HasSuffix(text[:min(cut, len(text))], "\n\n")
						}
						startedAnew := breakingServers(r, f, cut, reset, second)
						c := r.call("/stream/resume/x")
						what := fmt.Sprintf("cut at %d, reset %v", cut, reset)
						reply, err := r.caller.Do(t.Context(), r.callerAddresses[0], c)
						if err == nil && reply.Status == 200 && !startedAnew(c.ID) {
							wantPrefix(t, what, c.ID, reply.Body, reply.Complete && !betweenEvents(c.ID))
						}
						c = r.call("/stream/resume/x")
						answer, ended, err := stub.DoHTTP10(t.Context(), r.callerAddresses[0], c)
						is.New(t).NoErr(err)
						head, body, _ := strings.Cut(answer, "\r\n\r\n")
						if strings.Contains(head, " 200 ") && !startedAnew(c.ID) {
							wantPrefix(t, what+", HTTP/1.0 caller", c.ID, body, ended && !betweenEvents(c.ID))
						}
					}
				}
			})
		}
	}
}

// Guards against a stream that may not be resumed and goes on with another run.
func TestOtherStreamsAreNotJoined(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/stream"} {
		for name, events := range map[string][]string{"with ids": {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "without ids": {"data: a\n\n", "data: b\n\n"}} {
			t.Run(path[1:5]+", "+name, func(t *testing.T) {
				r := newRig(t)
				is := is.New(t)
				for _, s := range append(append([]*stub.Server{}, r.engines...), r.apps...) {
					s.SetRawAnswer(func(q *http.Request) (stub.RawAnswer, bool) {
						text := stub.EventsText(stub.CallID(q), stub.Chunked, events...)
						return stub.RawAnswer{Text: text[:strings.Index(text, events[1])+3], Reset: false}, true
					})
				}
				c := r.call(path)
				reply := r.do(c)
				is.True(!reply.Complete)
				is.Equal(reply.Body, events[0])
			})
		}
	}
}

// Guards against an answer that a server cut off inside its head, or later, and that
// its caller gets as a whole one.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		for _, prefix := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, prefix %d, reset %v", path[1:5], len(prefix), reset), func(t *testing.T) {
					r := newRig(t, withRetry(1, 10000))
					is := is.New(t)
					whole := prefix + stub.WholeText("c-100")
					for cut := range len(whole) {
						for _, s := range r.apps {
							s.SetRawAnswer(func(q *http.Request) (stub.RawAnswer, bool) {
								text := prefix + stub.WholeText(stub.CallID(q))
								return stub.RawAnswer{Text: text[:min(cut, len(text)-1)], Reset: reset}, true
							})
						}
						c := r.call(path)
						reply, err := r.caller.Do(t.Context(), r.callerAddresses[0], c)
						is.NoErr(err)
						is.Equal(reply.Status, 502)
						is.Equal(reply.Signature, "")
						if path == "/once/x" {
							is.Equal(len(r.runs(c.ID)), 1)
						}
					}
				})
			}
		}
	}
}
