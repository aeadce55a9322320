// Package demo plays workloads against a fleet and measures it. A workload is
// data plus a seed and runs on the runtime's clock, so that the same workload
// drives an in-memory fleet on virtual time and a fleet over loopback in real
// time. The measures are those of section 1.3 of docs/design.md.
package demo
