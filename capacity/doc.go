// Package capacity measures how the cost of the control traffic and state grows
// with the size of the fleet. From these growth rates, called slopes,
// docs/CAPACITY.md derives the cost at the size of section 1.7 of docs/design.md.
// The package builds registers of any size and fleets of daemons over in-memory
// pipes, without callers and backend servers.
//
// The flag -full also runs the larger sizes. Each slope has one command:
//
//	go test ./capacity -v -full -run TestIdleTraffic      heartbeats of a fleet without requests
//	go test ./capacity -v -full -run TestRequestTraffic   messages per request, by number of homes
//	go test ./capacity -v -full -run TestTickTime         processor time of a daemon without requests
//	go test ./capacity -v -full -run TestMemory           memory per item of state
//	go test ./capacity -run - -bench Parse                one configuration change
//	go test ./capacity -run - -bench Exchange             fair-share counters in a heartbeat
//	go test ./capacity -run - -bench Renew                renewal of one contract
//	go test ./capacity -run - -bench Enqueue              one request through the queue
//	go test ./capacity -run - -bench Learn                member table in each heartbeat round
//
// The decisions of a home are measured by the benchmarks of contract and fair,
// the calls to the configuration service by TestCallsOfAFleet of configservice, and
// open streams by BenchmarkOpenStreams of caller.
package capacity
