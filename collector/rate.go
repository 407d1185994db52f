package collector

import "time"

// rateWindow is the window for measuring a rate: about ten calls.
const rateWindow = 2 * time.Second

// recentRate measures a rate per second over the previous window and the current one.
type recentRate struct {
	windowStart       time.Time
	current, previous int
}

func (r *recentRate) add(n int, now time.Time) {
	r.roll(now)
	r.current += n
}

func (r *recentRate) roll(now time.Time) {
	switch since := now.Sub(r.windowStart); {
	case since < rateWindow:
		return
	case since < 2*rateWindow:
		r.previous = r.current
		r.windowStart = r.windowStart.Add(rateWindow)
	default:
		r.previous = 0
		r.windowStart = now
	}
	r.current = 0
}

func (r *recentRate) perSecond(now time.Time) float64 {
	r.roll(now)
	span := rateWindow + now.Sub(r.windowStart)
	return float64(r.previous+r.current) / span.Seconds()
}
