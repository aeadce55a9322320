package retry

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// maxExported bounds the records in a message to a peer: 32 take about 2 KB.
	maxExported = 32
	// maxExportedChanges bounds the changed records in a message. The others follow
	// with the next ones.
	maxExportedChanges = 128
	// maxReportDelay is the longest delay of a report that is taken into account when
	// the order of crashes is determined from reports.
	maxReportDelay = 500 * time.Millisecond
	// sameCrashInterval is the difference up to which two crash times count as
	// one crash that two daemons saw. Without it, daemons that send each other
	// the same suspicion would extend it by the delay of each exchange.
	sameCrashInterval = 5 * time.Second
)

// Export implements wigeonladder.SuspicionExchange. It returns the quarantined prompt
// parts and the most recently changed records. A record without servers means that
// the request or the part was cleared.
func (s *Suspects) Export() []wigeonladder.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateQuarantine()
	var l []wigeonladder.Suspicion
	for _, quarantined := range []bool{true, false} {
		for e := s.order.Front(); e != nil && len(l) < maxExported; e = e.Next() {
			k := e.Value.(*suspect)
			if k.part.quarantined == quarantined && !k.expired() {
				l = append(l, k.suspicion())
			}
		}
	}
	return l
}

// ExportChanges returns records that changed since the last call, those with most
// crashes first.
func (s *Suspects) ExportChanges() []wigeonladder.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	s.updateQuarantine()
	changed := make([]*suspect, 0, len(s.pending))
	for f := range s.pending {
		changed = append(changed, s.records[f].Value.(*suspect))
	}
	slices.SortFunc(changed, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	changed = changed[:min(len(changed), maxExportedChanges)]
	l := make([]wigeonladder.Suspicion, 0, len(changed))
	for _, k := range changed {
		delete(s.pending, k.fingerprint)
		l = append(l, k.suspicion())
	}
	return l
}

// suspicion returns the record as other daemons get it.
func (k *suspect) suspicion() wigeonladder.Suspicion {
	v := wigeonladder.Suspicion{
		Fingerprint: k.fingerprint, Servers: k.servers(), AgeMs: time.Since(k.changedAt).Milliseconds(),
	}
	if !k.isPart {
		return v
	}
	v.Part, v.Trials, v.Independent, v.Servers = true, k.part.trials, k.part.independent, nil
	v.Workspaces = slices.Clone(k.part.workspaces)
	if !k.clearedAt.IsZero() {
		v.ClearedAgeMs = time.Since(k.clearedAt).Milliseconds() + 1
	}
	for _, c := range k.crashes {
		v.Servers = append(v.Servers, c.server)
		v.CrashAgesMs = append(v.CrashAgesMs, time.Since(c.at).Milliseconds())
		v.LeadsMs = append(v.LeadsMs, c.at.Sub(c.sentAt).Milliseconds())
	}
	return v
}

// Import implements wigeonladder.SuspicionExchange. The last event wins: a crash
// that is older than a clearing does not make the request or the part suspect again.
func (s *Suspects) Import(l []wigeonladder.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	oldestFirst := slices.SortedStableFunc(slices.Values(l), func(a, b wigeonladder.Suspicion) int {
		return cmp.Compare(b.AgeMs, a.AgeMs)
	})
	for _, v := range oldestFirst {
		at := now.Add(-time.Duration(v.AgeMs) * time.Millisecond)
		switch tooOld := v.AgeMs >= suspicionLifetime.Milliseconds(); {
		case v.AgeMs < 0 || tooOld && (!v.Part || len(v.Servers) < quarantineCrashes):
		case v.Part:
			s.mergePart(v, now)
		default:
			s.mergeRequest(v, at)
		}
	}
}

// mergeRequest merges the record of a request. The time is that of the last crash or
// of the clearing.
func (s *Suspects) mergeRequest(v wigeonladder.Suspicion, at time.Time) {
	if e, known := s.records[v.Fingerprint]; known && e.Value.(*suspect).outdates(v, at) {
		return
	}
	k := s.getOrCreate(v.Fingerprint, false)
	defer s.restoreOrder(k)
	if len(v.Servers) == 0 {
		k.crashes, k.changedAt = nil, at
		return
	}
	added := false
	for _, server := range v.Servers {
		added = k.addCrash(crash{server: server, at: at}) || added
		s.logCrash(server, at)
	}
	if at.After(k.changedAt) && (added || at.Sub(k.changedAt) > sameCrashInterval) {
		k.changedAt = at
	}
}

// outdates reports whether a record that another daemon sent of the same request tells
// nothing new.
func (k *suspect) outdates(v wigeonladder.Suspicion, at time.Time) bool {
	if k.expired() {
		return false
	}
	if len(k.crashes) == 0 || len(v.Servers) == 0 {
		return at.Before(k.changedAt)
	}
	return at.Sub(k.changedAt) <= sameCrashInterval && k.hasServers(v.Servers)
}

// hasServers reports whether the record contains crashes of all servers of a list.
func (k *suspect) hasServers(l []string) bool {
	for _, server := range l {
		if !slices.ContainsFunc(k.crashes, func(c crash) bool { return c.server == server }) {
			return false
		}
	}
	return true
}

// contains reports whether a record that another daemon sent of the same part tells
// nothing new.
func (k *suspect) contains(v wigeonladder.Suspicion, clearedAt time.Time) bool {
	return !k.expired() && !k.isNewClearing(clearedAt) && k.hasServers(v.Servers) &&
		v.Trials <= k.part.trials && v.Independent <= k.part.independent &&
		!slices.ContainsFunc(v.Workspaces, func(w string) bool { return !k.part.concerns(w) })
}

// isNewClearing reports whether a clearing that another daemon reported is not the one
// that is known. Otherwise daemons that send each other the same clearing would move it
// by the delay of each exchange, until it clears crashes that came after it.
func (k *suspect) isNewClearing(at time.Time) bool {
	if at.Sub(k.clearedAt) > sameCrashInterval {
		return true
	}
	return at.After(k.clearedAt) && slices.ContainsFunc(k.crashes, func(c crash) bool { return !c.at.After(at) })
}

// mergePart merges the record of a part that another daemon sent.
func (s *Suspects) mergePart(v wigeonladder.Suspicion, now time.Time) {
	if len(v.CrashAgesMs) != len(v.Servers) || len(v.LeadsMs) != len(v.Servers) {
		return
	}
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
	clearedAt := time.Time{}
	if v.ClearedAgeMs > 0 {
		clearedAt = ago(v.ClearedAgeMs)
	}
	if e, known := s.records[v.Fingerprint]; known && e.Value.(*suspect).contains(v, clearedAt) {
		return
	}
	k := s.getOrCreate(v.Fingerprint, true)
	defer s.restoreOrder(k)
	s.quarantineIsOld = true
	if k.isNewClearing(clearedAt) {
		k.clear(clearedAt)
	}
	for i, server := range v.Servers {
		at := ago(v.CrashAgesMs[i])
		if !at.After(k.clearedAt) {
			continue
		}
		lead := time.Duration(max(v.LeadsMs[i], 0))*time.Millisecond + maxReportDelay
		if k.addCrash(crash{server: server, at: at, sentAt: at.Add(-lead)}) {
			k.changedAt = maxTime(k.changedAt, at)
		}
		s.logCrash(server, at)
	}
	if len(k.crashes) > 0 {
		for _, w := range v.Workspaces {
			k.part.addWorkspace(w)
		}
		k.part.trials = max(k.part.trials, v.Trials)
		k.part.independent = max(k.part.independent, v.Independent)
	}
}
