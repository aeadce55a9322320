package retry

import "time"

// crashLog holds the latest crashes of servers.
type crashLog struct {
	times map[string]time.Time
}

// logCrash records the crash of a server, whatever ran there.
func (s *Suspects) logCrash(server string, at time.Time) {
	if s.crashLog.add(server, at) {
		s.quarantineIsOld = true
	}
}

// add records the crash of a server and reports whether it was not known. Of several
// times the earliest counts.
func (l *crashLog) add(server string, at time.Time) bool {
	if l.times == nil {
		l.times = map[string]time.Time{}
	}
	if old, ok := l.times[server]; ok {
		if at.Before(old) {
			l.times[server] = at
		}
		return false
	}
	if len(l.times) >= maxLoggedCrashes {
		oldest := server
		for x, t := range l.times {
			if oldest == server || t.Before(l.times[oldest]) {
				oldest = x
			}
		}
		delete(l.times, oldest)
	}
	l.times[server] = at
	return true
}

// count returns the number of servers that crashed about a time.
func (l *crashLog) count(at time.Time) int {
	n := 0
	for _, t := range l.times {
		if t.Sub(at).Abs() <= concurrentCrashTime {
			n++
		}
	}
	return n
}
