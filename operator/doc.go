// Package operator is the interface towards the people who run the fleet: the
// journal of decisions, which is also the log, and an HTTP server for state
// dumps, explanations, metrics and graceful stops. Every call needs an operator
// key whose SHA-256 hash is in the daemon's settings.
package operator
