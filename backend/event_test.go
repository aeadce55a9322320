package backend

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// readEvents returns all events of a body and the error at its end.
func readEvents(r io.Reader) ([]string, error) {
	e := newEventReader(r, 64)
	var events []string
	for {
		event, err := e.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// Guards against events that are split or joined in the wrong place.
func TestEventsAreSplit(t *testing.T) {
	is := is.New(t)
	events, err := readEvents(bytes.NewBufferString("\n\ndata: a\n\ndata: b\r\ndata: c\r\n\r\n: x\n\n\ndata: d\n"))
	is.Equal(events, []string{"data: a\n\n", "data: b\r\ndata: c\r\n\r\n", ": x\n\n"})
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(string(eventData([]byte(events[1]))), "b\nc")
	is.Equal(string(eventData([]byte(events[2]))), "")
	is.Equal(string(eventData([]byte("data:x\ndatabase: y\ndata\n\n"))), "x\n")
}

// Guards against events that depend on how the network splits the bytes, and
// against lost bytes and endless loops.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(wordEvent + ": ping\n\n" + streamEnd(1)))
	f.Add([]byte("data: 0123456789012345678901234567890123456789012345678901234567\n\n"))
	f.Add([]byte("\r\n\r\ndata\r\n\r\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		all, err := readEvents(bytes.NewReader(body))
		each, eachErr := readEvents(iotest.OneByteReader(bytes.NewReader(body)))
		if !slices.Equal(all, each) || !errors.Is(err, eachErr) {
			t.Fatalf("%q, %v; byte by byte %q, %v", all, err, each, eachErr)
		}
		at := 0
		c := newStreamCheck(0)
		for _, event := range all {
			i := bytes.Index(body[at:], []byte(event))
			if i < 0 || len(bytes.Trim(body[at:at+i], "\r\n")) > 0 {
				t.Fatalf("bytes lost before %q", event)
			}
			at += i + len(event)
			if n, err := c.add([]byte(event)); n < 0 || n > 1 || c.done && err == nil && c.tokens != c.engineTotal {
				t.Fatalf("event %q: %d tokens, %v", event, n, err)
			}
		}
	})
}

// Guards against accepting a whole answer with an impossible token count.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"usage":{"completion_tokens":4}}`))
	f.Add([]byte(`{"usage":{"completion_tokens":-4}}`))
	f.Add([]byte(`{"choices":[{"delta":{"tool_calls":[1]}}],"usage":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if n, err := answerTokens(body); n < 0 || err != nil && n != 0 {
			t.Fatalf("%d tokens, %v", n, err)
		}
	})
}
