// Package contract implements the home role: it counts the slots of the
// backend servers whose home is this daemon and lends them by contracts.
//
// A Ledger holds, for each own server, its limit and the contracts in use, and
// for each service the demands that entry daemons reported. Every event that
// may free a slot or add demand runs the dispatch, so that a free slot always
// means that no known demand fits it. Shares orders the workspaces, the ledger
// orders the entries of one workspace.
//
// Lock order: Ledger.update, then Ledger.mu, then the locks inside Shares,
// Limiter and Journal. Shares calls the accept function of Next with Ledger.mu
// held, so accept must not lock. Fleet, Config, Load and Entry are never
// called with Ledger.mu held.
//
// Membership, counters and learned limits are left to the packages member,
// fair and limit.
package contract
