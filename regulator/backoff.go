package regulator

import "time"

// BackoffBounds are the first and the longest pause of a Backoff.
type BackoffBounds struct {
	Initial time.Duration
	Max     time.Duration
}

// Backoff holds calls back from an endpoint that refuses them without asking for a rest. Its zero value allows calls.
type Backoff struct {
	until time.Time
	// lastRefusal is the time of the last refused call, consecutive the number of refusals since the endpoint last
	// served a call, and total the number of all refusals.
	lastRefusal time.Time
	consecutive int
	total       int
}

// maxDoublings keeps the shift in bounds. The longest pause is reached before it.
const maxDoublings = 16

// RecordRefusal records that the endpoint refused a call. Each consecutive refusal doubles the pause.
func (b *Backoff) RecordRefusal(p BackoffBounds, now time.Time) {
	b.until = now.Add(min(p.Max, p.Initial<<min(b.consecutive, maxDoublings)))
	b.lastRefusal = now
	b.consecutive++
	b.total++
}

// RecordPeerRefusal records that the endpoint refused calls of a peer at the given time, which starts the longest
// pause.
func (b *Backoff) RecordPeerRefusal(p BackoffBounds, at time.Time) {
	if until := at.Add(p.Max); until.After(b.until) {
		b.until = until
	}
}

// RecordSuccess records a call that was not refused.
func (b *Backoff) RecordSuccess() { b.consecutive = 0 }

// Active reports whether the pause is still on.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// ConsecutiveRefusals returns the number of calls that the endpoint has refused since it last served one.
func (b *Backoff) ConsecutiveRefusals() int { return b.consecutive }

// TotalRefusals returns the number of calls that the endpoint has refused.
func (b *Backoff) TotalRefusals() int { return b.total }

// LastRefusal returns the time at which the endpoint last refused a call.
func (b *Backoff) LastRefusal() time.Time { return b.lastRefusal }
