package scheduler

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant with which a pool's measured work is forgotten.
	drainTime = 5 * time.Second
	// leastBusy is the time with items waiting, in seconds, that a measurement takes.
	leastBusy = 1.0
)

// drain measures how much work a pool takes while items wait for it. It is what the pool can
// do for this entry, whatever the endpoints' speed and other entries' use of them.
type drain struct {
	work float64
	// busy is the time in seconds in which items waited.
	busy    float64
	at      time.Time
	waiting bool
}

// take notes that work was taken out of the queue; waiting tells that more is left.
func (d *drain) take(cost float64, waiting bool, now time.Time) {
	elapsed := now.Sub(d.at)
	if d.waiting && elapsed >= 0 {
		kept := decay(elapsed)
		d.work = d.work*kept + cost
		d.busy = d.busy*kept + elapsed.Seconds()
	}
	d.at = now
	d.waiting = waiting
}

// perMilli is the measured work a millisecond, or 0 when too little was measured lately.
func (d *drain) perMilli(now time.Time) float64 {
	if d.busy*decay(now.Sub(d.at)) < leastBusy {
		return 0
	}
	return max(0, d.work/d.busy/1000)
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, float64(elapsed)) / float64(drainTime))
}

// DrainRate is the work in endpoint milliseconds that the pool was found to take in a
// millisecond while items waited for it; 0 when that was not so lately.
func (s *Scheduler) DrainRate(poolName string, now time.Time) float64 {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.drain.perMilli(now)
}
