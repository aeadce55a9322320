//go:build race

package member

// raceEnabled tells that the race detector is on.
const raceEnabled = true
