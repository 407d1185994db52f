package regulator

import "time"

// BackoffBounds are the first and the longest pause of a Backoff.
type BackoffBounds struct {
	Initial time.Duration
	Max     time.Duration
}

// Backoff keeps calls from an endpoint that refuses them and names no time of rest. Its zero value allows calls.
type Backoff struct {
	until time.Time
	// at is when the endpoint last refused a call, inRow how many it has refused since it last served one, total how many ever.
	at    time.Time
	inRow int
	total int
}

// maxDoublings keeps the shift in bounds; the longest pause is reached before.
const maxDoublings = 16

// RecordRefusal notes a refusal. Each one in a row doubles the pause.
func (b *Backoff) RecordRefusal(p BackoffBounds, now time.Time) {
	b.until = now.Add(min(p.Max, p.Initial<<min(b.inRow, maxDoublings)))
	b.at = now
	b.inRow++
	b.total++
}

// RecordPeerRefusal notes that the endpoint refuses a peer's calls, as of a time.
func (b *Backoff) RecordPeerRefusal(p BackoffBounds, at time.Time) {
	if until := at.Add(p.Max); until.After(b.until) {
		b.until = until
	}
}

// RecordSuccess notes a call that was not refused.
func (b *Backoff) RecordSuccess() { b.inRow = 0 }

// Active tells whether the pause lasts.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// ConsecutiveRefusals is how many calls the endpoint has refused since it last served one.
func (b *Backoff) ConsecutiveRefusals() int { return b.inRow }

// TotalRefusals is how many calls the endpoint has refused.
func (b *Backoff) TotalRefusals() int { return b.total }

// LastRefusal is when the endpoint last refused a call.
func (b *Backoff) LastRefusal() time.Time { return b.at }
