package limiter

import (
	"math"
	"time"
)

const (
	// samplesPerSpan is how many requests at the limit a rate is measured over: a step of
	// demand is seen after that many, and the measured rate is off by about a sixth.
	samplesPerSpan = 20
	shortestSpan   = 100 * time.Millisecond
	longestSpan    = time.Second
)

// rate is an exponentially weighted rate a second.
type rate struct {
	value float64
	last  time.Time
	// span is the time constant.
	span time.Duration
}

// rateSpan gives the time constant for an account with this limit.
func rateSpan(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return longestSpan
	}
	span := time.Duration(samplesPerSpan / perSecond * float64(time.Second))
	return min(max(span, shortestSpan), longestSpan)
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
