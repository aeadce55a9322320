// Package member keeps the membership of the fleet: it decides which daemons
// are alive, which of them is the home of a backend server, to which peers
// heartbeats go and which records they carry. It does no I/O; package peer
// sends the heartbeats, and the register that it gets is already validated.
//
// A Table holds one record per daemon. Records of one VM are ordered by their
// sequence alone, also across incarnations: a daemon that receives a record
// about its own VM with a higher sequence continues above it. The order
// therefore does not depend on clocks.
//
// In a small fleet every heartbeat carries all records, and a member whose
// heartbeats and relayed records have been missing for DeadAfter is dead. In a
// larger fleet a heartbeat cannot carry enough records to refresh every member
// in that time. There the neighbours in the ring of the member's zone detect
// the failure and spread it as a Suspect or Dead record. Every daemon that
// knows a higher sequence, first of all the accused member, refutes that
// record. A zone from which no record at all arrives for DeadAfter is dead as a
// whole; this is how a partition between zones is detected.
//
// Known limit: if two processes run at once under one VM name, each in turn
// replaces the other as the known incarnation, because nothing tells which one
// should yield.
package member
