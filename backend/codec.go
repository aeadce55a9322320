package backend

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// CallAttempt is one attempt to run a call on one backend server.
type CallAttempt struct {
	Call      *wigeonladder.Call
	Instance  wigeonladder.Instance
	Workspace string
	// TimeLeft is the time that remains for the answer.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the caller has if a stream
	// is resumed; empty otherwise.
	LastEventID string
	// AtMostOnce is true if the call may not be repeated.
	AtMostOnce bool
	// Exclusive is true if the call may be repeated, but not while a server may still
	// run it.
	Exclusive bool
	// MaxIdleConns bounds the idle connections to the server; 0 for the
	// default, which is also the maximum.
	MaxIdleConns int
	// BeforeSend is called immediately before the first byte is written; nil for no
	// check. If it returns an error, nothing is sent.
	BeforeSend func() error
	// OnHead is called with every head that can be that of a single answer, also of
	// one to another call; nil for none.
	OnHead func(AnswerHead)
	// ReserveAnswer is called before n more bytes of a whole answer are read into
	// memory, and with a negative n when they are given up; nil for no bound. An error
	// ends the answer.
	ReserveAnswer func(n int) error
}

// AnswerHead is the information in the status line and headers of an answer.
type AnswerHead struct {
	wigeonladder.Answer
	// ID is the id of the call that the answer belongs to; empty if the answer
	// states none.
	ID string
	// Signed is true if the answer carries the server's signature.
	Signed bool
	// NotRun is true if the server states that the call did not run.
	NotRun bool
	// Repeated is true if a header stands more than once that an answer has once at
	// most, such as the id.
	Repeated bool
	// ContentEncoded is true if the body has a content encoding, such as gzip.
	ContentEncoded bool
	// Leaving is true if the server states that it leaves.
	Leaving bool
	// RetryAfter is the time for which the server asks for no calls; 0 for none.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the server takes from all daemons
	// together; HasLimit is false if it states none.
	Limit    float64
	HasLimit bool
	// Load is the load that the server states of itself; HasLoad is false if it states
	// none.
	Load    wigeonladder.ServerLoad
	HasLoad bool
	// KeepAliveTimeout is the time for which the server keeps an idle connection, as
	// it states; 0 if it states none.
	KeepAliveTimeout time.Duration
}

// Codec translates between the types of calls and answers and the HTTP headers
// that backend servers use.
type Codec interface {
	// WriteCallHead writes the headers of a call's request. Method, path and
	// body are already set.
	WriteCallHead(req *fasthttp.Request, a CallAttempt)
	// ReadAnswerHead reads the status line and headers of an answer.
	ReadAnswerHead(h *fasthttp.ResponseHeader) AnswerHead
}
