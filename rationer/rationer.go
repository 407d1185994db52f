// Package rationer divides the calls that an endpoint bears among entries: a few of them, found by rendezvous hashing, send
// to it, each at an even part of the rate. No clock is shared and nothing is agreed on. The package is pure: the present time
// is given to it.
package rationer

import (
	"slices"
	"time"

	"geraniumline/hasher"
)

// forgetAfter is how long a call counts: longer than any pause between two.
const bucketTTL = time.Minute

// Quota is what an endpoint bears.
type Quota struct {
	// Senders is how many entries send to it.
	Senders int
	// PerSecond is how many calls a second it bears from all of them together.
	PerSecond float64
	// Burst is how many calls one sender may make at once after a pause.
	Burst int
}

// pause is the time in which one sender may make a call more.
func (n Quota) sendInterval() time.Duration {
	return time.Duration(float64(n.Senders) / n.PerSecond * float64(time.Second))
}

// bucket is what one sender may send, in calls, as of a time.
type bucket struct {
	level float64
	at    time.Time
}

// Rationer knows which entries live, and what this one has sent lately.
type Rationer struct {
	self string
	// live are the entries that live, this one among them, in the order of their names.
	live    []string
	buckets map[string]bucket
	// ranks remembers this entry's rank among the senders of an endpoint.
	ranks map[string]int
}

// New makes a rationer for the entry of the name, which knows of no other one.
func New(self string) *Rationer {
	return &Rationer{self: self, live: []string{self}, buckets: make(map[string]bucket), ranks: make(map[string]int)}
}

// SetEntries takes the names of the entries that live, this one among them.
func (r *Rationer) SetEntries(live []string) {
	if slices.Equal(live, r.live) {
		return
	}
	r.live = live
	r.ranks = make(map[string]int)
}

// EntryCount counts the entries that live.
func (r *Rationer) EntryCount() int { return len(r.live) }

// Allows tells whether this entry may send a call to the endpoint now.
func (r *Rationer) Allows(endpoint string, n Quota, now time.Time) bool {
	at, sends := r.NextSendTime(endpoint, n, now)
	return sends && !at.After(now)
}

// NextSendTime tells from when on this entry may send a call to the endpoint, if it is one of the senders.
func (r *Rationer) NextSendTime(endpoint string, n Quota, now time.Time) (at time.Time, sends bool) {
	return r.SoleNextSendTime(endpoint, n, now), r.rank(endpoint) < n.Senders
}

// SoleNextSendTime tells the same where no other entry sends to the endpoint.
func (r *Rationer) SoleNextSendTime(endpoint string, n Quota, now time.Time) time.Time {
	level := r.level(endpoint, n, now)
	if level >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - level) * float64(n.sendInterval())))
}

func (r *Rationer) level(endpoint string, n Quota, now time.Time) float64 {
	b, known := r.buckets[endpoint]
	if !known {
		return float64(n.Burst)
	}
	return min(float64(n.Burst), b.level+now.Sub(b.at).Seconds()/n.sendInterval().Seconds())
}

// RecordSend notes a call to an endpoint.
func (r *Rationer) RecordSend(endpoint string, n Quota, now time.Time) {
	for id, b := range r.buckets {
		if now.Sub(b.at) > bucketTTL {
			delete(r.buckets, id)
		}
	}
	r.buckets[endpoint] = bucket{level: max(0, r.level(endpoint, n, now)-1), at: now}
}

func (r *Rationer) rank(endpoint string) int {
	rank, known := r.ranks[endpoint]
	if !known {
		rank = hasher.Rank(endpoint, r.live, r.self)
		r.ranks[endpoint] = rank
	}
	return rank
}
