package leaser

import "time"

// limit is a span of time that began at an instant of this process's clock.
type limit struct {
	from time.Time
	// day is the same instant by the clock of the day.
	day    time.Time
	length time.Duration
}

func limitFrom(from time.Time, length time.Duration) limit {
	return limit{from: from, day: from.Round(0), length: length}
}

// left gives what is left of the span. The monotonic clock can't be set, but on some systems it stands still while
// the whole VM is frozen, and a woken holder would then think its lease fresh. The clock of the day is set right
// soon after, so whichever says that more time has passed is believed.
func (l limit) left(now time.Time) time.Duration {
	passed := max(now.Sub(l.from), now.Round(0).Sub(l.day))
	return l.length - passed
}
