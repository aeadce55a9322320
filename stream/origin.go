package stream

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// Lifetime is the time for which an origin is kept. Callers take a stream up within
	// their time limits, which are far shorter.
	Lifetime = 30 * time.Second
	// maxRecords bounds the origins that are kept; the oldest are dropped first.
	maxRecords = 1 << 16
	// MaxBatch bounds the origins that are passed on at once.
	MaxBatch = 4096
)

// Key names a stream by the workspace of its caller and the id of the call that brought
// its first event. Callers choose the ids, so the key is one that no caller can make
// equal to that of another workspace.
type Key [16]byte

// NewKey returns the key of a stream.
func NewKey(workspace, callID string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + callID))
	return Key(sum[:16])
}

// Origin is the service and the version at which a stream began.
type Origin = wigeonladder.StreamOrigin

// ambiguous is the origin of streams whose version is not certain: two with the same key
// began at different versions, or the server changed its version about that time.
var ambiguous = Origin{}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
}

// Origins holds the origins of streams. It is safe for concurrent use.
type Origins struct {
	mu      sync.Mutex
	records map[Key]*record
	// order contains the keys in the order in which they expire, from first on.
	order []expiry
	first int
	// pending contains the origins of this daemon that were not passed on yet.
	pending []Key
}

// record is the state of one stream.
type record struct {
	origin Origin
	// server is the name of the server at which the stream began, beganAt the time of
	// its first event, if this daemon relayed it.
	server  string
	beganAt time.Time
	own     bool
	until   time.Time
	// isPending is true while the origin is to be passed on.
	isPending bool
}

// expiry is the end of the lifetime of a record.
type expiry struct {
	key   Key
	until time.Time
}

// NewOrigins returns an empty set of origins.
func NewOrigins() *Origins { return &Origins{records: map[Key]*record{}} }

// Begin records that a stream has begun at a server, which must be called before its
// first event is sent to the caller.
func (o *Origins) Begin(k Key, origin Origin, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	r := o.add(k, origin, now)
	r.own, r.server, r.beganAt = true, server, now
	o.enqueue(k, r)
}

// add adds an origin. A second one for the same key that differs makes it ambiguous.
func (o *Origins) add(k Key, origin Origin, now time.Time) *record {
	o.expire(now)
	r := o.records[k]
	if r == nil {
		r = &record{origin: origin, until: now.Add(Lifetime)}
		o.records[k] = r
		o.order = append(o.order, expiry{k, r.until})
		return r
	}
	if r.origin != origin {
		r.origin = ambiguous
	}
	return r
}

// enqueue adds a record to those that are to be passed on.
func (o *Origins) enqueue(k Key, r *record) {
	if !r.isPending {
		r.isPending = true
		o.pending = append(o.pending, k)
	}
}

// expire drops the records whose lifetime is over, and the oldest beyond maxRecords.
func (o *Origins) expire(now time.Time) {
	for o.first < len(o.order) && (!now.Before(o.order[o.first].until) || len(o.records) >= maxRecords) {
		delete(o.records, o.order[o.first].key)
		o.first++
	}
	if o.first > len(o.order)/2 {
		o.order = append(o.order[:0], o.order[o.first:]...)
		o.first = 0
	}
}

// Find returns the origin of a stream, if it is known. An origin without a version is
// ambiguous.
func (o *Origins) Find(k Key) (origin Origin, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[k]
	if r == nil || !time.Now().Before(r.until) {
		return Origin{}, false
	}
	return r.origin, true
}

// ServerChanged records that a server has another version, or has started anew, under its
// name. Streams that began there in the last time may have begun at either version.
func (o *Origins) ServerChanged(server string, within time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	after := time.Now().Add(-within)
	for k, r := range o.records {
		if r.own && r.server == server && r.beganAt.After(after) && r.origin != ambiguous {
			r.origin = ambiguous
			o.enqueue(k, r)
		}
	}
}

// Export returns the origins of this daemon that were not passed on, of the services for
// which isNeeded is true; the others stay until it is.
func (o *Origins) Export(isNeeded func(service string) bool) []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(time.Now())
	var l []Record
	needed := map[string]bool{}
	kept := o.pending[:0]
	for _, k := range o.pending {
		r := o.records[k]
		if r == nil {
			continue
		}
		is, known := needed[r.origin.Service]
		if !known {
			is = r.origin == ambiguous || isNeeded(r.origin.Service)
			needed[r.origin.Service] = is
		}
		if !is || len(l) >= MaxBatch {
			kept = append(kept, k)
			continue
		}
		r.isPending = false
		l = append(l, Record{k, r.origin})
	}
	o.pending = kept
	return l
}

// Import adds origins of another daemon.
func (o *Origins) Import(l []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, x := range l[:min(len(l), MaxBatch)] {
		o.add(x.Key, x.Origin, now)
	}
}

// Len returns the number of origins that are kept.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.records)
}
