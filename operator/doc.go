// Package operator is the interface of a daemon for its operators. It contains
// the journal of events, which also writes the log, and an HTTP server for
// state dumps, explanations of requests, metrics and graceful shutdown. Every
// call needs an operator key whose SHA-256 hash is in the daemon's settings.
package operator
