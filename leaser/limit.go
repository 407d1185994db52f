package leaser

import "time"

// leaseTimer measures a span of time from a start instant of the local clock.
type leaseTimer struct {
	start time.Time
	// startWall is the same instant by the wall clock.
	startWall time.Time
	duration  time.Duration
}

func newLeaseTimer(start time.Time, duration time.Duration) leaseTimer {
	return leaseTimer{start: start, startWall: start.Round(0), duration: duration}
}

// remaining returns what is left of the span; it is negative after the end. The monotonic clock can't be set, but on
// some systems it stops while the whole VM is frozen, and a resumed holder would consider its lease fresh. The wall
// clock is corrected soon afterwards, so the greater elapsed time of the two counts.
func (t leaseTimer) remaining(now time.Time) time.Duration {
	elapsed := max(now.Sub(t.start), now.Round(0).Sub(t.startWall))
	return t.duration - elapsed
}
