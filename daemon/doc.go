// Package daemon builds one daemon of the fleet from its parts and shuts it
// down gracefully. The decisions are made in other packages: entry and contract
// decide which request may be sent, fair decides the order of workspaces, and
// peer and member decide which daemons are alive.
package daemon
