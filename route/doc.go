// Package route selects the route and the workspace of a call. A Document is one
// version of the published routing configuration, a Table its immutable index,
// and a Book keeps the newest Table together with the time at which it was last
// known to be the newest. Keys may be withdrawn at any time, so that a Book that
// has not been confirmed for long must not let calls with a key through.
package route
