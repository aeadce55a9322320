// Package entry implements the entry role: it keeps the requests that this
// daemon accepted until a contract lends each of them a slot.
//
// A Queue asks a home for a slot when nothing waits, otherwise it queues the
// request by service, workspace, model, urgency and arrival, and reports the
// demand to every home that could serve it. A contract that finds no request
// goes back at once. The queue renews the contracts in use once a second and
// releases them at their end.
//
// Lock order: Queue.update, then Queue.mu, then the locks inside Affinity and
// Journal. Fleet, Config and Home are never called with Queue.mu held. A home
// in this process may therefore call Grant and Recall at any time.
//
// Sending attempts, retries and deciding when a contract is too old at the last
// step are left to the caller of Place; Check answers the latter.
package entry
