// Package inventory keeps the data that a platform publishes in its store: the
// routing configuration and the backend servers. A Follower reads all items
// below a key prefix once and then watches them. It reads all of them again if
// the store has compacted the history that a watch needs. While the store
// cannot be reached, the last known data stay in use.
package inventory
