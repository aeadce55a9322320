// Package caller provides the HTTP server for callers. It authenticates the
// workspace of a request by its bearer key, turns the HTTP request into a
// wigeonladder.Request, passes it to the Runner or, for an at-most-once call,
// to the Tickets, and sends the answer or an error with a result code.
//
// An incomplete answer is never sent as a success: whole answers are buffered,
// and streams end with "data: [DONE]" only after the Runner has returned nil.
// The context of a request is cancelled when its caller disconnects.
//
// The Runner decides when and where a request runs.
package caller
