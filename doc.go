// Package wigeonladder holds the value types and the interfaces of the router
// fleet. A fleet is a set of equal daemons between callers and backend servers.
// Each daemon accepts requests of workspaces, waits until a contract (a lease)
// lends it a slot of a backend server, sends the request there once and relays
// the answer. Each daemon has two roles: as an entry it accepts requests and
// runs them, and as a home it counts the slots of its share of the backend
// servers and grants the contracts for them.
//
// The packages below this one implement the interfaces. The decision packages
// (fair, contract, limit, member, ticket, retry, entry) do no I/O and reach the
// outside only through the interfaces of this package, so that tests and
// benchmarks can run them in virtual time.
//
// Values are immutable: they are passed by value, and the With methods return a
// changed copy. docs/design.md explains the model, docs/ERRORS.md lists the
// result codes.
package wigeonladder
