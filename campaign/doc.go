// Package campaign runs a fleet of five daemons under random faults on virtual
// time and checks what must always hold. It uses the deciding part of a daemon,
// daemon.Core, as it is; the network between daemons, the platform, the backend
// servers and the callers are in-memory stand-ins that fail on a seeded plan.
//
// A longer campaign than that of the ordinary tests:
//
//	go test ./campaign -run TestCampaign -v -args -seeds 20 -requests 2000
//
// The flag -first chooses the first seed. The same seed gives the same plan of faults and the same requests. The order
// of goroutines that are ready at the same moment is not seeded.
//
// Left out: HTTP on both sides, and the pause of a process. A paused daemon is
// one whose links and calls stand still and then go on with old state; its
// timers keep running, so the detection of a missed tick is not exercised.
package campaign
