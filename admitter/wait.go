package admitter

import (
	"math"
	"time"
)

// waitWeight is the weight of a new observation.
const waitWeight = 0.2

// wait is the recent time in a pool's queue.
type wait struct {
	mean float64
	last time.Time
}

func (w *wait) observe(waited time.Duration, now time.Time) {
	w.mean += waitWeight * (float64(waited) - w.mean)
	w.last = now
}

// wait is the expected time in the queue: the cost ahead over the capacity.
func (a *Admitter) wait(ask *StageAsk, _ time.Time) float64 {
	if ask.Ahead <= 0 {
		return 0
	}
	if ask.Capacity <= 0 {
		return math.MaxInt64 / 4
	}
	return ask.Ahead / ask.Capacity * float64(time.Millisecond)
}
