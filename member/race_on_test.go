//go:build race

package member

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
