// Package fake holds small stand-ins for the surroundings of a daemon: callers, the
// platform, model engines, plain services and the network between daemons. Tests,
// scenarios and the demo use them; a daemon in production does not.
package fake
