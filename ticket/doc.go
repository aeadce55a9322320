// Package ticket runs requests that may not be repeated, each at most once.
//
// A ticket names the daemon that issued it, the incarnation of that daemon and
// a number, and is signed with a key that only this incarnation holds. Only
// that incarnation ever runs the request. Every other daemon forwards to it, so
// at-most-once depends neither on clocks nor on a list of live daemons.
//
// An Issuer keeps the outcomes of its own tickets in bounded memory. The number of
// every evicted outcome is at or below a watermark, and the issuer starts no run
// for a number at or below the watermark. Unused tickets cost no memory, because
// the signature proves that the number was issued.
//
// The caller of the package provides the functions that forward a request to the
// issuing daemon (Options.Forward), find the live incarnation of a VM
// (Options.LookupIncarnation) and run a request (Options.Runner).
package ticket
