package wigeonladder

import "time"

// Call is one attempt of a caller to get an answer. The fleet forwards it to a
// backend server with method, path, body and end-to-end headers unchanged. One
// Call may take several attempts of the fleet at backend servers.
type Call struct {
	// ID identifies the caller's attempt. The caller chooses it, and the backend
	// server echoes it in its answer.
	ID     string
	Method string
	Host   string
	// Path is the path with the query, as the caller sent it.
	Path string
	// Headers are the end-to-end headers of the request.
	Headers []Header
	Body    []byte
	// APIKey is the API key of the workspace; empty if the caller sent none.
	APIKey string
	// Timeout is the time for which the caller waits for the answer; 0 if it sent no limit.
	Timeout time.Duration
	// Prompt describes the prompt of a model request, as stated by the caller.
	Prompt Prompt
	// LastEventID is the id of the last event that the caller already has;
	// empty if the call does not resume a stream.
	LastEventID string
	// Resumes is the id of the call that brought the first event of the stream that the
	// call takes up, as stated by the caller; empty if it states none.
	Resumes string
	// Received is the time at which the request had been read completely.
	Received time.Time
}

// Header is one header field.
type Header struct{ Name, Value string }

// Prompt describes the prompt of a model request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt. MaxOutputTokens limits the length of
	// the answer.
	Tokens, MaxOutputTokens int
	// Parts are the parts of the prompt in order. The last one is specific to
	// the request or its session; other requests may share the ones before it.
	Parts []PromptPart
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Cost returns the expected cost of the request in cost units: one for each
// prompt token and two for each token that may be generated. A call without
// token counts, as to a plain service, costs one unit.
func (p Prompt) Cost() int64 {
	if p.Tokens == 0 && p.MaxOutputTokens == 0 {
		return 1
	}
	return int64(p.Tokens + 2*p.MaxOutputTokens)
}

// SharedIDs returns the ids of the parts that other requests may share: all but the
// last.
func (p Prompt) SharedIDs() []string {
	if len(p.Parts) < 2 {
		return nil
	}
	ids := make([]string, 0, len(p.Parts)-1)
	for _, x := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, x.ID)
	}
	return ids
}

// Instance is one run of a backend server, from its start to its end, as the
// platform lists it.
type Instance struct {
	// ID is the server's name. StartUnixMs is the time of its start in Unix
	// milliseconds; it distinguishes instances that have the same name.
	ID          string
	StartUnixMs int64
	// Service is the name of the service that the server belongs to.
	Service string
	Address string
	Zone    string
	Slots   int
	// Version is the version of the server's software.
	Version string
	// Leaving is true once the server accepts no new work.
	Leaving bool
}

// SameStart reports whether i and o describe the same run of a server: they
// agree in name, start time and address.
func (i Instance) SameStart(o Instance) bool {
	return i.ID == o.ID && i.StartUnixMs == o.StartUnixMs && i.Address == o.Address
}

// ServerLoad is the load that a backend server states of itself.
type ServerLoad struct {
	// Running is the number of requests that the server runs, Waiting the number of
	// those in its queue, Slots the number that it runs concurrently.
	Running, Waiting, Slots int
	// WorkTime is how long work takes at this moment relative to the usual time of
	// the server's machine; 0 if the server does not state it.
	WorkTime float64
}

// Answer is the head of a backend server's answer: its status and headers.
type Answer struct {
	Status int
	// Headers are the end-to-end headers of the backend server.
	Headers []Header
	// Stream is true if the body is a stream of server-sent events.
	Stream bool
}

// Reply sends the answer to one call. Its methods are used in one of three ways:
// SendWhole once; Refuse once; or BeginStream, then SendEvent for each event,
// then EndStream or Abort.
type Reply interface {
	// CallerGone reports whether the caller has closed its connection. The
	// context of the call ends then as well, but later if the daemon is short of
	// processor time.
	CallerGone() bool
	// SendWhole sends a complete answer of a backend server.
	SendWhole(a Answer, body []byte) error
	// BeginStream sends the head of a stream.
	BeginStream(a Answer) error
	// SendEvent sends one event of a stream; event includes its framing.
	SendEvent(event []byte) error
	// EndStream ends a stream whose events have all been sent.
	EndStream() error
	// Abort closes the connection, so that the caller does not take the
	// incomplete stream for a complete one.
	Abort()
	// Refuse answers the call with an error of the fleet instead of an answer of
	// a backend server.
	Refuse(e *Error)
}

// AnswerReserver is implemented by a Reply that bounds the memory of answers.
type AnswerReserver interface {
	// ReserveAnswer is called before n more bytes of a whole answer are read into
	// memory, and with a negative n when bytes are given up. An error means that there
	// is no room. What is reserved is released when the answer was sent.
	ReserveAnswer(n int) error
}
