package edge

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"
)

// latencyMetric is the runtime's histogram of the times for which goroutines that could
// run waited for the processor.
const latencyMetric = "/sched/latencies:seconds"

// processor tells for how long goroutines of the process wait until they run. The delay
// of timers does not show it: the runtime runs a goroutine whose timer fires before
// those that became ready earlier.
type processor struct {
	mu     sync.Mutex
	sample []metrics.Sample
	counts []uint64
}

// newProcessor returns a processor whose first interval begins now.
func newProcessor() *processor {
	p := &processor{sample: []metrics.Sample{{Name: latencyMetric}}}
	p.waitQuantile(1)
	return p
}

// waitQuantile returns a quantile, from 0 to 1, of the waits since the last call; 0 if
// none is known.
func (p *processor) waitQuantile(q float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	metrics.Read(p.sample)
	if p.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := p.sample[0].Value.Float64Histogram()
	passed := make([]uint64, len(h.Counts))
	total := uint64(0)
	for i, n := range h.Counts {
		passed[i] = n
		if i < len(p.counts) {
			passed[i] -= p.counts[i]
		}
		total += passed[i]
	}
	p.counts = append(p.counts[:0], h.Counts...)
	left := uint64(math.Ceil(q * float64(total)))
	for i, n := range passed {
		if n >= left && total > 0 {
			return seconds(h.Buckets[i+1], h.Buckets[i])
		}
		left -= min(n, left)
	}
	return 0
}

// seconds returns the first of two bounds that is finite as a duration.
func seconds(upper, lower float64) time.Duration {
	if math.IsInf(upper, 0) {
		upper = max(lower, 0)
	}
	return time.Duration(upper * float64(time.Second))
}
