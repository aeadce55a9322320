package wigeonladder

import "time"

// Call is one attempt of a caller, as the fleet forwards it: method, path, body
// and the end-to-end headers reach the backend server unchanged.
type Call struct {
	// ID names this attempt of the caller. The caller chooses it, and the
	// backend server repeats it in its answer.
	ID     string
	Method string
	Host   string
	// Path is the path with the query, as the caller wrote it.
	Path string
	// Headers are the end-to-end headers.
	Headers []Header
	Body    []byte
	// APIKey is the API key; empty for none.
	APIKey string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Prompt is what a model request says of its prompt.
	Prompt Prompt
	// LastEventID is the id of the last event that the caller already has, if it
	// resumes a stream.
	LastEventID string
	// Received is when the whole request had been read.
	Received time.Time
}

// Header is one header field.
type Header struct{ Name, Value string }

// Prompt describes the prompt of a model request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt and MaxOutputTokens bounds the answer.
	Tokens, MaxOutputTokens int
	// Parts are the parts of the prompt in order. The last one belongs to the
	// request or to its session; the others are shared.
	Parts []PromptPart
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Cost returns the service that the request is expected to consume: a prompt
// token counts once and a generated token twice. A call of a plain service costs
// one unit.
func (p Prompt) Cost() int64 {
	if p.Tokens == 0 && p.MaxOutputTokens == 0 {
		return 1
	}
	return int64(p.Tokens + 2*p.MaxOutputTokens)
}

// Instance is one start of a backend server, as the platform lists it.
type Instance struct {
	// ID is the server's name; Born tells two starts under one name apart.
	ID          string
	StartUnixMs int64
	// Service is the service that it serves.
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving is true once the server takes no new work.
	Leaving bool
}

// SameStart reports whether two entries describe the same start of a server.
func (i Instance) SameStart(o Instance) bool {
	return i.ID == o.ID && i.StartUnixMs == o.StartUnixMs && i.Address == o.Address
}

// Answer is the head of a backend server's answer.
type Answer struct {
	Status int
	// Headers are the end-to-end headers of the backend server.
	Headers []Header
	// Stream is true if the body is a series of events.
	Stream bool
}

// Reply takes the one answer to a call. Either Whole or Refuse is called once,
// or Begin, then Event for each event, then End or Abort.
type Reply interface {
	// SendWhole sends a complete answer of a backend server.
	SendWhole(a Answer, body []byte) error
	// BeginStream sends the head of a stream.
	BeginStream(a Answer) error
	// SendEvent sends one event with its framing.
	SendEvent(event []byte) error
	// EndStream ends a complete stream.
	EndStream() error
	// Abort closes the connection, so that the stream does not look complete.
	Abort()
	// Refuse sends the fleet's own answer for an error.
	Refuse(e *Error)
}
