// Package campaign runs a fleet of five daemons under random faults on virtual
// time and checks the invariants of a fleet. It runs the deciding part of a
// daemon, daemon.Core, unchanged. The network between the daemons, the platform,
// the backend servers and the callers are in-memory stand-ins that fail
// according to a seeded plan.
//
// A longer campaign than that of the ordinary tests:
//
//	go test ./campaign -run TestCampaign -v -args -seeds 20 -requests 2000
//
// The flag -first sets the first seed. The same seed gives the same plan of
// faults and the same requests. The order of goroutines that are ready at the
// same moment is not seeded.
//
// The campaign does not cover HTTP on either side, nor the pause of a whole
// process. A paused daemon is one whose links and calls stop and later resume
// with their earlier state. Its timers keep running, so the detection of a
// missed tick is not exercised.
package campaign
