package admitter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// unit is the histogram's unit of time.
	unit = 100 * time.Microsecond
	// longest is the longest service time that is told apart.
	longest = 10 * time.Minute
	// figures is the significant figures kept: one, about 2 KB a histogram.
	figures = 1
	// windows is how many histograms make up the remembered past.
	windows = 3
	// costWeight is the least weight of a new observation in the mean cost. A greater one
	// makes every expected wait swing with the last few costs.
	costWeight = 0.01
)

// The quantiles of a stage's service time that decisions rest on.
const (
	lowQuantile  = 10
	highQuantile = 99
)

// stage is what is known of one stage's service.
type stage struct {
	past     *hdrhistogram.WindowedHistogram
	rotated  time.Time
	computed time.Time
	fresh    int

	low, mean, high time.Duration
	cost            float64
	count           int
}

func newStage(now time.Time) *stage {
	return &stage{
		past:    hdrhistogram.NewWindowed(windows, 1, int64(longest/unit), figures),
		rotated: now,
	}
}

func (s *stage) observe(service time.Duration, cost float64, window time.Duration, now time.Time) {
	if now.Sub(s.rotated) >= window {
		s.past.Rotate()
		s.rotated = now
	}
	value := min(max(int64(service/unit), 1), int64(longest/unit))
	_ = s.past.Current.RecordValue(value) // within the range, so it can't fail
	s.learnCost(cost)
	s.count++
	s.fresh++
	if s.count <= computeEach || s.fresh >= computeEach || now.Sub(s.computed) >= computeAge {
		s.compute(now)
	}
}

const (
	// computeEach is how many observations the quantiles may lag behind.
	computeEach = 32
	// computeAge is how long the quantiles may lag behind.
	computeAge = 500 * time.Millisecond
)

func (s *stage) learnCost(cost float64) {
	weight := max(costWeight, 1/float64(s.count+1))
	s.cost += weight * (cost - s.cost)
}

func (s *stage) compute(now time.Time) {
	merged := s.past.Merge()
	s.fresh = 0
	s.computed = now
	s.low = time.Duration(merged.ValueAtQuantile(lowQuantile)) * unit
	s.high = time.Duration(merged.ValueAtQuantile(highQuantile)) * unit
	s.mean = time.Duration(merged.Mean() * float64(unit))
}
