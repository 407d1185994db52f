package limiter

import (
	"math"
	"time"
)

// rateTime is the time constant of the measured rates. It covers two or three heartbeats:
// shorter follows the gaps between arrivals, longer leaves a step of demand unseen.
const rateTime = 500 * time.Millisecond

// rate is an exponentially weighted rate a second.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) at(now time.Time) float64 {
	elapsed := now.Sub(r.last)
	if elapsed <= 0 {
		return r.value
	}
	return r.value * math.Exp(-float64(elapsed)/float64(rateTime))
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.at(now) + amount/rateTime.Seconds()
	if now.After(r.last) {
		r.last = now
	}
}
