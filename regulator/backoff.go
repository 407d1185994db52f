package regulator

import "time"

// Pauses are the first and the longest pause of a Backoff.
type Pauses struct {
	First   time.Duration
	Longest time.Duration
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

// Refused notes a refusal. Each one in a row doubles the pause.
func (b *Backoff) Refused(p Pauses, now time.Time) {
	b.until = now.Add(min(p.Longest, p.First<<min(b.inRow, maxDoublings)))
	b.at = now
	b.inRow++
	b.total++
}

// Told notes that the endpoint refuses a peer's calls, as of a time.
func (b *Backoff) Told(p Pauses, at time.Time) {
	if until := at.Add(p.Longest); until.After(b.until) {
		b.until = until
	}
}

// Served notes a call that was not refused.
func (b *Backoff) Served() { b.inRow = 0 }

// Holds tells whether the pause lasts.
func (b *Backoff) Holds(now time.Time) bool { return now.Before(b.until) }

// InRow is how many calls the endpoint has refused since it last served one.
func (b *Backoff) InRow() int { return b.inRow }

// Total is how many calls the endpoint has refused.
func (b *Backoff) Total() int { return b.total }

// At is when the endpoint last refused a call.
func (b *Backoff) At() time.Time { return b.at }
