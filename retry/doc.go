// Package retry runs requests to their end. The Runner waits for a contract,
// sends an attempt, and decides after a failure whether another attempt may
// follow.
//
// Three rules bound what a failure can cost. A request that may not be repeated
// is never sent again after a byte may have reached a server. A Budget allows
// retries only in proportion to the successes of a workspace, so that a total
// failure does not multiply the load. Suspects remembers which requests broke
// backend servers and refuses a request that broke two.
//
// The error of a request tells the worst outcome of all its attempts: if one of
// them may have run, a later attempt that did not run does not hide it.
//
// The package does no I/O. Choosing servers is left to the Placer, sending to
// the Backend, and spreading suspicions to the links between daemons.
package retry
