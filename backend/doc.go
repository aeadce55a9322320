// Package backend sends requests to backend servers over HTTP. The rest of the
// fleet relies on three guarantees: an attempt is written at most once, an
// answer is passed on only if it belongs to the attempt, and success is
// reported only for a complete answer.
//
// Requests and response headers go through fasthttp's codec. The package keeps
// the connections itself, because fasthttp's own client sends a request again
// when a pooled connection fails, and does not tell whether a byte was written.
//
// There are two ways to send. A Client runs the attempts of a
// wigeonladder.Request: it sends X-Attempt-Id, and X-Resume-From to resume a
// stream, and the server must return X-Attempt-Id, and X-Resume-From if it
// resumes there. A Relay sends a wigeonladder.Call and returns the answer
// unchanged; a Codec defines the headers.
//
// The choice of servers, retries and contracts are left to other packages.
package backend
