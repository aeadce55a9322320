// Package fake holds small stand-ins for what surrounds the fleet: the
// platform, model engines, plain services and the links between daemons. Tests,
// scenarios and the demo use them; a daemon in service does not.
package fake
