package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// testTarget is the target latency of the calls of a processorTest, testTick the
	// interval of its timer.
	testTarget = 600 * time.Millisecond
	testTick   = 20 * time.Millisecond
	// callTime is the processor time of a call that is served, refusalTime that of one
	// that is refused.
	callTime    = 5 * time.Millisecond
	refusalTime = 500 * time.Microsecond
)

// processorTest is a daemon with one processor, which works in the order of arrival.
type processorTest struct {
	gate           DaemonGate
	delay          Delay
	inTime, served map[string]int
}

// run sends calls of two workspaces at a multiple of the load that the processor carries,
// of which one sends three times as many as the other.
func (p *processorTest) run(factor float64, d time.Duration, gated bool) {
	now, freeAt, tickAt := start, start, start
	gap := time.Duration(float64(callTime) / factor)
	for i := 0; now.Before(start.Add(d)); i++ {
		now = now.Add(gap)
		for tickAt.Add(testTick).Before(now) {
			// The timer's goroutine waits behind the work that is queued.
			tickAt = maxTimeOf(tickAt.Add(testTick), freeAt)
			p.delay.Fire(tickAt, testTick)
		}
		workspace := "large"
		if i%4 == 0 {
			workspace = "small"
		}
		cost := callTime
		if gated && p.gate.Refusal(DaemonLoad{Delay: p.delay.Mean()}, Head{Workspace: workspace, TargetLatency: testTarget}) != nil {
			cost = refusalTime
		}
		freeAt = maxTimeOf(now, freeAt).Add(cost)
		if cost == callTime {
			p.served[workspace]++
			if freeAt.Sub(now) <= testTarget {
				p.inTime[workspace]++
			}
		}
	}
}

// maxTimeOf returns the later of two times.
func maxTimeOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a daemon without processor time that works on every call, so that none is
// in time, against one that refuses too many, and against one that refuses the calls of
// one workspace more often than those of another.
func TestGateKeepsDaemonInTime(t *testing.T) {
	is := is.New(t)
	for _, factor := range []float64{0.8, 2, 4} {
		p := &processorTest{served: map[string]int{}, inTime: map[string]int{}}
		p.run(factor, 20*time.Second, true)
		open := &processorTest{served: map[string]int{}, inTime: map[string]int{}}
		open.run(factor, 20*time.Second, false)
		t.Log(factor, "served", p.served, "in time", p.inTime, "without a gate", open.inTime)
		// What is left of the processor beside the refusals.
		cheap := float64(refusalTime) / float64(callTime)
		carried := int(min(factor, (1-factor*cheap)/(1-cheap)) * float64(20*time.Second/callTime))
		is.True(p.inTime["large"]+p.inTime["small"] >= carried/2)
		ratio := float64(p.served["large"]) / float64(p.served["small"])
		is.True(ratio > 2.7 && ratio < 3.3) // as they were sent
	}
}

// Guards against calls that are refused because a timer was late once, and against a
// lasting delay that is not noticed.
func TestDelayIsLasting(t *testing.T) {
	is := is.New(t)
	var d Delay
	now := start
	fire := func(late ...time.Duration) time.Duration {
		for _, l := range late {
			now = now.Add(testTick + l)
			d.Fire(now, testTick)
		}
		return d.Mean()
	}
	is.True(fire(0, 0, 0, 2*time.Second) <= maxSingleDelay)
	is.True(fire(0, 0, 0, 0, 0, 0, 0, 0, 0, 0) < 50*time.Millisecond)
	const lasting = 500 * time.Millisecond
	is.True(fire(lasting, lasting, lasting, lasting, lasting) > lasting*8/10)
	short, long := Head{TargetLatency: testTarget}, Head{TargetLatency: 10 * time.Second}
	is.True(DaemonLoad{Delay: d.Mean()}.HopelessRefusal(short) != nil)
	is.True(DaemonLoad{Delay: d.Mean()}.HopelessRefusal(long) == nil)
}

// Guards against a daemon behind a full link that places calls whose callers have gone when
// they are read, and against refusals while the link carries what is asked.
func TestFullLinkIsRelieved(t *testing.T) {
	is := is.New(t)
	const mbps, bodyBytes, perSecond = 10, 9000, 140 // a rate of about 1.06 of the link
	refused := func(l *Link, part float64) int {
		var g DaemonGate
		now, n := start, 0
		gap := time.Duration(float64(time.Second) / perSecond / part)
		for i := range 1000 {
			now = now.Add(gap)
			l.Add(now, bodyBytes)
			if err := g.Refusal(DaemonLoad{LinkUse: l.Use(now)}, Head{Workspace: "w", TargetLatency: testTarget}); err != nil && i >= 500 {
				is.Equal(err.RetryDelay, linkRetryDelay)
				n++
			}
		}
		return n
	}
	is.Equal(refused(NewLink(mbps), 0.7), 0)
	is.Equal(refused(NewLink(mbps), 1), 500)
	is.Equal(refused(NewLink(0), 1), 0) // the rate is not known
}
