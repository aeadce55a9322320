// Package admission decides which calls may wait for a busy service, and when refused
// ones are to come back. It knows a service only by what this daemon has placed there
// in the last second: a call that would wait for longer than it can use is refused when
// it arrives, and refused calls of a workspace are told to come back one after the
// other, at the rate at which its calls are placed.
//
// The package does no I/O and keeps no time of its own.
package admission
