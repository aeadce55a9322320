// Package contract implements the home role: it counts the slots of the backend
// servers whose home is this daemon and lends them by contracts.
//
// A Ledger holds, for each own server, its limit and the contracts that occupy
// its slots, and for each service the demands that entry daemons reported.
// Every event that may free a slot or add demand runs the dispatch. A slot is
// therefore free only while no known demand fits it. FairShares orders the
// workspaces; the ledger orders the entries of one workspace. Entries and homes
// are identified by the names of their VMs.
//
// Lock order: Ledger.update, then Ledger.mu, then the locks inside FairShares,
// Limiter and Journal. FairShares calls the accept function of Next with
// Ledger.mu held, so accept must not lock. Fleet, Config, FetchLoad and Entry
// are never called with Ledger.mu held.
//
// Membership, counters and learned limits belong to the packages member, fair
// and limit.
package contract
