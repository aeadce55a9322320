// Package daemon builds one daemon of the fleet from its parts and stops it
// gracefully. It decides nothing itself: who may send is decided by entry and
// contract, in which order by fair, who is there by peer and member.
package daemon
