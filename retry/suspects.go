package retry

import (
	"cmp"
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
	// suspicionLifetime is how long a suspicion holds after the last crash.
	suspicionLifetime = 10 * time.Minute
	// maxSuspects bounds the number of records; the least recently changed one
	// is evicted.
	maxSuspects = 4096
	// maxServersPerSuspect bounds the crashed servers kept in one record.
	maxServersPerSuspect = 4
	// maxExported bounds the records in a message to a peer: 32 take about 2 KB.
	maxExported = 32
	// sameCrashInterval is the difference up to which two crash times count as
	// one crash that two daemons saw. Without it, daemons that send each other
	// the same suspicion would extend it by the delay of each exchange.
	sameCrashInterval = 5 * time.Second
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
	// servers are the backend servers that crashed; none once the request was
	// cleared.
	servers []string
	// changedAt is when the last of them crashed, or when the request was
	// cleared.
	changedAt time.Time
	// running is closed when the run of the suspect ends; nil if none exists.
	running chan struct{}
}

// Suspects records which requests were running on backend servers that crashed.
// Such a request is suspect and runs in isolation. A request that crashed two
// servers is quarantined: it is refused for 10 minutes. A request whose run
// completed is cleared. Suspects implements wigeonladder.SuspicionExchange and is
// safe for concurrent use.
type Suspects struct {
	mu      sync.Mutex
	records map[uint64]*list.Element
	// order holds the records, the most recently changed first.
	order *list.List
	// reservedServers holds the servers on which a suspect runs. The channel is
	// closed when the reservation ends.
	reservedServers map[string]chan struct{}
}

// NewSuspects returns a Suspects without records.
func NewSuspects() *Suspects {
	return &Suspects{records: map[uint64]*list.Element{}, order: list.New(), reservedServers: map[string]chan struct{}{}}
}

// RecordCrash records that a server crashed while it ran the request. It reports
// whether the server was added to the record of the request.
func (s *Suspects) RecordCrash(fingerprint uint64, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.getOrCreate(fingerprint)
	k.changedAt = time.Now()
	return k.addServer(server)
}

// Clear records that a run of the request completed.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.findActive(fingerprint); k != nil {
		k.servers = nil
		k.changedAt = time.Now()
		s.order.MoveToFront(s.records[fingerprint])
	}
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
	if k == nil || len(k.servers) < quarantineCrashes {
		return nil
	}
	left := suspicionLifetime - time.Since(k.changedAt)
	return wigeonladder.Errorf(wigeonladder.CodeSuspect, place,
		"the backend servers %q broke while they ran this request", k.servers).
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
	if len(k.servers) == 0 || k.expired() {
		return nil
	}
	return k
}

// getOrCreate returns the record of a fingerprint and moves it to the front. An
// expired record is emptied. Beyond maxSuspects a new record evicts the least
// recently changed one.
func (s *Suspects) getOrCreate(fingerprint uint64) *suspect {
	if e, ok := s.records[fingerprint]; ok {
		s.order.MoveToFront(e)
		k := e.Value.(*suspect)
		if k.expired() {
			k.servers, k.changedAt = nil, time.Time{}
		}
		return k
	}
	if len(s.records) >= maxSuspects {
		delete(s.records, s.order.Remove(s.order.Back()).(*suspect).fingerprint)
	}
	k := &suspect{fingerprint: fingerprint}
	s.records[fingerprint] = s.order.PushFront(k)
	return k
}

// restoreOrder moves the record at the front behind those that changed after it.
// Otherwise old records of a peer would keep newer ones out of the next Export.
func (s *Suspects) restoreOrder(k *suspect) {
	e := s.records[k.fingerprint]
	for n := e.Next(); n != nil && n.Value.(*suspect).changedAt.After(k.changedAt); n = e.Next() {
		s.order.MoveAfter(e, n)
	}
}

// expired reports whether the record is older than suspicionLifetime.
func (k *suspect) expired() bool { return time.Since(k.changedAt) >= suspicionLifetime }

// addServer adds a server and reports whether it did so.
func (k *suspect) addServer(server string) bool {
	if len(k.servers) >= maxServersPerSuspect || slices.Contains(k.servers, server) {
		return false
	}
	k.servers = append(slices.Clone(k.servers), server)
	slices.Sort(k.servers)
	return true
}

// Export implements wigeonladder.SuspicionExchange. It returns the most recently
// changed records. A record without servers means that the request was cleared.
func (s *Suspects) Export() []wigeonladder.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []wigeonladder.Suspicion
	for e := s.order.Front(); e != nil && len(l) < maxExported; e = e.Next() {
		k := e.Value.(*suspect)
		if k.expired() {
			continue
		}
		l = append(l, wigeonladder.Suspicion{
			Fingerprint: k.fingerprint,
			Servers:     slices.Clone(k.servers),
			AgeMs:       time.Since(k.changedAt).Milliseconds(),
		})
	}
	return l
}

// Import implements wigeonladder.SuspicionExchange. The last event wins: a crash
// that is older than a clearing does not make the request suspect again.
func (s *Suspects) Import(l []wigeonladder.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	oldestFirst := slices.SortedStableFunc(slices.Values(l), func(a, b wigeonladder.Suspicion) int {
		return cmp.Compare(b.AgeMs, a.AgeMs)
	})
	for _, v := range oldestFirst {
		if v.AgeMs < 0 || v.AgeMs >= suspicionLifetime.Milliseconds() {
			continue
		}
		s.merge(v, now.Add(-time.Duration(v.AgeMs)*time.Millisecond))
	}
}

// merge merges one record of a peer. The time is that of the last crash or of the
// clearing.
func (s *Suspects) merge(v wigeonladder.Suspicion, at time.Time) {
	e, known := s.records[v.Fingerprint]
	if known {
		k := e.Value.(*suspect)
		cleared := len(k.servers) == 0
		if !k.expired() && at.Before(k.changedAt) && (cleared || len(v.Servers) == 0) {
			return
		}
	}
	k := s.getOrCreate(v.Fingerprint)
	defer s.restoreOrder(k)
	if len(v.Servers) == 0 {
		k.servers, k.changedAt = nil, at
		return
	}
	added := false
	for _, server := range v.Servers {
		added = k.addServer(server) || added
	}
	if at.After(k.changedAt) && (added || at.Sub(k.changedAt) > sameCrashInterval) {
		k.changedAt = at
	}
}
