// Package stream remembers at which software version each stream began. What two versions
// write does not fit together, so that a stream that broke off may only go on at the
// version that began it.
//
// Origins holds the origins of streams: those that began at this daemon, and copies of
// those of other daemons. Versions tells for how long a service is known to have had a
// single version. Both are lost with the process. The package does no I/O; package
// exchange carries the copies.
package stream
