// Package member decides which daemons of the fleet are alive, which of them is
// the home of a backend server, to whom heartbeats go and which news they
// carry. It does no I/O.
//
// A Table holds one record per daemon. Records of one VM are ordered by their
// sequence alone, also across incarnations: a daemon that hears of a record
// about its own VM with a higher sequence continues above it. The order
// therefore does not depend on clocks.
//
// In a small fleet every heartbeat carries all records, and a member that was
// not heard of for DeadAfter is dead. In a larger one the records of a heartbeat
// cannot refresh everybody in that time. There the neighbours in a zone's ring
// decide, a verdict travels as news, and whoever knows a higher sequence, first
// of all the accused, refutes it. A zone of which nothing at all is heard for
// DeadAfter is dead as a whole; this is how a partition between zones is seen.
//
// Known limit: two processes that run at once under one VM name take turns as
// the known incarnation, because nothing tells which one should yield.
//
// Left to others: sending (package peer), validation of the register.
package member
