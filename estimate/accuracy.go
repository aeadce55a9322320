package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRatioPercent is the largest ratio of observed to expected time that a histogram
	// distinguishes, in percent; ratioDigits is its precision in decimal digits.
	maxRatioPercent = 100_000
	ratioDigits     = 2
)

// Accuracy is a histogram of the ratios of observed to expected times to the first token.
// The zero value is empty. It is not safe for concurrent use.
type Accuracy struct{ ratios *hdrhistogram.Histogram }

// Record adds a first token. A time that was not expected at all is not recorded.
func (a *Accuracy) Record(expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	if a.ratios == nil {
		a.ratios = hdrhistogram.New(1, maxRatioPercent, ratioDigits)
	}
	percent := int64(100 * float64(observed) / float64(expected))
	_ = a.ratios.RecordValue(min(max(percent, 1), maxRatioPercent))
}

// Summary is the number of first tokens and percentiles of the ratios of observed to
// expected times, in percent.
type Summary struct {
	Count int64 `json:"count"`
	P10   int64 `json:"p10"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
}

// Summary returns the summary of what was recorded.
func (a *Accuracy) Summary() Summary {
	if a.ratios == nil {
		return Summary{}
	}
	return Summary{
		Count: a.ratios.TotalCount(), P10: a.ratios.ValueAtQuantile(10), P50: a.ratios.ValueAtQuantile(50),
		P90: a.ratios.ValueAtQuantile(90), P99: a.ratios.ValueAtQuantile(99),
	}
}
