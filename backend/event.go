package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/wigeonladder/wigeonladder"
)

// initialEventBufferBytes is the initial size of an event reader's buffer. An
// event with one token is shorter.
const initialEventBufferBytes = 1 << 10

// errEventTooLong is the error of an event that exceeds the size limit.
var errEventTooLong = unresumableError("an event exceeds the size limit")

// unresumableError returns the error of a stream in which tokens may be
// missing. Its code differs from that of an interrupted stream, which may be
// resumed: resuming after a missing token would hide the loss, because the
// token counts would then agree.
func unresumableError(format string, args ...any) error {
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", format, args...)
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	r        io.Reader
	maxBytes int
	buf      []byte
	// These are offsets in buf: where the current event begins, where its
	// current line begins, and the first byte that has not been searched for a
	// line end.
	eventStart, lineStart, scanned int
	readErr                        error
	// reserve is called before the buffer grows by n bytes beyond freeEventBufferBytes;
	// nil for no bound. reserved is the sum of these bytes.
	reserve  func(n int) error
	reserved int
}

// freeEventBufferBytes is the size up to which the buffer of an event reader is not
// reserved. Usual events are far shorter.
const freeEventBufferBytes = 16 << 10

// newEventReader returns a reader of events of at most maxBytes each.
func newEventReader(r io.Reader, maxBytes int) *eventReader {
	return &eventReader{r: r, maxBytes: maxBytes, buf: make([]byte, 0, initialEventBufferBytes)}
}

// next returns the next event with its framing. The event is valid until the
// next call. The error is io.EOF only if the body ends between two events.
func (e *eventReader) next() ([]byte, error) {
	for {
		event, ok := e.nextBuffered()
		if len(event) > e.maxBytes || !ok && len(e.buf)-e.eventStart > e.maxBytes {
			return nil, errEventTooLong
		}
		if ok {
			return event, nil
		}
		if e.readErr != nil {
			return nil, e.finalError()
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

// release gives up what was reserved.
func (e *eventReader) release() {
	if e.reserved > 0 {
		_ = e.reserve(-e.reserved)
		e.reserved = 0
	}
}

// grow doubles the buffer.
func (e *eventReader) grow() error {
	n := cap(e.buf)
	if e.reserve != nil && 2*n > freeEventBufferBytes {
		// Until it is copied, the old buffer is held as well.
		if err := e.reserve(2 * n); err != nil {
			return err
		}
		e.reserved += 2 * n
	}
	e.buf = append(make([]byte, 0, 2*n), e.buf...)
	if e.reserved > 2*n {
		_ = e.reserve(2*n - e.reserved)
		e.reserved = 2 * n
	}
	return nil
}

// finalError returns the error that ended the body, which is
// io.ErrUnexpectedEOF if the body ended inside an event.
func (e *eventReader) finalError() error {
	if errors.Is(e.readErr, io.EOF) && len(e.buf) > e.eventStart {
		return io.ErrUnexpectedEOF
	}
	return e.readErr
}

// nextBuffered returns the next event if the buffer holds it completely. It
// skips empty lines between events.
func (e *eventReader) nextBuffered() ([]byte, bool) {
	for e.scanned < len(e.buf) {
		i := bytes.IndexByte(e.buf[e.scanned:], '\n')
		if i < 0 {
			e.scanned = len(e.buf)
			return nil, false
		}
		end := e.scanned + i
		line := bytes.TrimSuffix(e.buf[e.lineStart:end], []byte{'\r'})
		isFirstLine := e.lineStart == e.eventStart
		e.scanned = end + 1
		e.lineStart = e.scanned
		if len(line) > 0 {
			continue
		}
		event := e.buf[e.eventStart:e.scanned]
		e.eventStart = e.scanned
		if !isFirstLine {
			return event, true
		}
	}
	return nil, false
}

// fill reads more bytes into the buffer, which it grows if it is full. It returns an error
// only if the memory limit is reached.
func (e *eventReader) fill() error {
	if e.eventStart > 0 {
		n := copy(e.buf, e.buf[e.eventStart:])
		e.buf = e.buf[:n]
		e.lineStart -= e.eventStart
		e.scanned -= e.eventStart
		e.eventStart = 0
	}
	if len(e.buf) == cap(e.buf) {
		if err := e.grow(); err != nil {
			return err
		}
	}
	n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.readErr = err
	return nil
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

// answerData holds the fields that are read from an event's data or from a whole
// model answer.
type answerData struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content   string            `json:"content"`
			Reasoning string            `json:"reasoning_content"`
			Tools     []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *engineUsage    `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// engineUsage is the token count that the inference engine itself reports.
type engineUsage struct {
	Tokens *int64 `json:"completion_tokens"`
}

// tokens returns the number of tokens in the event: 1 if it carries text,
// reasoning or a tool call, 0 otherwise.
func (c answerData) tokens() int64 {
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta.Content != "" || choice.Delta.Reasoning != "" || len(choice.Delta.Tools) > 0 {
			return 1
		}
	}
	return 0
}

// streamCheck checks that a stream is complete and belongs to one answer.
type streamCheck struct {
	answerID string
	tokens   int64
	// engineTotal is the token count that the engine reported; negative while
	// it is unknown.
	engineTotal int64
	// hasContent is true if the last event added is to be passed on to the
	// caller.
	hasContent bool
	done       bool
}

// newStreamCheck returns a check of a stream that starts after resumeFrom
// tokens, which the caller already has.
func newStreamCheck(resumeFrom int64) *streamCheck {
	return &streamCheck{tokens: resumeFrom, engineTotal: -1}
}

// add checks the next event of the stream and returns the number of tokens in
// it.
func (c *streamCheck) add(event []byte) (int64, error) {
	data := eventData(event)
	c.hasContent = len(data) > 0
	if !c.hasContent {
		return 0, nil
	}
	if string(data) == "[DONE]" {
		c.hasContent = false
		c.done = true
		return 0, c.checkTotal()
	}
	var parsed answerData
	if err := json.Unmarshal(data, &parsed); err != nil {
		return 0, unresumableError("event data: %v", err)
	}
	if len(parsed.Error) > 0 && string(parsed.Error) != "null" {
		return 0, unresumableError("event: %.200s", parsed.Error)
	}
	if err := c.checkAnswerID(parsed.ID); err != nil {
		return 0, err
	}
	if parsed.Usage != nil && parsed.Usage.Tokens != nil {
		c.engineTotal = *parsed.Usage.Tokens
	}
	n := parsed.tokens()
	c.tokens += n
	if c.engineTotal >= 0 && len(parsed.Choices) == 0 {
		// The final token count of an incomplete stream is not passed on.
		return 0, c.checkTotal()
	}
	return n, nil
}

// checkAnswerID checks that all events of a stream belong to one answer.
func (c *streamCheck) checkAnswerID(id string) error {
	if c.answerID == "" {
		c.answerID = id
	}
	if id != "" && id != c.answerID {
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, "", "events of the answers %q and %q", c.answerID, id)
	}
	return nil
}

// checkTotal returns an error unless as many tokens have arrived as the engine
// reported.
func (c *streamCheck) checkTotal() error {
	if c.engineTotal < 0 {
		return unresumableError("the stream ended without a token count")
	}
	if c.engineTotal != c.tokens {
		return unresumableError("the stream ended with %d of %d tokens", c.tokens, c.engineTotal)
	}
	return nil
}

// answerTokens returns the number of tokens that a whole model answer reports.
func answerTokens(body []byte) (int64, error) {
	var parsed answerData
	if err := json.Unmarshal(body, &parsed); err != nil {
		return 0, fmt.Errorf("answer: %w", err)
	}
	if parsed.Usage == nil || parsed.Usage.Tokens == nil || *parsed.Usage.Tokens < 0 {
		return 0, errors.New("answer: no token count")
	}
	return *parsed.Usage.Tokens, nil
}
