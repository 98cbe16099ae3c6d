package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles summarizes one distribution; all values are in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Mean  float64 `json:"mean"`
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxMicros, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func (h histogram) percentiles() Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99),
		Max: float64(h.Max()) / 1000, Mean: h.Mean() / 1000,
	}
}
