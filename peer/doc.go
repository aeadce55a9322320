// Package peer connects the daemons of a fleet: it exchanges typed JSON
// messages between them over jsonrpc2 on TCP.
//
// A Mesh implements wigeonladder.Fleet. It sends heartbeats, keeps the
// membership (package member) and calls the home and entry roles of other
// daemons. Two daemons that exchange messages use one connection, called a
// link; it is dialled on demand and carries calls in both directions. Calls of
// a daemon to its own roles stay in the process.
//
// Requests of one kind (demand reports; renewals; grants and recalls;
// heartbeats) on one link are handled one after the other in the order of their
// arrival. Demand reports also carry a sequence number, so that a report that
// arrives after a later one, over another link, is dropped. Each request of any
// other kind runs on its own goroutine, so a forwarded request that takes a
// minute delays no other request.
//
// There is no strong authentication: once a register is known, links are
// accepted only from the IP addresses of the VMs in the register and of the
// seeds. Messages are neither encrypted nor signed, so any process that can use
// one of these addresses can act as any daemon.
package peer
