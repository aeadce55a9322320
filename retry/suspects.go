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
	// refuseAt is the number of broken servers from which a request is
	// refused. One server may break by itself, beside an innocent request.
	refuseAt = 2
	// forgiveAfter is how long after the last break a suspicion holds.
	forgiveAfter = 10 * time.Minute
	// maxSuspects bounds the memory; the oldest suspicion is dropped.
	maxSuspects = 4096
	// maxServers bounds the servers kept for one suspicion.
	maxServers = 4
	// maxExport bounds a message to a peer: 32 suspicions take about 2 KB.
	maxExport = 32
	// sameBreak is the difference up to which two times of a break count as one
	// break seen by two daemons. Without it, daemons that echo a suspicion
	// would extend it by the delay of each exchange.
	sameBreak = 5 * time.Second
)

// Fingerprint identifies a request by workspace, service, path and body, so
// that a request which is sent again is recognised.
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

// suspect is what is known of one fingerprint.
type suspect struct {
	print uint64
	// servers are the backend servers that broke; none once it was cleared.
	servers []string
	// at is when the last of them broke, or when the request was cleared.
	at time.Time
	// running is closed when the retry that runs alone has ended; nil if none
	// runs.
	running chan struct{}
}

// Suspects remembers which requests were running on backend servers that broke.
// A request that broke two servers is refused for 10 minutes. A request whose
// run completed is cleared. It implements wigeonladder.SuspicionExchange; its methods may
// be called at the same time.
type Suspects struct {
	mu    sync.Mutex
	known map[uint64]*list.Element
	// order holds the suspicions, the last changed in front.
	order *list.List
	// probing holds the servers on which a suspect runs.
	probing map[string]chan struct{}
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{known: map[uint64]*list.Element{}, order: list.New(), probing: map[string]chan struct{}{}}
}

// RecordCrash records that a server broke while it ran the request. It reports
// whether the server is new to the suspicion.
func (s *Suspects) RecordCrash(print uint64, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.take(print)
	k.at = time.Now()
	return k.add(server)
}

// Clear records that a run of the request completed.
func (s *Suspects) Clear(print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.find(print); k != nil {
		k.servers = nil
		k.at = time.Now()
		s.order.MoveToFront(s.known[print])
	}
}

// IsSuspect reports whether the request broke a server.
func (s *Suspects) IsSuspect(print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(print) != nil
}

// CheckQuarantine returns an error with CodeSuspect if the request broke two servers.
func (s *Suspects) CheckQuarantine(print uint64, place string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused(s.find(print), place)
}

// refused returns the refusal of a suspect, which may be nil.
func (s *Suspects) refused(k *suspect, place string) error {
	if k == nil || len(k.servers) < refuseAt {
		return nil
	}
	left := forgiveAfter - time.Since(k.at)
	return wigeonladder.Errorf(wigeonladder.CodeSuspect, place,
		"the backend servers %q broke while they ran this request", k.servers).
		WithRetryAfter(int(math.Ceil(left.Seconds())))
}

// find returns the suspicion that still holds for a fingerprint, or nil.
func (s *Suspects) find(print uint64) *suspect {
	e, ok := s.known[print]
	if !ok {
		return nil
	}
	k := e.Value.(*suspect)
	if len(k.servers) == 0 || k.expired() {
		return nil
	}
	return k
}

// take returns the record of a fingerprint and moves it to the front. Expired
// knowledge is dropped; a new record displaces the oldest.
func (s *Suspects) take(print uint64) *suspect {
	if e, ok := s.known[print]; ok {
		s.order.MoveToFront(e)
		k := e.Value.(*suspect)
		if k.expired() {
			k.servers, k.at = nil, time.Time{}
		}
		return k
	}
	if len(s.known) >= maxSuspects {
		delete(s.known, s.order.Remove(s.order.Back()).(*suspect).print)
	}
	k := &suspect{print: print}
	s.known[print] = s.order.PushFront(k)
	return k
}

// settle moves the record in front behind those that changed after it. Otherwise
// the old records of a peer would displace fresh ones from the next Export.
func (s *Suspects) settle(k *suspect) {
	e := s.known[k.print]
	for n := e.Next(); n != nil && n.Value.(*suspect).at.After(k.at); n = e.Next() {
		s.order.MoveAfter(e, n)
	}
}

// expired reports whether the record is too old to count.
func (k *suspect) expired() bool { return time.Since(k.at) >= forgiveAfter }

// add adds a server and reports whether it is new.
func (k *suspect) add(server string) bool {
	if len(k.servers) >= maxServers || slices.Contains(k.servers, server) {
		return false
	}
	k.servers = append(slices.Clone(k.servers), server)
	slices.Sort(k.servers)
	return true
}

// Export implements wigeonladder.SuspicionExchange. It returns the records that changed
// last. A record without servers tells that the request was cleared.
func (s *Suspects) Export() []wigeonladder.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []wigeonladder.Suspicion
	for e := s.order.Front(); e != nil && len(l) < maxExport; e = e.Next() {
		k := e.Value.(*suspect)
		if k.expired() {
			continue
		}
		l = append(l, wigeonladder.Suspicion{
			Fingerprint: k.print,
			Servers:     slices.Clone(k.servers),
			AgeMs:       time.Since(k.at).Milliseconds(),
		})
	}
	return l
}

// Import implements wigeonladder.SuspicionExchange. The last event wins: a break that is
// older than a clearing does not bring the suspicion back.
func (s *Suspects) Import(l []wigeonladder.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	oldest := slices.SortedStableFunc(slices.Values(l), func(a, b wigeonladder.Suspicion) int {
		return cmp.Compare(b.AgeMs, a.AgeMs)
	})
	for _, v := range oldest {
		if v.AgeMs < 0 || v.AgeMs >= forgiveAfter.Milliseconds() {
			continue
		}
		s.merge(v, now.Add(-time.Duration(v.AgeMs)*time.Millisecond))
	}
}

// merge takes over one record of a peer. The time is that of the last break or
// of the clearing.
func (s *Suspects) merge(v wigeonladder.Suspicion, at time.Time) {
	e, known := s.known[v.Fingerprint]
	if known {
		k := e.Value.(*suspect)
		cleared := len(k.servers) == 0
		if !k.expired() && at.Before(k.at) && (cleared || len(v.Servers) == 0) {
			return
		}
	}
	k := s.take(v.Fingerprint)
	defer s.settle(k)
	if len(v.Servers) == 0 {
		k.servers, k.at = nil, at
		return
	}
	news := false
	for _, server := range v.Servers {
		news = k.add(server) || news
	}
	if at.After(k.at) && (news || at.Sub(k.at) > sameBreak) {
		k.at = at
	}
}
