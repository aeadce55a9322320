// Package edge builds the daemon that serves callers in front of the services
// that a platform lists in its store. It starts, connects and stops the parts
// of the daemon: the HTTP server towards callers, the forwarder, the pool of
// backend servers, the watch of the store, and the exchange of reports with the
// other daemons.
package edge
