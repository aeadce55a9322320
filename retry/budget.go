package retry

import (
	"container/list"
	"sync"
)

const (
	// earnPercent is the part of a retry that a success earns, in hundredths.
	earnPercent = 10
	// firstRetries is the allowance of a workspace that has no successes yet.
	firstRetries = 3
	// maxRetries bounds what a workspace can save up.
	maxRetries = 50
	// maxBuckets bounds the memory. 220 workspaces with 7 services need 1,540.
	maxBuckets = 4096
)

// bucketKey names a bucket.
type bucketKey struct{ service, workspace string }

// bucket holds the unspent retries of one workspace and service.
type bucket struct {
	key bucketKey
	// percent is the number of retries in hundredths.
	percent int
}

// Budget is a token bucket for each workspace and service. A tenth of the
// successful requests may be retried. Its methods may be called at the same
// time.
type Budget struct {
	mu      sync.Mutex
	buckets map[bucketKey]*list.Element
	// used orders the buckets, the last used in front.
	used *list.List
}

// NewBudget returns a budget in which every workspace has the first allowance.
func NewBudget() *Budget {
	return &Budget{buckets: map[bucketKey]*list.Element{}, used: list.New()}
}

// Earn adds the part of a retry that a successful request earns.
func (b *Budget) Earn(service, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, workspace)
	k.percent = min(k.percent+earnPercent, maxRetries*100)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend(service, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, workspace)
	if k.percent < 100 {
		return false
	}
	k.percent -= 100
	return true
}

// bucket returns the bucket of a workspace and service. A new one displaces the
// one that was not used for the longest time.
func (b *Budget) bucket(service, workspace string) *bucket {
	key := bucketKey{service, workspace}
	if e, ok := b.buckets[key]; ok {
		b.used.MoveToFront(e)
		return e.Value.(*bucket)
	}
	if len(b.buckets) >= maxBuckets {
		last := b.used.Back()
		delete(b.buckets, b.used.Remove(last).(*bucket).key)
	}
	k := &bucket{key: key, percent: firstRetries * 100}
	b.buckets[key] = b.used.PushFront(k)
	return k
}
