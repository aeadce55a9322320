package edge

import (
	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/forward"
	"github.com/wigeonladder/wigeonladder/front"
	"github.com/wigeonladder/wigeonladder/setting"
)

// callerLimits returns the limits of callers, which leave memory and descriptors for
// the daemon's own state, the store, other daemons and backend servers.
func callerLimits(s setting.Edge) front.Limits {
	memory := float64(s.MemoryMB << 20)
	return front.Limits{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes,
		HeaderTimeout: callerHeaderTimeout, ReadTimeout: callerReadTimeout, IdleTimeout: callerIdleTimeout, WriteTimeout: callerWriteTimeout,
		ProgressTime:   callerProgressTime,
		MemoryBytes:    max(int64(callMemoryFraction*memory), minCallMemory),
		MaxConns:       min(int(s.MaxOpenFiles)/callerConnsDivisor, int(connMemoryFraction*memory/connBytes)/front.MaxConnsFactor),
		MaxUnreadConns: maxUnreadConns,
	}
}

// judgeHead refuses a call that has no route, whose key belongs to no workspace, or that
// this daemon can by no means serve in time, before its body is read. It leaves every other
// decision to the forwarder.
func (d *Daemon) judgeHead(c *wigeonladder.Call, bodyBytes int) (workspace string, err *wigeonladder.Error) {
	t := d.tableStore.Table()
	if t == nil || !d.tableStore.KeysTrusted() {
		return "", nil
	}
	m, err := t.Match(c)
	if err == nil {
		err = d.gate.HopelessRefusal(forward.HeadOf(c, m, bodyBytes))
	}
	return m.Workspace, err
}
