package claimer

import (
	"slices"
	"time"
)

// recordOverhead is more than an encoded record needs beside its strings.
const recordOverhead = 96

// maxDoublings keeps the wait after failures from overflowing.
const maxDoublings = 16

// latencyWeight is how much one append counts in the smoothed latency: one part in eight.
const latencyWeight = 8

func size(record ClaimRecord) int {
	switch r := record.(type) {
	case Claim:
		return recordOverhead + len(r.Key.Account) + len(r.Key.Key)
	case Release:
		return recordOverhead + len(r.Key.Account) + len(r.Key.Key)
	case Outcome:
		return recordOverhead + len(r.Key.Account) + len(r.Key.Key) + len(r.Answer) + len(r.Message)
	case Closed:
		return recordOverhead + len(r.Entry)
	}
	return recordOverhead
}

// take removes the records of the next append from the line; at least one, if there is one.
func (b *Batcher) take() []ClaimRecord {
	n := 0
	for bytes := 0; n < len(b.waiting) && n < b.cfg.MaxRecords; n++ {
		bytes += size(b.waiting[n])
		if n > 0 && bytes > b.cfg.MaxBytes {
			break
		}
	}
	records := slices.Clone(b.waiting[:n])
	b.waiting = slices.Delete(b.waiting, 0, n)
	return records
}

// requeue puts the records of uncertain batches in line again when their time has come.
func (b *Batcher) requeue(now time.Time) {
	var ids []uint64
	for id, f := range b.flights {
		if f.uncertain && !now.Before(f.againAt) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.waiting = append(b.waiting, b.flights[id].records...)
		delete(b.flights, id)
	}
}

func withoutClaims(records []ClaimRecord) []ClaimRecord {
	return slices.DeleteFunc(records, func(r ClaimRecord) bool {
		_, ok := r.(Claim)
		return ok
	})
}

func (b *Batcher) fail(now time.Time, wish time.Duration) {
	wait := b.cfg.RetryAfter << min(b.failures, maxDoublings)
	wait = max(min(wait, b.cfg.MaxRetryAfter), wish)
	b.failures++
	b.retryAt = now.Add(wait)
}

func (b *Batcher) observe(latency time.Duration) {
	if b.latency == 0 {
		b.latency = latency
		return
	}
	b.latency += (latency - b.latency) / latencyWeight
}

// Available tells whether a claim that is added now may be expected to land, and if not, when to come back.
// With the log down or slow, a request that needs a claim is refused at once rather than held.
func (b *Batcher) Available(now time.Time) (time.Duration, bool) {
	if b.failures > 0 {
		return max(b.retryAt.Sub(now), b.cfg.RetryAfter), false
	}
	for _, f := range b.flights {
		if !f.uncertain && now.Sub(f.since) >= b.cfg.AppendTimeout {
			return b.cfg.RetryAfter, false
		}
	}
	return 0, true
}

// ExpectedDelay is the time that a claim added now may be expected to take until its append's reply.
func (b *Batcher) ExpectedDelay(now time.Time) time.Duration {
	return max(b.sentAt.Add(b.cfg.Window).Sub(now), 0) + b.latency
}

// Queued gives the number of records in line.
func (b *Batcher) Queued() int { return len(b.waiting) }
