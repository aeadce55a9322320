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
// all are pinned. It is the one with the largest product of bytes and idle time,
// among those of the workspace or the address that holds more than dominantFraction.
func Victim(holders []Holder) int {
	workspace := dominant(holders, func(h Holder) string { return h.Workspace })
	address := dominant(holders, func(h Holder) string { return h.Address })
	for _, isCandidate := range []func(Holder) bool{
		func(h Holder) bool { return workspace != "" && h.Workspace == workspace },
		func(h Holder) bool { return address != "" && h.Address == address },
		func(Holder) bool { return true },
	} {
		if i := largest(holders, isCandidate); i >= 0 {
			return i
		}
	}
	return -1
}

// dominant returns the group that holds more than dominantFraction of all bytes, or an
// empty string if there is none.
func dominant(holders []Holder, group func(Holder) string) string {
	total, groups := int64(0), map[string]int64{}
	for _, h := range holders {
		total += h.Bytes
		groups[group(h)] += h.Bytes
	}
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
