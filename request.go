package wigeonladder

import "time"

// Request is one piece of work of a workspace.
type Request struct {
	// ID is unique in the fleet; the entry daemon chooses it.
	ID        string
	Workspace string
	Service   string
	Urgency   Urgency
	// Estimate is the expected cost in cost units (tokens for models). Hints
	// are rough: the true cost is known only at the end.
	Estimate int64
	// Model is the model that the request needs; empty for any.
	Model string
	// PrefixHash is a hash of the start of the prompt, for prefix-cache affinity;
	// 0 for none.
	PrefixHash uint64
	// Avoid names backend servers that failed the request. A Placer offers them
	// only if no other is free.
	Avoid []string
	// AtMostOnce marks a request that may not be repeated.
	AtMostOnce bool
	// Ticket is the ticket presented with a request that may not be repeated.
	Ticket string
	// Arrived is when the entry daemon accepted the request.
	Arrived time.Time

	// Method, Path, ContentType and Body are what the backend server gets.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream asks for server-sent events.
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

// WithAvoid returns a copy of the request that avoids backend servers.
func (r Request) WithAvoid(servers []string) Request {
	r.Avoid = servers
	return r
}

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request Request
	// Number counts the attempts of the request from 1.
	Number int
	Server Server
	// ResumeFrom is the number of tokens that the caller already has; a stream that
	// broke is resumed behind them.
	ResumeFrom int64
	// BeforeSend is called at the last step before the first byte is written. An
	// error from it means that nothing was sent.
	BeforeSend func() error
}

// Usage is what an attempt consumed.
type Usage struct {
	// Cost is the service in cost units; tokens for models.
	Cost int64 `json:"c,omitempty"`
	// FirstToken is the time from sending to the first token or byte.
	FirstToken time.Duration `json:"f,omitempty"`
	// InterToken is the mean time between tokens; 0 with fewer than two.
	InterToken time.Duration `json:"i,omitempty"`
	// Failed is true if the attempt did not end with a complete answer.
	Failed bool `json:"x,omitempty"`
	// Code is the result code of the attempt. Homes learn from it which servers
	// cannot be reached.
	Code Code `json:"o,omitempty"`
}

// WithCode returns a copy of the usage with a result code.
func (u Usage) WithCode(c Code) Usage {
	u.Code = c
	return u
}

// Load is a backend server's own, lagging report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}
