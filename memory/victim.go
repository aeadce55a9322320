package memory

import "time"

// Holder is what one connection holds.
type Holder struct {
	// Address and Workspace are the groups to which the connection belongs; empty if
	// unknown.
	Address, Workspace string
	Bytes              int64
	// Idle is the time since bytes last moved on the connection.
	Idle time.Duration
	// Pinned is true while the request runs, so that nobody could tell afterwards
	// whether it ran.
	Pinned bool
}

const (
	// dominantFraction is the part of all held bytes above which one address or
	// workspace gives way before others.
	dominantFraction = 0.5
	// minIdle is added to the idle time, so that among connections that all progress
	// the one that holds most gives way.
	minIdle = 100 * time.Millisecond
)

// Victim returns the index of the holder that gives way when room is short, or -1 if
// all are pinned. It is the one with the largest product of bytes and idle time, among
// those of the dominant workspace or else of the dominant address, if there are any.
func Victim(holders []Holder, dominantWorkspace, dominantAddress string) int {
	for _, isCandidate := range []func(Holder) bool{
		func(h Holder) bool { return dominantWorkspace != "" && h.Workspace == dominantWorkspace },
		func(h Holder) bool { return dominantAddress != "" && h.Address == dominantAddress },
		func(Holder) bool { return true },
	} {
		if i := largest(holders, isCandidate); i >= 0 {
			return i
		}
	}
	return -1
}

// Dominant returns the group that holds more than dominantFraction of total, or an
// empty string if there is none.
func Dominant(groups map[string]int64, total int64) string {
	for name, bytes := range groups {
		if float64(bytes) > dominantFraction*float64(total) {
			return name
		}
	}
	return ""
}

// largest returns the index of the candidate with the largest product of bytes and
// idle time that is not pinned, or -1.
func largest(holders []Holder, isCandidate func(Holder) bool) int {
	best, most := -1, 0.0
	for i, h := range holders {
		if h.Pinned || h.Bytes <= 0 || !isCandidate(h) {
			continue
		}
		if weight := float64(h.Bytes) * (h.Idle + minIdle).Seconds(); weight > most {
			best, most = i, weight
		}
	}
	return best
}
