// Package retry runs requests with retries. The Runner waits for a contract,
// sends an attempt, and decides after a failure whether another attempt may
// follow.
//
// Three rules bound what a failure can cost. A request that may not be repeated
// is never sent again after a byte may have reached a server. A Budget allows
// retries only in proportion to the successes of a workspace, so that a total
// failure does not multiply the load. Suspects records which requests crashed
// backend servers and quarantines a request that crashed two. It does the same for
// prompt parts that requests share.
//
// SharedBudget is a retry budget per service that all daemons share. Package
// forward uses it in place of the Runner and its Budget.
//
// The error of a request states the worst outcome of all its attempts: if one
// attempt may have run, the error says so even if a later attempt did not run.
//
// The package does no I/O. The Placer chooses servers, the Backend sends
// attempts, and the links between daemons exchange suspicions.
package retry
