// Package fair keeps the fair-share state of workspaces: the service that each
// has received, and their order by weighted fair queueing, as section 4 of
// docs/design.md describes.
//
// Each home, the daemon that grants the slots of backend servers, has one
// Counters. For each service it keeps a counter E for each workspace: the
// received service divided by the weight. The backlogged workspaces are in a heap
// ordered by E, and the lowest is served next. The virtual time V of a service is
// the lowest E of the backlogged workspaces. A workspace whose E is above V has
// debt, one whose E is below V has credit. The credit that is left when its
// backlog ends is its deficit.
//
// A grant is charged the average cost of the earlier requests of the workspace,
// not the hint of the request, which the workspace chooses.
//
// Homes exchange what they have charged since their start. Between two exchanges
// a home assumes that the others charge each workspace as it does itself, in
// proportion to their slots. The next exchange of a home replaces the assumption
// about it.
//
// A Window compares the demand of workspaces with the service that they have
// received over the whole fleet in the last seconds.
//
// The package does no I/O: its callers send the exports and decide when.
package fair
