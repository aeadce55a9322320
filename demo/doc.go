// Package demo runs workloads against a fleet and measures the service that
// each workspace receives. A workload is data plus a seed and runs on the
// runtime's clock. So the same workload drives an in-memory fleet on virtual
// time and a fleet over loopback TCP in real time. The measures are those of
// section 1.3 of docs/design.md.
package demo
