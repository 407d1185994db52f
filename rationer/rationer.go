// Package rationer divides the calls that an endpoint bears among entries: a few of them, found by rendezvous hashing, send
// to it, each with a pause between two calls. No clock is shared and nothing is agreed on. The package is pure: the present
// time is given to it.
package rationer

import (
	"slices"
	"time"

	"geraniumline/hasher"
)

// forgetAfter is how long a call counts: longer than any pause between two.
const forgetAfter = time.Minute

// Ration is what an endpoint bears.
type Ration struct {
	// Senders is how many entries send to it.
	Senders int
	// PerSecond is how many calls a second it bears from all of them together.
	PerSecond float64
}

// pause is the least time between two calls of one sender.
func (n Ration) pause() time.Duration {
	return time.Duration(float64(n.Senders) / n.PerSecond * float64(time.Second))
}

// Rationer knows which entries live, and what this one has sent lately.
type Rationer struct {
	self string
	// live are the entries that live, this one among them, in the order of their names.
	live []string
	// sent is when the last call went to each endpoint.
	sent map[string]time.Time
	// ranks remembers this entry's rank among the senders of an endpoint.
	ranks map[string]int
}

// New makes a rationer for the entry of the name, which knows of no other one.
func New(self string) *Rationer {
	return &Rationer{self: self, live: []string{self}, sent: make(map[string]time.Time), ranks: make(map[string]int)}
}

// SetEntries takes the names of the entries that live, this one among them.
func (r *Rationer) SetEntries(live []string) {
	if slices.Equal(live, r.live) {
		return
	}
	r.live = live
	r.ranks = make(map[string]int)
}

// Entries counts the entries that live.
func (r *Rationer) Entries() int { return len(r.live) }

// Allows tells whether this entry may send a call to the endpoint now.
func (r *Rationer) Allows(endpoint string, n Ration, now time.Time) bool {
	at, sends := r.FreeAt(endpoint, n)
	return sends && !at.After(now)
}

// FreeAt tells from when on this entry may send a call to the endpoint, if it is one of the senders.
func (r *Rationer) FreeAt(endpoint string, n Ration) (at time.Time, sends bool) {
	return r.sent[endpoint].Add(n.pause()), r.rank(endpoint) < n.Senders
}

// SoleFreeAt tells the same where no other entry sends to the endpoint.
func (r *Rationer) SoleFreeAt(endpoint string, perSecond float64) time.Time {
	return r.sent[endpoint].Add(Ration{Senders: 1, PerSecond: perSecond}.pause())
}

// Sent notes a call to an endpoint.
func (r *Rationer) Sent(endpoint string, now time.Time) {
	for id, at := range r.sent {
		if now.Sub(at) > forgetAfter {
			delete(r.sent, id)
		}
	}
	r.sent[endpoint] = now
}

func (r *Rationer) rank(endpoint string) int {
	rank, known := r.ranks[endpoint]
	if !known {
		rank = hasher.Rank(endpoint, r.live, r.self)
		r.ranks[endpoint] = rank
	}
	return rank
}
