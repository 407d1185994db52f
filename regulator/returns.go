package regulator

import "time"

const (
	// minReturnSpacing is the minimum time between two callers that are told to retry the same service: some ten calls
	// of the shortest kind.
	minReturnSpacing = 20 * time.Millisecond
	// maxRetryAfter is the longest time that a caller is told to wait. Most callers give up beyond it.
	maxRetryAfter = 5 * time.Second
)

// ReturnSchedule assigns each refused caller of a service its own time to retry, so that callers do not return all at
// once. Urgent callers do not queue behind others.
type ReturnSchedule struct {
	// lastUrgent and lastAny are the latest times assigned to an urgent caller and to any caller.
	lastUrgent time.Time
	lastAny    time.Time
}

// RetryAfter returns how long a caller is to wait before it retries. free is the time at which the service accepts
// calls again, and perSecond the rate that it then accepts from callers that return to this entry; 0 means its usual
// rate.
func (r *ReturnSchedule) RetryAfter(free time.Time, perSecond float64, urgent bool, now time.Time) time.Duration {
	spacing := minReturnSpacing
	if perSecond > 0 {
		spacing = max(spacing, time.Duration(float64(time.Second)/perSecond))
	}
	last := r.lastAny
	if urgent {
		last = r.lastUrgent
	}
	at := last.Add(spacing)
	if at.Before(free) {
		at = free
	}
	if at.Before(now) {
		at = now
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		// Do not assign times that are later than callers are willing to wait.
		return maxRetryAfter
	}
	if urgent {
		r.lastUrgent = at
	}
	if at.After(r.lastAny) {
		r.lastAny = at
	}
	return at.Sub(now)
}
