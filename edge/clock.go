package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time of a monotonic clock that, unlike the runtime's, also
// counts while the machine is suspended. The age of the configuration is
// measured by it, because keys may be withdrawn during a suspension.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// processStart is the origin of the fallback clock for machines without
// CLOCK_BOOTTIME.
var processStart = time.Now()
