package limiter

import (
	"math"
	"time"
)

const (
	// samplesPerSpan is the number of requests, at the limit, over which a rate is measured. A step
	// in demand is detected after that many requests, and the measured rate is off by about a
	// sixth.
	samplesPerSpan = 20
	minSpan        = 100 * time.Millisecond
	maxSpan        = time.Second
)

// rate is an exponentially weighted moving rate per second.
type rate struct {
	value float64
	last  time.Time
	// span is the time constant.
	span time.Duration
}

// rateSpan returns the time constant for an account with a limit of perSecond requests per second.
func rateSpan(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxSpan
	}
	span := time.Duration(samplesPerSpan / perSecond * float64(time.Second))
	return min(max(span, minSpan), maxSpan)
}

func (r *rate) at(now time.Time) float64 {
	elapsed := now.Sub(r.last)
	if elapsed <= 0 {
		return r.value
	}
	return r.value * math.Exp(-float64(elapsed)/float64(r.span))
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.at(now) + amount/r.span.Seconds()
	if now.After(r.last) {
		r.last = now
	}
}
