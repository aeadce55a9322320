// Package policy holds the baselines that the fleet is compared with. Each
// gives every daemon a wigeonladder.Placer.
//
//   - alone: each daemon queues fairly by itself and sends to the server with
//     the least of its own load, up to a limit that it learns per server.
//   - split: the slots of every server are divided evenly over the daemons
//     beforehand.
//   - central: one object serves all daemons without delay. It knows every
//     waiting request and every slot, and is the upper limit of what a fleet of
//     separate daemons can reach.
//
// All use the same queue and the same counters (package fair); they differ in
// what one scheduler covers. They lend slots without expiry and are not meant
// for service.
package policy
