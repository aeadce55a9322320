// Package soak runs edge daemons as separate processes on loopback addresses, with
// stand-ins for the store, the backend servers and the callers, and injects faults
// from outside. Proxies delay, reset and close connections and drop bytes in one or
// both directions; signals pause, stop, kill and reload processes; backend servers
// and the store answer wrongly or not at all, and the store comes back from an older copy
// of itself. Package soak checks what callers and
// backend servers observe against invariants that hold under every fault. Faults
// follow each other at random times and overlap; a seed determines which ones are
// injected.
package soak
