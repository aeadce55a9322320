// Package peer links the daemons of a fleet: typed messages over jsonrpc2, as
// plain JSON objects on TCP.
//
// A Mesh implements wigeonladder.Fleet. It sends heartbeats, keeps the
// membership (package member) and reaches the roles of other daemons. A pair of
// daemons that talks uses one connection, which is dialled on demand and serves
// both directions. Calls to the own daemon stay in the process.
//
// Order: requests of one kind (demand reports; renewals; grants and recalls;
// heartbeats) on one connection are handled one after the other in the order of
// their arrival. Demand reports are also numbered, so that a report that was
// overtaken on another connection is dropped. All other requests run on
// goroutines of their own, so a ticket that runs for a minute delays nothing.
//
// Authentication is minimal: once a register is known, links are accepted only
// from IP addresses of VMs in the register and of the seeds. Links are neither
// encrypted nor signed. Any process on such a VM, and whoever can use such an
// address, can speak as any daemon.
package peer
