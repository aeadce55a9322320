// Package fair keeps the received service of workspaces and orders them by
// weighted fair queueing, as section 4 of docs/design.md describes.
//
// Each home of the fleet has one Counters. Per service it keeps a counter E for
// each workspace: received service divided by weight. The backlogged workspaces
// are in a heap ordered by E, and the lowest is served next. The virtual time V
// of a service is the lowest E among backlogged workspaces.
//
// A grant is charged the cost that earlier requests of the workspace had on
// average, not the hint of the request, which the workspace chooses.
//
// Homes exchange what they charged since their start. Between two exchanges a
// home assumes that the others charge each workspace as it does itself, scaled
// by their slots. The assumption about a home is dropped when its next exchange
// arrives.
//
// The package does no I/O. Who sends the exports, and when, is left to others.
package fair
