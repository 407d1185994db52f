package ejector

import (
	"math"
	"time"
)

const (
	// medianStep is how far one call moves the pool's median time, in factors of 2.
	medianStep = 0.05
	// levelWeight is the weight of the newest call in an endpoint's own level.
	slowdownWeight = 0.2
	// slowLevel is the time over the median, in factors of 2, from which a call counts as bad: 4 times.
	slowThreshold = 2
	// maxLevel bounds what one very slow call does to an endpoint's level.
	maxSlowdown = 4
)

// median follows the median of calls' times against what their stages usually take, in factors of 2,
// in steps of a fixed size: it needs no memory of the calls and one straggler can't pull it.
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

// RecordDuration takes the time of a call that ended well, against what its stage usually takes, and tells
// whether that was good or bad for an endpoint of this pool.
func (p *Pool) RecordDuration(r *Record, took, expected time.Duration) Outcome {
	if expected <= 0 || took <= 0 {
		return Good
	}
	x := math.Log2(float64(took) / float64(expected))
	p.relativeTime.observe(x)
	over := min(max(x-p.relativeTime.value, -maxSlowdown), maxSlowdown)
	r.setSlowdown(r.slowdown + slowdownWeight*(over-r.slowdown))
	if over > slowThreshold {
		return Bad
	}
	return Good
}

// SilenceTimeout is the time after which a silent call of a stage counts as bad. It is 0 while the pool's
// median is not known.
func (p *Pool) SilenceTimeout(expected time.Duration) time.Duration {
	if !p.relativeTime.known || expected <= 0 {
		return 0
	}
	return time.Duration(float64(expected) * math.Exp2(p.relativeTime.value+slowThreshold))
}

// Slowness is the factor by which the endpoint's calls take longer than its pool's; it is 1 for one
// that is no slower.
func (r *Record) Slowness() float64 { return 1 + r.excess }

// setLevel keeps the factor at hand: it is asked for more often than it changes.
func (r *Record) setSlowdown(level float64) {
	r.slowdown = level
	r.excess = 0
	if level > 0 {
		r.excess = math.Exp2(level) - 1
	}
}
