// Package policy holds the baseline placement policies that the fleet is compared
// with. Each gives every daemon a wigeonladder.Placer.
//
//   - alone: each daemon has its own fair queue and sends to the server with the
//     least load from this daemon, up to a limit that it learns per server.
//   - split: the slots of every server are statically divided evenly among the
//     daemons.
//   - central: one object serves all daemons without delay. It knows every
//     waiting request and every slot, and is the upper limit of what a fleet of
//     separate daemons can reach.
//
// All use the same queue and the same counters (package fair). They differ in
// which daemons and slots one scheduler covers. Their contracts do not expire, so
// they are not meant for production.
package policy
