// Package exchange connects the daemons of a fleet that share nothing but the
// addresses of a few seeds. Each daemon dials every other one that it hears of
// and sends it short reports over jsonrpc2: the load that it puts on backend
// servers, the service that it charged to workspaces, and the requests that it
// suspects of crashing servers. Reports are notifications; nothing waits for
// them, and a daemon that hears none goes on alone.
package exchange
