// Package configservice reads from the configuration service, the part of the
// platform that publishes registers, rules and live lists. Client implements its
// HTTP protocol; Watcher keeps the newest accepted configuration and the newest
// live list of one daemon.
//
// The Watcher alone decides which revision is in force: it accepts a document
// if the document is valid and its revision is higher than that in force,
// whether it comes from the platform or from a peer. Package peer decides which
// peers are asked for a document, and when.
package configservice
