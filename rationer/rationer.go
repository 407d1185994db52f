// Package rationer divides the calls that an endpoint accepts among the entries. Rendezvous hashing selects a few
// entries, the senders, and each of them gets an equal part of the rate. The entries need no shared clock and no
// coordination. The package has no clock of its own: callers pass in the current time.
package rationer

import (
	"slices"
	"time"

	"geraniumline/hasher"
)

// bucketTTL is how long a bucket is kept after its last call: longer than any interval between two calls.
const bucketTTL = time.Minute

// Quota describes the calls that an endpoint accepts.
type Quota struct {
	// Senders is the number of entries that send to the endpoint.
	Senders int
	// PerSecond is the number of calls a second that the endpoint accepts from all senders together.
	PerSecond float64
	// Burst is the number of calls that one sender may make at once after an idle period.
	Burst int
}

// sendInterval returns the time in which one sender is allowed one more call.
func (q Quota) sendInterval() time.Duration {
	return time.Duration(float64(q.Senders) / q.PerSecond * float64(time.Second))
}

// bucket is the token bucket of one endpoint. level is the number of calls that this entry may send, as of the time at.
type bucket struct {
	level float64
	at    time.Time
}

// Rationer tracks the live entries and the recent calls of this entry.
type Rationer struct {
	self string
	// live holds the names of the live entries in sorted order, including this one.
	live    []string
	buckets map[string]bucket
	// ranks caches this entry's rank among the senders of each endpoint.
	ranks map[string]int
}

// New returns a rationer for the entry with the given name, without other entries.
func New(self string) *Rationer {
	return &Rationer{self: self, live: []string{self}, buckets: make(map[string]bucket), ranks: make(map[string]int)}
}

// SetEntries sets the names of the live entries, including this one.
func (r *Rationer) SetEntries(live []string) {
	if slices.Equal(live, r.live) {
		return
	}
	r.live = live
	r.ranks = make(map[string]int)
}

// EntryCount returns the number of live entries.
func (r *Rationer) EntryCount() int { return len(r.live) }

// Index returns this entry's position among the live entries.
func (r *Rationer) Index() int {
	i, _ := slices.BinarySearch(r.live, r.self)
	return i
}

// Allows reports whether this entry may send a call to the endpoint now.
func (r *Rationer) Allows(endpoint string, q Quota, now time.Time) bool {
	at, sends := r.NextSendTime(endpoint, q, now)
	return sends && !at.After(now)
}

// NextSendTime returns the earliest time at which this entry may send a call to the endpoint, and whether it is one of
// the endpoint's senders.
func (r *Rationer) NextSendTime(endpoint string, q Quota, now time.Time) (at time.Time, sends bool) {
	return r.SoleNextSendTime(endpoint, q, now), r.rank(endpoint) < q.Senders
}

// SoleNextSendTime is like NextSendTime, for an endpoint that no other entry sends to.
func (r *Rationer) SoleNextSendTime(endpoint string, q Quota, now time.Time) time.Time {
	level := r.level(endpoint, q, now)
	if level >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - level) * float64(q.sendInterval())))
}

func (r *Rationer) level(endpoint string, q Quota, now time.Time) float64 {
	b, known := r.buckets[endpoint]
	if !known {
		return float64(q.Burst)
	}
	return min(float64(q.Burst), b.level+now.Sub(b.at).Seconds()/q.sendInterval().Seconds())
}

// RecordSend records a call to an endpoint.
func (r *Rationer) RecordSend(endpoint string, q Quota, now time.Time) {
	for id, b := range r.buckets {
		if now.Sub(b.at) > bucketTTL {
			delete(r.buckets, id)
		}
	}
	r.buckets[endpoint] = bucket{level: max(0, r.level(endpoint, q, now)-1), at: now}
}

func (r *Rationer) rank(endpoint string) int {
	rank, known := r.ranks[endpoint]
	if !known {
		rank = hasher.Rank(endpoint, r.live, r.self)
		r.ranks[endpoint] = rank
	}
	return rank
}
