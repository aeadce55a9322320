// Package caller serves the HTTP interface towards callers. It proves the
// workspace of a request by its bearer key, turns the request into a
// wigeonladder.Request, hands it to the Runner or, if it may not be repeated,
// to the Tickets, and writes the answer or a numbered error.
//
// Nothing of an incomplete answer is sent as a success: whole answers are
// buffered, streams end with "data: [DONE]" only after the Runner returned nil.
// A caller that goes ends the context of its request.
//
// When a request may run, and where, is left to the Runner.
package caller
