package edge

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// maxTimeMicros is the longest time that a histogram distinguishes;
	// significantDigits is its precision in decimal digits.
	maxTimeMicros     = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
)

// percentiles are the percentiles of each histogram that are published.
var percentiles = []float64{50, 90, 99, 100}

// Meter counts the calls of each service by result code and keeps histograms of
// their times. It implements forward.Meter.
type Meter struct {
	mu       sync.Mutex
	services map[string]*serviceStats
}

// serviceStats are the counts by result code and the histograms of one service.
// The histograms hold the times from the arrival of a call to the first byte
// and to the end of its answer, in microseconds.
type serviceStats struct {
	codes            map[string]int64
	firstByte, whole *hdrhistogram.Histogram
}

// NewMeter returns a Meter without calls.
func NewMeter() *Meter { return &Meter{services: map[string]*serviceStats{}} }

// ObserveCall implements forward.Meter.
func (m *Meter) ObserveCall(service string, code wigeonladder.Code, first, whole time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.services[service]
	if f == nil {
		f = &serviceStats{
			codes:     map[string]int64{},
			firstByte: hdrhistogram.New(1, maxTimeMicros, significantDigits),
			whole:     hdrhistogram.New(1, maxTimeMicros, significantDigits),
		}
		m.services[service] = f
	}
	f.codes[code.String()]++
	if first > 0 {
		record(f.firstByte, first)
	}
	record(f.whole, whole)
}

// record adds a time to a histogram. A time beyond the range counts as the
// longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxTimeMicros))
}

// serviceMetrics is what is published of a service. Times are in microseconds,
// by percentile.
type serviceMetrics struct {
	Codes           map[string]int64 `json:"codes"`
	FirstByteMicros map[string]int64 `json:"firstByteMicros"`
	WholeMicros     map[string]int64 `json:"wholeMicros"`
}

// String implements expvar.Var.
func (m *Meter) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]serviceMetrics{}
	for name, f := range m.services {
		out[name] = serviceMetrics{f.codes, histogramSummary(f.firstByte), histogramSummary(f.whole)}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// histogramSummary returns the percentiles and the count of a histogram.
func histogramSummary(h *hdrhistogram.Histogram) map[string]int64 {
	names := map[float64]string{50: "p50", 90: "p90", 99: "p99", 100: "max"}
	m := map[string]int64{"count": h.TotalCount()}
	for _, q := range percentiles {
		m[names[q]] = h.ValueAtQuantile(q)
	}
	return m
}
