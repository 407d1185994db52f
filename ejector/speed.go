package ejector

import (
	"math"
	"time"
)

const (
	// medianStep is how far one call moves the pool's median duration, in factors of 2.
	medianStep = 0.05
	// slowdownWeight is the weight of the newest call in an endpoint's own slowdown.
	slowdownWeight = 0.2
	// slowThreshold is the slowdown from which a call counts as bad, in factors of 2: 4 times the median.
	slowThreshold = 2
	// maxSlowdown limits the effect of one very slow call on an endpoint's slowdown.
	maxSlowdown = 4
)

// median estimates the median of call durations relative to the expected durations of their stages, in factors of 2. It
// moves in steps of a fixed size, so it stores no past calls and a single very slow call cannot distort it.
type median struct {
	known bool
	value float64
}

func (m *median) observe(x float64) {
	if !m.known {
		m.known = true
		m.value = x
		return
	}
	if x > m.value {
		m.value += medianStep
		return
	}
	m.value -= medianStep
}

// RecordDuration records the duration of a successful call together with the expected duration of its stage. It returns
// Bad if the call was slow for an endpoint of this pool, and Good otherwise.
func (p *Pool) RecordDuration(r *Record, took, expected time.Duration) Outcome {
	if expected <= 0 || took <= 0 {
		return Good
	}
	x := math.Log2(float64(took) / float64(expected))
	p.relativeTime.observe(x)
	slowdown := min(max(x-p.relativeTime.value, -maxSlowdown), maxSlowdown)
	r.setSlowdown(r.slowdown + slowdownWeight*(slowdown-r.slowdown))
	if slowdown > slowThreshold {
		return Bad
	}
	return Good
}

// SilenceTimeout returns the time after which a silent call of a stage counts as bad. It is 0 while the pool's median
// is unknown.
func (p *Pool) SilenceTimeout(expected time.Duration) time.Duration {
	if !p.relativeTime.known || expected <= 0 {
		return 0
	}
	return time.Duration(float64(expected) * math.Exp2(p.relativeTime.value+slowThreshold))
}

// Slowness returns the factor by which the endpoint's calls take longer than those of its pool. It is 1 for an endpoint
// that is not slower.
func (r *Record) Slowness() float64 { return 1 + r.excess }

// setSlowdown also precomputes the factor, which is read more often than it changes.
func (r *Record) setSlowdown(slowdown float64) {
	r.slowdown = slowdown
	r.excess = 0
	if slowdown > 0 {
		r.excess = math.Exp2(slowdown) - 1
	}
}
