package regulator

import "time"

const (
	// returnSpacing is the least time between two callers that are sent away for the same service: some ten calls of the
	// shortest kind.
	returnSpacing = 20 * time.Millisecond
	// maxReturn is the longest time that a caller is sent away for: beyond it most have given up.
	maxReturn = 5 * time.Second
)

// ReturnSchedule gives the callers that are refused for a service times to come back, one after the other, so that they do not come
// back together. Callers of an urgent class do not stand behind those of others.
type ReturnSchedule struct {
	// urgent and all are the last times that were given to urgent callers and to any.
	urgent time.Time
	all    time.Time
}

// RetryAfter gives how long a caller is to stay away where the service takes a call again at a time, and then perSecond calls a
// second from those that come back to this entry; 0 says that it takes as many as before.
func (r *ReturnSchedule) RetryAfter(free time.Time, perSecond float64, urgent bool, now time.Time) time.Duration {
	spacing := returnSpacing
	if perSecond > 0 {
		spacing = max(spacing, time.Duration(float64(time.Second)/perSecond))
	}
	last := r.all
	if urgent {
		last = r.urgent
	}
	at := last.Add(spacing)
	if at.Before(free) {
		at = free
	}
	if at.Before(now) {
		at = now
	}
	if latest := now.Add(maxReturn); at.After(latest) {
		// No further place is given out than callers can wait for.
		return maxReturn
	}
	if urgent {
		r.urgent = at
	}
	if at.After(r.all) {
		r.all = at
	}
	return at.Sub(now)
}
