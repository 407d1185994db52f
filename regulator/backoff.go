package regulator

import "time"

// Pauses are the first and the longest pause of a Backoff.
type Pauses struct {
	First   time.Duration
	Longest time.Duration
}

// Backoff keeps calls from an endpoint that refuses them and names no time of rest. Its zero value allows calls.
type Backoff struct {
	until    time.Time
	refusals int
}

// maxDoublings keeps the shift in bounds; the longest pause is reached before.
const maxDoublings = 16

// Refused notes a refusal. Each one in a row doubles the pause.
func (b *Backoff) Refused(p Pauses, now time.Time) {
	b.until = now.Add(min(p.Longest, p.First<<min(b.refusals, maxDoublings)))
	b.refusals++
}

// Served notes a call that was not refused.
func (b *Backoff) Served() { b.refusals = 0 }

// Holds tells whether the pause lasts.
func (b *Backoff) Holds(now time.Time) bool { return now.Before(b.until) }
