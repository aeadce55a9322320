// Package backend sends attempts to backend servers over HTTP. It keeps three
// promises that the rest of the fleet relies on: an attempt is written at most
// once, an answer is handed on only if it belongs to the attempt, and nil is
// returned only for a complete answer.
//
// Requests and response headers go through fasthttp's codec. The connections
// are kept here, because fasthttp's own client sends a request again when a
// pooled connection fails and does not tell whether a byte was written.
//
// What is sent: the request with X-Attempt-Id, and X-Resume-From when a stream
// is resumed. What the server must send back: X-Attempt-Id, and X-Resume-From
// if it honours the resume point. Choosing servers, retries and contracts are
// left to other packages.
package backend
