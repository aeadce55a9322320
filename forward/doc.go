// Package forward runs calls: it finds the route and the workspace of a call,
// waits for room on a backend server, sends the call there and hands the answer
// on. It decides what may be sent a second time. A call that may have run is
// repeated only if its route says that it may be; a refusal says "not run" only
// if no byte of the call can have reached a backend server that runs it.
package forward
