package admitter

import "time"

// ServiceTime returns the mean and the high quantile of a stage's service time, or the fallback for
// both if none has been observed.
func (a *Admitter) ServiceTime(name string, fallback time.Duration) (mean, high time.Duration) {
	s, ok := a.stages[name]
	if !ok || s.count == 0 {
		return fallback, fallback
	}
	return s.mean, s.high
}
