package retry

import (
	"container/list"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// quarantineCrashes is the number of crashed servers at which a request is
	// quarantined. One server may crash by coincidence while it runs a harmless
	// request.
	quarantineCrashes = 2
	// suspicionLifetime is the time for which a suspicion holds after the last crash.
	suspicionLifetime = 10 * time.Minute
	// maxSuspects bounds the number of records; the least recently changed one
	// is evicted.
	maxSuspects = 4096
	// maxServersPerSuspect bounds the crashed servers kept in one record.
	maxServersPerSuspect = 4
)

// Fingerprint identifies a request by workspace, service, path and body, so
// that a resent request is recognised.
func Fingerprint(r wigeonladder.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Workspace, r.Service, r.Path} {
		// The length keeps ("ab", "c") and ("a", "bc") apart.
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// suspect is the record of one fingerprint.
type suspect struct {
	fingerprint uint64
	// isPart is true for the fingerprint of a prompt part, false for that of a whole
	// request.
	isPart bool
	// crashes are the crashes of backend servers since clearedAt, the oldest first.
	crashes []crash
	// clearedAt is the time of the last answer that cleared the record; zero without
	// one.
	clearedAt time.Time
	// changedAt is the time of the last crash or clearing.
	changedAt time.Time
	// running is closed when the run of a suspect request ends; nil if none exists.
	running chan struct{}
	part    partState
}

// crash is the end of one incarnation of a backend server.
type crash struct {
	server string
	at     time.Time
	// sentAt is the time at which the last unanswered call was sent to the server.
	sentAt time.Time
}

// Suspects records which requests, and which prompt parts, were running on backend
// servers that crashed. A suspect runs in isolation. A request that crashed two
// servers is quarantined: it is refused for 10 minutes. A request whose run
// completed is cleared. The rules for prompt parts are those of CheckCall. Suspects
// implements wigeonladder.SuspicionExchange and is safe for concurrent use.
type Suspects struct {
	mu      sync.Mutex
	records map[uint64]*list.Element
	// order holds the records, the most recently changed first.
	order *list.List
	// pending holds the records that changed since the last ExportChanges.
	pending map[uint64]struct{}
	// crashLog holds the crashes that are known, whatever ran on the servers.
	crashLog crashLog
	// quarantined holds the parts of each quarantined group by each of its parts.
	// It is computed anew after a change.
	quarantined     map[uint64][]uint64
	quarantineIsOld bool
	// reservedServers holds the servers on which a suspect runs. The channel is
	// closed when the reservation ends.
	reservedServers map[string]chan struct{}
}

// NewSuspects returns a Suspects without records.
func NewSuspects() *Suspects {
	return &Suspects{
		records: map[uint64]*list.Element{}, order: list.New(), pending: map[uint64]struct{}{},
		reservedServers: map[string]chan struct{}{},
	}
}

// RecordCrash records that a server crashed while it ran the request. It reports
// whether the server was added to the record of the request.
func (s *Suspects) RecordCrash(fingerprint uint64, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	k := s.getOrCreate(fingerprint, false)
	k.changedAt = now
	s.markChanged(k)
	s.logCrash(server, now)
	return k.addCrash(crash{server: server, at: now})
}

// Clear records that a run of the request completed.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.findActive(fingerprint); k != nil {
		k.clear(time.Now())
		s.markChanged(k)
		s.order.MoveToFront(s.records[fingerprint])
	}
}

// clear removes the crashes up to a time.
func (k *suspect) clear(at time.Time) {
	k.crashes = slices.DeleteFunc(slices.Clone(k.crashes), func(c crash) bool { return !c.at.After(at) })
	k.clearedAt = at
	if len(k.crashes) == 0 {
		k.changedAt = at
		k.part.reset()
	}
}

// markChanged records that a record changed.
func (s *Suspects) markChanged(k *suspect) {
	s.pending[k.fingerprint] = struct{}{}
	s.quarantineIsOld = true
}

// IsSuspect reports whether the request crashed a server and was not cleared,
// and the suspicion has not expired.
func (s *Suspects) IsSuspect(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.findActive(fingerprint) != nil
}

// CheckQuarantine returns an error with CodeSuspect if the request is quarantined.
// The place is that of the error.
func (s *Suspects) CheckQuarantine(fingerprint uint64, place string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantineError(s.findActive(fingerprint), place)
}

// quarantineError returns an error if the suspect is quarantined. The suspect may
// be nil.
func (s *Suspects) quarantineError(k *suspect, place string) error {
	if k == nil || len(k.crashes) < quarantineCrashes {
		return nil
	}
	left := suspicionLifetime - time.Since(k.changedAt)
	return wigeonladder.Errorf(wigeonladder.CodeSuspect, place,
		"the backend servers %q broke while they ran this request", k.servers()).
		WithRetryAfter(int(math.Ceil(left.Seconds())))
}

// findActive returns the record of a fingerprint if it is neither cleared nor
// expired, and nil otherwise.
func (s *Suspects) findActive(fingerprint uint64) *suspect {
	e, ok := s.records[fingerprint]
	if !ok {
		return nil
	}
	k := e.Value.(*suspect)
	if len(k.crashes) == 0 || k.expired() {
		return nil
	}
	return k
}

// getOrCreate returns the record of a fingerprint and moves it to the front. An
// expired record is emptied. Beyond maxSuspects a new record evicts the least
// recently changed one.
func (s *Suspects) getOrCreate(fingerprint uint64, isPart bool) *suspect {
	if e, ok := s.records[fingerprint]; ok {
		s.order.MoveToFront(e)
		k := e.Value.(*suspect)
		if k.expired() {
			k.crashes, k.changedAt, k.clearedAt = nil, time.Time{}, time.Time{}
			k.part.reset()
		}
		return k
	}
	if len(s.records) >= maxSuspects {
		s.evict()
	}
	k := &suspect{fingerprint: fingerprint, isPart: isPart}
	s.records[fingerprint] = s.order.PushFront(k)
	return k
}

// evict removes the least recently changed record that is no quarantined part, if
// there is one.
func (s *Suspects) evict() {
	e := s.order.Back()
	for x := e; x != nil; x = x.Prev() {
		if !x.Value.(*suspect).part.quarantined {
			e = x
			break
		}
	}
	k := s.order.Remove(e).(*suspect)
	s.quarantineIsOld = s.quarantineIsOld || k.part.quarantined
	delete(s.records, k.fingerprint)
	delete(s.pending, k.fingerprint)
}

// restoreOrder moves the record at the front behind those that changed after it.
// Otherwise old records of a peer would keep newer ones out of the next Export.
func (s *Suspects) restoreOrder(k *suspect) {
	e := s.records[k.fingerprint]
	for n := e.Next(); n != nil && n.Value.(*suspect).changedAt.After(k.changedAt); n = e.Next() {
		s.order.MoveAfter(e, n)
	}
}

// expired reports whether the record is older than suspicionLifetime. A part that was
// quarantined does not expire: its quarantine ends with a trial.
func (k *suspect) expired() bool {
	return !k.part.quarantined && time.Since(k.changedAt) >= suspicionLifetime
}

// addCrash adds the crash of a server and reports whether it was not known. Of two
// times of one crash the earlier one is more precise, since reports of other daemons
// arrive late.
func (k *suspect) addCrash(c crash) bool {
	if i := slices.IndexFunc(k.crashes, func(x crash) bool { return x.server == c.server }); i >= 0 {
		lead := min(c.at.Sub(c.sentAt), k.crashes[i].at.Sub(k.crashes[i].sentAt))
		if c.at.Before(k.crashes[i].at) {
			k.crashes[i].at = c.at
		}
		k.crashes[i].sentAt = k.crashes[i].at.Add(-lead)
		return false
	}
	if !k.isPart && len(k.crashes) >= maxServersPerSuspect {
		return false
	}
	k.crashes = append(slices.Clone(k.crashes), c)
	slices.SortFunc(k.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(k.crashes) > maxCrashesPerPart {
		k.crashes = k.crashes[1:]
	}
	return true
}

// servers returns the crashed servers, sorted.
func (k *suspect) servers() []string { return slices.Sorted(slices.Values(serversOf(k.crashes))) }

// serversOf returns the servers of crashes.
func serversOf(l []crash) []string {
	servers := make([]string, 0, len(l))
	for _, c := range l {
		servers = append(servers, c.server)
	}
	return servers
}
