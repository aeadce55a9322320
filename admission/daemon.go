package admission

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// passesPerCall is the number of times that a call waits for the processor until its
	// first byte: to be read, to be sent once it is placed, and to read its answer.
	passesPerCall = 3
	// minDelayFraction and maxDelayFraction are the fractions of the target latency, spent
	// on waiting for the processor of this daemon, from which some and all calls are
	// refused. Not every pass waits as long as a timer, so that calls may be in time at the
	// former; at the latter next to none can.
	minDelayFraction = 1.0
	maxDelayFraction = 2.0
	// minLinkUse and maxLinkUse are the parts of the link's rate, taken by requests, from
	// which some and all calls are refused. Beyond, requests wait at the link until their
	// callers have gone, and what they take at servers is lost.
	minLinkUse = 0.8
	maxLinkUse = 0.9
	// otherDaemonDelay is the retry delay of a call that this daemon lacks the processor
	// time for. Retries reach other daemons.
	otherDaemonDelay = 100 * time.Millisecond
	// linkRetryDelay is the retry delay of a call that is refused because the link is full.
	// Each retry sends the body once more over a link of the zone.
	linkRetryDelay = 500 * time.Millisecond
	// defaultTarget takes the place of the target latency of calls that have none.
	defaultTarget = time.Second
	// maxGateWorkspaces bounds the number of workspaces that a gate tells apart.
	maxGateWorkspaces = 4096
)

// Head is what the head of a request tells, before its body is read.
type Head struct {
	Workspace string
	// TargetLatency is the time after which the answer loses value, 0 if there is none.
	// TimeLeft is the time after which the caller gives up, 0 if it does not say.
	TargetLatency, TimeLeft time.Duration
	// BodyBytes is the size of the body, -1 if it is not known.
	BodyBytes int
}

// DaemonLoad is how near a daemon is to the limits of its machine.
type DaemonLoad struct {
	// Delay is for how long work waits for the processor: by how much timers of the process
	// are late, or requests wait to be read.
	Delay time.Duration
	// LinkUse is the part of the link's rate that the requests of callers take; 0 if the
	// rate is not known.
	LinkUse float64
}

// DaemonGate refuses the calls that this daemon cannot serve in time for want of processor
// time or bandwidth, whatever the servers can do. Beyond a limit it refuses a part of the
// calls that grows with the load, the same part of each workspace's. The zero value is
// ready for use; it is not safe for concurrent use.
type DaemonGate struct {
	// due contains for each workspace the part of a call that is due to be refused.
	due map[string]float64
}

// Refusal returns the error for a call that this daemon cannot serve in time, or nil.
func (g *DaemonGate) Refusal(l DaemonLoad, h Head) *wigeonladder.Error {
	part := max(l.refusedByDelay(h), l.refusedByLink())
	if part < 1 && !g.isDue(h.Workspace, part) {
		return nil
	}
	return l.error(h)
}

// HopelessRefusal returns the error for a call of a kind of which all are refused, or nil.
// It needs no state, so that the body of such a call need not be read.
func (l DaemonLoad) HopelessRefusal(h Head) *wigeonladder.Error {
	if max(l.refusedByDelay(h), l.refusedByLink()) < 1 {
		return nil
	}
	return l.error(h)
}

// refusedByDelay returns the part of the calls like this one that is refused for want of
// processor time, from 0 to 1.
func (l DaemonLoad) refusedByDelay(h Head) float64 {
	limit := h.TargetLatency
	if limit <= 0 {
		limit = defaultTarget
	}
	if h.TimeLeft > 0 {
		limit = min(limit, h.TimeLeft)
	}
	return ramp(passesPerCall*l.Delay.Seconds()/limit.Seconds(), minDelayFraction, maxDelayFraction)
}

// refusedByLink returns the part of the calls that is refused because the link is full.
func (l DaemonLoad) refusedByLink() float64 { return ramp(l.LinkUse, minLinkUse, maxLinkUse) }

// ramp returns how far a value is on the way from least to most, from 0 to 1.
func ramp(value, least, most float64) float64 {
	return min(max((value-least)/(most-least), 0), 1)
}

// isDue adds a part of a call to what is due of a workspace, and reports whether that
// makes a whole call.
func (g *DaemonGate) isDue(workspace string, part float64) bool {
	if part <= 0 {
		return false
	}
	if g.due == nil || len(g.due) >= maxGateWorkspaces {
		g.due = map[string]float64{}
	}
	g.due[workspace] += part
	if g.due[workspace] < 1 {
		return false
	}
	g.due[workspace]--
	return true
}

// error returns the error for a call that another daemon may serve in time.
func (l DaemonLoad) error(h Head) *wigeonladder.Error {
	if l.refusedByLink() > l.refusedByDelay(h) {
		return wigeonladder.Errorf(wigeonladder.CodeOverload, "", "requests take %.0f in 100 of the daemon's link", 100*l.LinkUse).
			WithRetryDelay(linkRetryDelay)
	}
	return wigeonladder.Errorf(wigeonladder.CodeOverload, "", "the daemon lacks processor time: work waits for %v", l.Delay.Round(time.Millisecond)).
		WithRetryDelay(otherDaemonDelay)
}
