// Package exchange connects the daemons of a fleet that have only the addresses
// of a few seeds in common. Each daemon connects to every other one whose
// address it receives and sends it short reports over jsonrpc2: the load that
// it puts on backend servers, the service that it charged to workspaces, and
// the requests that it suspects of crashing servers. Reports are notifications;
// nothing waits for them, and a daemon that receives none continues on its own.
package exchange
