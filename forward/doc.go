// Package forward runs calls: it finds the route and the workspace of a call,
// waits for a slot on a backend server, sends the call there and relays the
// answer. It decides what may be retried. A call that may have run is repeated
// only if its route allows it. A refusal says "not run" only if no byte of the
// call can have reached a backend server that runs it.
package forward
