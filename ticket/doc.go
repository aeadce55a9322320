// Package ticket runs requests that may not be repeated at most once.
//
// A ticket names the daemon that issued it, the incarnation of that daemon and
// a number, and is signed with a key that only this incarnation holds. Only
// that incarnation ever runs the request. Every other daemon forwards to it, so
// at-most-once depends neither on clocks nor on a list of live daemons.
//
// An Issuer keeps the outcomes of its own tickets in bounded memory. A number
// whose outcome was forgotten lies at or below a watermark and never runs.
// Issued tickets that are not used cost no memory, because the signature proves
// that the number was issued.
//
// Left to others: reaching the issuer (Options.Forward), knowing which
// incarnations are alive (Options.LookupIncarnation) and running the request
// (wigeonladder.Runner).
package ticket
