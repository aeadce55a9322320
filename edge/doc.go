// Package edge builds a daemon that serves callers in front of services that a
// platform lists in its store. It puts the parts together and owns their lives:
// the front towards callers, the forwarder, the pool of backend servers, the
// followers of the store, and the exchange with the other daemons.
package edge
