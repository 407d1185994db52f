package meter

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range and precision of a histogram. It covers values from 1 to maxValue, which is ten minutes in microseconds,
// to significantDigits decimal digits, that is within a hundredth. It takes about 24 KB for any number of values.
const (
	maxValue          = 600_000_000
	significantDigits = 2
)

// histogram implements metrics.Histogram with an HDR histogram. The sampling reservoirs of go-metrics lose the
// tail that the 0.99 quantile depends on, and use the global random source.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	sum  int64
}

var _ metrics.Histogram = (*histogram)(nil)

func newHistogram() *histogram {
	return &histogram{hist: hdrhistogram.New(1, maxValue, significantDigits)}
}

func (h *histogram) Update(value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value = min(max(value, 0), maxValue)
	_ = h.hist.RecordValue(value) // fails only above maxValue
	h.sum += value
}

func (h *histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hist.Reset()
	h.sum = 0
}

func (h *histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hist.TotalCount()
}

func (h *histogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hist.Max()
}

func (h *histogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist.TotalCount() == 0 {
		return 0
	}
	return h.hist.Min()
}

func (h *histogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist.TotalCount() == 0 {
		return 0
	}
	return float64(h.sum) / float64(h.hist.TotalCount())
}

func (h *histogram) Percentile(p float64) float64 {
	return h.Percentiles([]float64{p})[0]
}

// Percentiles returns the values at the given fractions, which range from 0 to 1 as in go-metrics.
func (h *histogram) Percentiles(fractions []float64) []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := make([]float64, len(fractions))
	for i, fraction := range fractions {
		values[i] = float64(h.hist.ValueAtPercentile(fraction * 100))
	}
	return values
}

func (h *histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &histogram{hist: hdrhistogram.Import(h.hist.Export()), sum: h.sum}
}

func (h *histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }

func (h *histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Sample returns an empty sample, since individual values are not stored.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }

func (h *histogram) Variance() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist.TotalCount() == 0 {
		return 0
	}
	deviation := h.hist.StdDev()
	return deviation * deviation
}
