// Package capacity measures the slopes from which docs/CAPACITY.md derives the
// cost of control at the size of section 1.7 of docs/design.md. It builds
// registers of any size and fleets of daemons over in-memory pipes, without
// callers and backend servers.
//
// The flag -full runs the larger sizes. Each slope has one command:
//
//	go test ./capacity -v -full -run TestIdleTraffic      heartbeats of a quiet fleet
//	go test ./capacity -v -full -run TestRequestTraffic   messages per request, by homes
//	go test ./capacity -v -full -run TestTickTime         processor time of a quiet daemon
//	go test ./capacity -v -full -run TestMemory           memory per item of state
//	go test ./capacity -run - -bench Parse                one configuration change
//	go test ./capacity -run - -bench Exchange             counters in a heartbeat
//	go test ./capacity -run - -bench Renew                one renewed contract
//	go test ./capacity -run - -bench Enqueue              one request through the queue
//	go test ./capacity -run - -bench Learn                the register in each round
//
// The decisions of a home are measured by the benchmarks of contract and fair,
// the calls of the platform's readers by TestCallsOfAFleet of platform, and
// open streams by BenchmarkOpenStreams of caller.
package capacity
