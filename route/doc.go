// Package route selects the route and the workspace of a call. A Document is one
// version of the published routing configuration, a Table its immutable index,
// and a TableStore holds the newest Table together with the time at which it was
// last confirmed to be the newest. Keys may be revoked at any time, so that calls
// with a key must not be admitted when the confirmation is too old.
package route
