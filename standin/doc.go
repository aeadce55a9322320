// Package standin is the program that runs the stand-ins of package fake as
// separate processes: one process for the platform, the backend servers and the
// network between them, and short-lived ones that act as callers. Scenarios and
// trials on one machine use it; a fleet in service does not.
package standin
