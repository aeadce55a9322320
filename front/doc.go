// Package front is the HTTP server towards callers. It reads whole calls,
// passes them to a Handler, cancels a call whose caller disconnects, and writes
// answers unchanged. A Codec translates the headers; the Handler decides what
// happens to a call.
package front
