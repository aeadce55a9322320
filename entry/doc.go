// Package entry implements the entry role: it keeps the requests that this
// daemon accepted until a contract lends each of them a slot.
//
// If no request of the service waits, a Queue requests a slot from the homes at
// once. Otherwise it queues the request by service, workspace, model, urgency
// and arrival, and reports the demand to every home that could serve it. A
// contract for which no request waits is returned at once. The queue renews the
// held contracts once a second and releases each when its request ends. Entries
// and homes are identified by the names of their VMs.
//
// Lock order: Queue.update, then Queue.mu, then the locks inside Affinity and
// Journal. Fleet, Config and Home are never called with Queue.mu held. A home
// in this process may therefore call Grant and Recall at any time.
//
// The caller of Place sends the attempts and retries them. Before the first
// byte of an attempt it calls CheckBeforeSend, which refuses a contract that is
// too old.
package entry
