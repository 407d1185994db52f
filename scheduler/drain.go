package scheduler

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the time constant with which a pool's measured work decays.
	drainTimeConstant = 5 * time.Second
	// minBusySeconds is the time with items waiting, in seconds, that a measurement requires.
	minBusySeconds = 1.0
)

// drainMeter measures how much work a pool accepts while items wait for it. The result is what the
// pool can do for this entry, whatever the speed of the endpoints and their use by other entries.
type drainMeter struct {
	work float64
	// busySeconds is the time during which items waited, in seconds.
	busySeconds float64
	at          time.Time
	waiting     bool
}

// record adds work that was taken from the queue; waiting is set if items are left.
func (d *drainMeter) record(cost float64, waiting bool, now time.Time) {
	elapsed := now.Sub(d.at)
	if d.waiting && elapsed >= 0 {
		factor := decay(elapsed)
		d.work = d.work*factor + cost
		d.busySeconds = d.busySeconds*factor + elapsed.Seconds()
	}
	d.at = now
	d.waiting = waiting
}

// perMillisecond returns the measured work per millisecond, or 0 without enough recent
// measurements.
func (d *drainMeter) perMillisecond(now time.Time) float64 {
	if d.busySeconds*decay(now.Sub(d.at)) < minBusySeconds {
		return 0
	}
	return max(0, d.work/d.busySeconds/1000)
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, float64(elapsed)) / float64(drainTimeConstant))
}

// DrainRate returns the work that the pool accepted while items waited for it, in endpoint
// milliseconds per millisecond, or 0 if it was not measured recently.
func (s *Scheduler) DrainRate(poolName string, now time.Time) float64 {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.drain.perMillisecond(now)
}
