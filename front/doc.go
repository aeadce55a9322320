// Package front serves callers that speak plain HTTP to the services behind the
// fleet: it reads whole calls, hands them to a handler, notices callers that
// leave, and writes answers unchanged. What the headers mean is left to a Codec,
// what happens to a call to the handler.
package front
