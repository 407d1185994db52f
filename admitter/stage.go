package admitter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the time unit of the histogram.
	histogramUnit = 100 * time.Microsecond
	// maxServiceTime is the longest service time that the histogram distinguishes.
	maxServiceTime = 10 * time.Minute
	// significantFigures is the number of significant figures of the histogram: one, at about 2 KB
	// a histogram.
	significantFigures = 1
	// windowCount is the number of histograms that make up the recent past.
	windowCount = 3
	// costWeight is the minimum weight of a new observation in the mean cost. With a greater
	// weight, every expected wait would fluctuate with the last few costs.
	costWeight = 0.01
)

// The quantiles of a stage's service time that decisions are based on.
const (
	lowQuantile  = 10
	highQuantile = 99
)

// stage holds the observed service times and costs of one stage.
type stage struct {
	histogram  *hdrhistogram.WindowedHistogram
	rotatedAt  time.Time
	computedAt time.Time
	newSamples int

	low, mean, high time.Duration
	cost            float64
	count           int
}

func newStage(now time.Time) *stage {
	return &stage{
		histogram: hdrhistogram.NewWindowed(windowCount, 1, int64(maxServiceTime/histogramUnit), significantFigures),
		rotatedAt: now,
	}
}

func (s *stage) observe(service time.Duration, cost float64, window time.Duration, now time.Time) {
	if now.Sub(s.rotatedAt) >= window {
		s.histogram.Rotate()
		s.rotatedAt = now
	}
	value := min(max(int64(service/histogramUnit), 1), int64(maxServiceTime/histogramUnit))
	_ = s.histogram.Current.RecordValue(value) // cannot fail: the value is within the range
	s.updateCost(cost)
	s.count++
	s.newSamples++
	if s.count <= maxLagSamples || s.newSamples >= maxLagSamples || now.Sub(s.computedAt) >= maxLagTime {
		s.updateQuantiles(now)
	}
}

const (
	// maxLagSamples is the maximum number of observations that the quantiles may lag behind.
	maxLagSamples = 32
	// maxLagTime is the maximum time that the quantiles may lag behind.
	maxLagTime = 500 * time.Millisecond
)

func (s *stage) updateCost(cost float64) {
	weight := max(costWeight, 1/float64(s.count+1))
	s.cost += weight * (cost - s.cost)
}

func (s *stage) updateQuantiles(now time.Time) {
	merged := s.histogram.Merge()
	s.newSamples = 0
	s.computedAt = now
	s.low = time.Duration(merged.ValueAtQuantile(lowQuantile)) * histogramUnit
	s.high = time.Duration(merged.ValueAtQuantile(highQuantile)) * histogramUnit
	s.mean = time.Duration(merged.Mean() * float64(histogramUnit))
}
