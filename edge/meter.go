package edge

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// meterMax is the longest time that a histogram tells apart, in
	// microseconds; meterDigits is its precision.
	meterMax    = int64(60 * time.Second / time.Microsecond)
	meterDigits = 2
)

// quantiles are what is shown of a histogram.
var quantiles = []float64{50, 90, 99, 100}

// Meter counts the calls of each service by result code and keeps histograms of
// their times. It implements forward.Meter.
type Meter struct {
	mu       sync.Mutex
	services map[string]*figures
}

// figures are those of one service.
type figures struct {
	codes        map[string]int64
	first, whole *hdrhistogram.Histogram
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{services: map[string]*figures{}} }

// ObserveCall implements forward.Meter.
func (m *Meter) ObserveCall(service string, code wigeonladder.Code, first, whole time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.services[service]
	if f == nil {
		f = &figures{
			codes: map[string]int64{},
			first: hdrhistogram.New(1, meterMax, meterDigits),
			whole: hdrhistogram.New(1, meterMax, meterDigits),
		}
		m.services[service] = f
	}
	f.codes[code.String()]++
	if first > 0 {
		record(f.first, first)
	}
	record(f.whole, whole)
}

// record adds a time; one beyond the range counts as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), meterMax))
}

// shown is what is published of a service. Times are in microseconds by
// quantile.
type shown struct {
	Codes map[string]int64 `json:"codes"`
	First map[string]int64 `json:"firstByteMicros"`
	Whole map[string]int64 `json:"wholeMicros"`
}

// String implements expvar.Var.
func (m *Meter) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]shown{}
	for name, f := range m.services {
		out[name] = shown{f.codes, show(f.first), show(f.whole)}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// show returns the quantiles and the count of a histogram.
func show(h *hdrhistogram.Histogram) map[string]int64 {
	names := map[float64]string{50: "p50", 90: "p90", 99: "p99", 100: "max"}
	m := map[string]int64{"count": h.TotalCount()}
	for _, q := range quantiles {
		m[names[q]] = h.ValueAtQuantile(q)
	}
	return m
}
