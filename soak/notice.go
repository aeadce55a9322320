package soak

import (
	"strconv"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// pauseGrace is the time after a refusal in which calls may still arrive at a
	// server that asked for a pause.
	pauseGrace = 500 * time.Millisecond
	// maxCallsInPause is the number of calls that may arrive at a server from one
	// daemon between pauseGrace and the end of the pause that it asked for.
	maxCallsInPause = 2
	// limitSpan is the span in which calls to a server with a limit are counted,
	// limitContactTime the time after which all daemons keep the limit, limitTellTime
	// the time in which a call is answered and the daemon knows of the limit.
	limitSpan        = 4 * time.Second
	limitContactTime = 3 * time.Second
	limitTellTime    = 1500 * time.Millisecond
)

// daemonDisturbed records that a fault of a daemon, or of its way to a server, begins.
func (c *checker) daemonDisturbed(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[daemon] = append(c.disturbances[daemon], time.Now())
}

// wasDisturbed reports whether a fault of one of the named daemons began between two
// points.
func (c *checker) wasDisturbed(from, to time.Time, daemons ...string) bool {
	for _, name := range daemons {
		for _, at := range c.disturbances[name] {
			if at.After(from) && at.Before(to) {
				return true
			}
		}
	}
	return false
}

// allDaemons stands for all daemons in the names of disturbances.
const allDaemons = ""

// checkNotices checks that daemons send nothing to a server that told them that it
// leaves, and no more than maxCallsInPause calls to one that asked them for a pause.
func (c *checker) checkNotices(servers []*backend) {
	calls := map[string]observedCall{}
	for _, s := range c.calls {
		calls[s.call.ID] = s
	}
	for _, b := range servers {
		byDaemon := map[string][]stub.Arrival{}
		for _, a := range b.Arrivals() {
			if s, ok := calls[a.ID]; ok {
				byDaemon[s.daemon] = append(byDaemon[s.daemon], a)
			}
		}
		for daemon, arrivals := range byDaemon {
			c.checkLeaving(b, daemon, arrivals, calls)
			c.checkPauses(b, daemon, arrivals)
		}
		c.checkLimit(b, calls)
	}
}

// checkLimit checks that all daemons together keep the limit of a server, from
// limitContactTime after it first named one. Calls of a daemon count from
// limitTellTime after its first call that reached the limited server; those of a
// daemon that was disturbed since do not count.
func (c *checker) checkLimit(b *backend, calls map[string]observedCall) {
	var counted []time.Time
	var named time.Time
	limit := 0.0
	told := map[string]time.Time{}
	for _, a := range b.Arrivals() {
		s, ok := calls[a.ID]
		if !ok || a.Limit == "" {
			continue
		}
		if named.IsZero() {
			named = a.At
			limit, _ = strconv.ParseFloat(a.Limit, 64)
		}
		if told[s.daemon].IsZero() {
			told[s.daemon] = a.At
		}
		if a.At.After(named.Add(limitContactTime)) && a.At.After(told[s.daemon].Add(limitTellTime)) && !c.wasDisturbed(named, a.At, s.daemon) {
			counted = append(counted, a.At)
		}
	}
	allowed := int(1.5*limit*limitSpan.Seconds() + 5)
	for i := allowed; i < len(counted); i++ {
		if span := counted[i].Sub(counted[i-allowed]); span <= limitSpan {
			c.addViolationLocked("%d calls reached %s in %v at a limit of %g a second; allowed %d", allowed+1, b.storeEntry.ID, span, limit, allowed)
			return
		}
	}
}

// checkLeaving checks that no call of a daemon reaches a server that leaves if its
// caller sent it later than leavingServerGrace after the daemon passed on an answer
// that says so.
func (c *checker) checkLeaving(b *backend, daemon string, arrivals []stub.Arrival, calls map[string]observedCall) {
	var told time.Time
	for _, a := range arrivals {
		s := calls[a.ID]
		if !a.Leaving {
			told = time.Time{} // a new incarnation
			continue
		}
		if !told.IsZero() && s.sent.After(told.Add(leavingServerGrace)) && !c.wasDisturbed(told, a.At, daemon) {
			c.addViolationLocked("call %s reached %s from %s %v after %s had passed on that it leaves", a.ID, b.storeEntry.ID, daemon, s.sent.Sub(told), daemon)
		}
		if told.IsZero() && s.err == nil && stub.SaysLeaving(s.reply.Header) {
			told = s.ended
		}
	}
}

// checkPauses checks the number of calls of a daemon that reach a server during a
// pause that it asked the daemon for.
func (c *checker) checkPauses(b *backend, daemon string, arrivals []stub.Arrival) {
	for i, asked := range arrivals {
		if asked.Pause <= pauseGrace {
			continue
		}
		n, last := 0, asked.At
		for _, a := range arrivals[i+1:] {
			if a.Pause == 0 {
				break // the pause has ended, or a new incarnation knows nothing of it
			}
			if a.At.After(asked.At.Add(pauseGrace)) && a.At.Before(asked.At.Add(asked.Pause)) {
				n, last = n+1, a.At
			}
		}
		if n > maxCallsInPause && !c.wasDisturbed(asked.At.Add(-disturbanceTime), last, daemon, allDaemons) {
			c.addViolationLocked("%d calls reached %s from %s during a pause of %v", n, b.storeEntry.ID, daemon, asked.Pause)
			return
		}
	}
}
