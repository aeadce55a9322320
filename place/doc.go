// Package place decides on which backend server a call runs and when. A Pool
// knows the servers of all services, the load that this daemon puts on them, and
// what other daemons report of theirs. Model engines admit requests in order of
// arrival and read a prompt faster where they already hold its shared parts, so
// that the Pool prefers the server that is expected to produce the first token
// first, and holds a call back while every server has enough to read. Calls that
// are held back wait here, one queue for each workspace, and the workspace that
// has received the least goes first.
//
// The choice is made from local knowledge. The loads of other daemons, which
// arrive some tens of milliseconds late, only correct it, so that a daemon that
// is cut off from the others goes on alone.
package place
