// Package inventory keeps a daemon's knowledge of what a platform publishes in
// its store: the routing configuration and the backend servers. A Follower reads
// all items below a prefix once and then watches them, and reads them again when
// the store no longer has the history in between. It keeps what it knows while
// the store cannot be reached.
package inventory
