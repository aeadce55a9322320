package retry

import (
	"container/list"
	"sync"
)

const (
	// earnPercent is the part of a retry, in hundredths, that a successful
	// request earns.
	earnPercent = 10
	// initialRetries is the number of retries in a new bucket.
	initialRetries = 3
	// maxSavedRetries is the capacity of a bucket in retries.
	maxSavedRetries = 50
	// maxBuckets bounds the memory. 220 workspaces with 7 services need 1,540
	// buckets.
	maxBuckets = 4096
)

// bucketKey identifies a bucket.
type bucketKey struct{ service, workspace string }

// bucket holds the unspent retries of one workspace and service.
type bucket struct {
	key bucketKey
	// retryPercent is the number of unspent retries in hundredths.
	retryPercent int
}

// Budget limits retries with a token bucket for each workspace and service. It
// allows one retry for every ten successful requests. It is safe for concurrent
// use.
type Budget struct {
	mu      sync.Mutex
	buckets map[bucketKey]*list.Element
	// recentlyUsed orders the buckets, the most recently used first.
	recentlyUsed *list.List
}

// NewBudget returns a budget in which every bucket starts with initialRetries.
func NewBudget() *Budget {
	return &Budget{buckets: map[bucketKey]*list.Element{}, recentlyUsed: list.New()}
}

// Earn credits the bucket for a successful request.
func (b *Budget) Earn(service, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, workspace)
	k.retryPercent = min(k.retryPercent+earnPercent, maxSavedRetries*100)
}

// Spend takes one retry from the bucket. It reports false if none was left.
func (b *Budget) Spend(service, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, workspace)
	if k.retryPercent < 100 {
		return false
	}
	k.retryPercent -= 100
	return true
}

// bucket returns the bucket of a workspace and service and creates it if needed.
// Beyond maxBuckets a new bucket evicts the least recently used one.
func (b *Budget) bucket(service, workspace string) *bucket {
	key := bucketKey{service, workspace}
	if e, ok := b.buckets[key]; ok {
		b.recentlyUsed.MoveToFront(e)
		return e.Value.(*bucket)
	}
	if len(b.buckets) >= maxBuckets {
		last := b.recentlyUsed.Back()
		delete(b.buckets, b.recentlyUsed.Remove(last).(*bucket).key)
	}
	k := &bucket{key: key, retryPercent: initialRetries * 100}
	b.buckets[key] = b.recentlyUsed.PushFront(k)
	return k
}
