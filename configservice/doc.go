// Package configservice speaks to the configuration service that publishes registers and rules. Client is
// its HTTP protocol; Watcher keeps the newest accepted configuration and list
// of VMs of one daemon.
//
// The Watcher is the only place that decides which revision is in force: it
// accepts a document if it is valid and its revision is higher, whether the
// document comes from the platform or from a peer. Who asks peers, and when, is
// left to others.
package configservice
