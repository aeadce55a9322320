package wigeonladder

import "time"

// Request is one request of a workspace to a service. Running it may take
// several attempts on different backend servers.
type Request struct {
	// ID is unique in the fleet; the entry daemon chooses it.
	ID        string
	Workspace string
	Service   string
	Urgency   Urgency
	// Estimate is the expected cost in cost units (tokens for models). It is
	// only a hint, because the actual cost is known when the request has ended.
	Estimate int64
	// Model is the model that the request needs; empty for any.
	Model string
	// PrefixHash is a hash of the beginning of the prompt, used for prefix-cache
	// affinity; 0 for none.
	PrefixHash uint64
	// Avoid names the backend servers on which the request failed. A Placer
	// chooses them only if no other server is free.
	Avoid []string
	// AtMostOnce marks a request that may not be repeated.
	AtMostOnce bool
	// Ticket is the ticket presented with a request that may not be repeated.
	Ticket string
	// Arrived is the time at which the entry daemon accepted the request.
	Arrived time.Time

	// Method, Path, ContentType and Body are sent to the backend server.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream requests the answer as a stream of server-sent events.
	Stream bool
}

// WithTicket returns a copy of the request that carries a ticket.
func (r Request) WithTicket(ticket string) Request {
	r.Ticket = ticket
	return r
}

// WithUrgency returns a copy of the request with another urgency.
func (r Request) WithUrgency(u Urgency) Request {
	r.Urgency = u
	return r
}

// WithAvoid returns a copy of the request that avoids the given servers.
func (r Request) WithAvoid(servers []string) Request {
	r.Avoid = servers
	return r
}

// Attempt is one attempt to run a request on one backend server.
type Attempt struct {
	Request Request
	// Number counts the attempts of the request from 1.
	Number int
	Server Server
	// ResumeFrom is the number of tokens that the caller already has. An
	// interrupted stream is resumed after them.
	ResumeFrom int64
	// BeforeSend is called immediately before the first byte is written. If it
	// returns an error, nothing is sent.
	BeforeSend func() error
}

// Usage is what an attempt consumed.
type Usage struct {
	// Cost is the consumed cost in cost units; tokens for models.
	Cost int64 `json:"c,omitempty"`
	// FirstToken is the time from sending the request to the first token or
	// byte of the answer.
	FirstToken time.Duration `json:"f,omitempty"`
	// InterToken is the mean time between the tokens of a stream; 0 for fewer
	// than two tokens. For a whole model answer, whose first token cannot be
	// timed, FirstToken is 0 and InterToken is the mean time for each token since
	// the request was sent.
	InterToken time.Duration `json:"i,omitempty"`
	// Failed is true if the attempt did not end with a complete answer.
	Failed bool `json:"x,omitempty"`
	// Code is the result code of the attempt. It tells the home whether the
	// entry daemon could reach the server.
	Code Code `json:"o,omitempty"`
}

// WithCode returns a copy of the usage with a result code.
func (u Usage) WithCode(c Code) Usage {
	u.Code = c
	return u
}

// Load is the report of a backend server on its own load. It lags behind the
// actual load.
type Load struct {
	// Running and Waiting are the numbers of requests that run on the server
	// and that wait there.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}
