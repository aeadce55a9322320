// Package place decides on which backend server a call runs and when. A Pool
// knows the servers of all services, the load that this daemon puts on them, and
// the loads that other daemons report. Model engines admit requests in order of
// arrival, and read a prompt faster if they have its shared parts in their cache.
// The Pool therefore prefers the server that is expected to produce the first
// token first, and holds a call back while its server still has many prompt
// tokens to read. Calls that are held back wait in the Pool, in one queue for
// each workspace. Workspaces below their fair share go first, and among
// workspaces of equal standing the one that has received the least service.
//
// The choice is made from local knowledge. The loads of other daemons, which
// arrive some tens of milliseconds late, only correct it, so that a daemon that
// is cut off from the others keeps working.
package place
