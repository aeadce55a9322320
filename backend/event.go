package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/wigeonladder/wigeonladder"
)

// eventBuffer is the first size of an event reader's buffer in bytes. An event
// with one token is shorter.
const eventBuffer = 1 << 10

// errEventTooLong says that an event exceeds its bound.
var errEventTooLong = untrusted("an event exceeds the size limit")

// untrusted returns the error of a stream whose tokens may have a gap. Its code
// differs from that of a stream that broke off: resuming behind a gap would hide
// the gap, because the counts then agree.
func untrusted(format string, args ...any) error {
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", format, args...)
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	r    io.Reader
	most int
	buf  []byte
	// start is where the current event begins, line its current line, scan
	// the first byte that was not looked at.
	start, line, scan int
	err               error
}

// newEventReader returns a reader of events of at most the given size.
func newEventReader(r io.Reader, most int) *eventReader {
	return &eventReader{r: r, most: most, buf: make([]byte, 0, eventBuffer)}
}

// next returns the next event with its framing. It is valid until the next
// call. The error is io.EOF only between two events.
func (e *eventReader) next() ([]byte, error) {
	for {
		event, ok := e.split()
		if len(event) > e.most || !ok && len(e.buf)-e.start > e.most {
			return nil, errEventTooLong
		}
		if ok {
			return event, nil
		}
		if e.err != nil {
			return nil, e.ended()
		}
		e.fill()
	}
}

// ended returns the reader's error, as an unexpected end inside an event.
func (e *eventReader) ended() error {
	if errors.Is(e.err, io.EOF) && len(e.buf) > e.start {
		return io.ErrUnexpectedEOF
	}
	return e.err
}

// split returns the next event if the buffer holds all of it.
func (e *eventReader) split() ([]byte, bool) {
	for e.scan < len(e.buf) {
		i := bytes.IndexByte(e.buf[e.scan:], '\n')
		if i < 0 {
			e.scan = len(e.buf)
			return nil, false
		}
		end := e.scan + i
		line := bytes.TrimSuffix(e.buf[e.line:end], []byte{'\r'})
		first := e.line == e.start
		e.scan = end + 1
		e.line = e.scan
		if len(line) > 0 {
			continue
		}
		event := e.buf[e.start:e.scan]
		e.start = e.scan
		if !first {
			return event, true
		}
	}
	return nil, false
}

// fill reads more, after it made room.
func (e *eventReader) fill() {
	if e.start > 0 {
		n := copy(e.buf, e.buf[e.start:])
		e.buf = e.buf[:n]
		e.line -= e.start
		e.scan -= e.start
		e.start = 0
	}
	if len(e.buf) == cap(e.buf) {
		e.buf = append(e.buf, make([]byte, cap(e.buf))...)[:len(e.buf)]
	}
	n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.err = err
}

// eventData returns the data of an event, its lines joined by line feeds. The
// result may share the event's memory.
func eventData(event []byte) []byte {
	var data []byte
	found := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		value, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || len(value) > 0 && value[0] != ':' {
			continue
		}
		value = bytes.TrimPrefix(bytes.TrimPrefix(value, []byte{':'}), []byte{' '})
		if !found {
			data, found = value[:len(value):len(value)], true
			continue
		}
		data = append(append(data, '\n'), value...)
	}
	return data
}

// chunk is what is read of an event's data.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content   string            `json:"content"`
			Reasoning string            `json:"reasoning_content"`
			Tools     []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// usage is the engine's own count.
type usage struct {
	Tokens *int64 `json:"completion_tokens"`
}

// tokens returns the number of tokens that the event completes: one if it
// carries a part of the text.
func (c chunk) tokens() int64 {
	for _, h := range c.Choices {
		if h.Text != "" || h.Delta.Content != "" || h.Delta.Reasoning != "" || len(h.Delta.Tools) > 0 {
			return 1
		}
	}
	return 0
}

// count checks the completeness of a stream.
type count struct {
	id     string
	tokens int64
	// total is the engine's count, below zero while unknown.
	total int64
	// content is true if the last event added is to be handed on.
	content bool
	done    bool
}

// newCount returns a count that starts behind the tokens that the caller has.
func newCount(from int64) *count { return &count{tokens: from, total: -1} }

// add takes the next event and returns the number of tokens that it completes.
func (c *count) add(event []byte) (int64, error) {
	data := eventData(event)
	c.content = len(data) > 0
	if !c.content {
		return 0, nil
	}
	if string(data) == "[DONE]" {
		c.content = false
		c.done = true
		return 0, c.check()
	}
	var k chunk
	if err := json.Unmarshal(data, &k); err != nil {
		return 0, untrusted("event data: %v", err)
	}
	if len(k.Error) > 0 && string(k.Error) != "null" {
		return 0, untrusted("event: %.200s", k.Error)
	}
	if err := c.sameAnswer(k.ID); err != nil {
		return 0, err
	}
	if k.Usage != nil && k.Usage.Tokens != nil {
		c.total = *k.Usage.Tokens
	}
	n := k.tokens()
	c.tokens += n
	if c.total >= 0 && len(k.Choices) == 0 {
		// The closing count of an incomplete stream is not handed on.
		return 0, c.check()
	}
	return n, nil
}

// sameAnswer checks that all events of a stream belong to one answer.
func (c *count) sameAnswer(id string) error {
	if c.id == "" {
		c.id = id
	}
	if id != "" && id != c.id {
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, "", "events of the answers %q and %q", c.id, id)
	}
	return nil
}

// check returns an error unless all tokens have arrived.
func (c *count) check() error {
	if c.total < 0 {
		return untrusted("the stream ended without a token count")
	}
	if c.total != c.tokens {
		return untrusted("the stream ended with %d of %d tokens", c.tokens, c.total)
	}
	return nil
}

// parseAnswer returns the number of tokens of a whole model answer.
func parseAnswer(body []byte) (int64, error) {
	var k chunk
	if err := json.Unmarshal(body, &k); err != nil {
		return 0, fmt.Errorf("answer: %w", err)
	}
	if k.Usage == nil || k.Usage.Tokens == nil || *k.Usage.Tokens < 0 {
		return 0, errors.New("answer: no token count")
	}
	return *k.Usage.Tokens, nil
}
