package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime is a steady clock that, unlike the runtime's, also counts the time
// during which the machine was suspended. The age of the configuration is
// measured by it, because keys may be withdrawn meanwhile.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started)
	}
	return time.Duration(t.Nano())
}

// started is the origin of the clock where the machine has no such clock.
var started = time.Now()
