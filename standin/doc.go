// Package standin implements the program standin, which runs the stand-ins of
// package fake as separate processes: one process for the platform, the backend
// servers and the network between them, and short-lived processes that act as
// callers. Scenario tests and trials on one machine use it; a production fleet does
// not.
package standin
