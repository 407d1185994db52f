package claimer

import (
	"slices"
	"time"
)

// recordOverhead is an upper bound, in bytes, on an encoded record's size apart from its strings.
const recordOverhead = 96

// maxBackoffShift keeps the retry backoff from overflowing.
const maxBackoffShift = 16

// latencySmoothing is the divisor of the exponential moving average: each append counts for one part in eight.
const latencySmoothing = 8

func recordSize(record ClaimRecord) int {
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

// dequeue removes and returns the records of the next append, at least one if any are queued.
func (b *Batcher) dequeue() []ClaimRecord {
	n := 0
	for bytes := 0; n < len(b.queue) && n < b.cfg.MaxRecords; n++ {
		bytes += recordSize(b.queue[n])
		if n > 0 && bytes > b.cfg.MaxBytes {
			break
		}
	}
	records := slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	return records
}

// requeue returns the records of uncertain batches to the queue once their retry time has come.
func (b *Batcher) requeue(now time.Time) {
	var ids []uint64
	for id, s := range b.sent {
		if s.uncertain && !now.Before(s.retryAt) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.queue = append(b.queue, b.sent[id].records...)
		delete(b.sent, id)
	}
}

func dropClaims(records []ClaimRecord) []ClaimRecord {
	return slices.DeleteFunc(records, func(r ClaimRecord) bool {
		_, ok := r.(Claim)
		return ok
	})
}

func (b *Batcher) recordFailure(now time.Time, minWait time.Duration) {
	wait := b.cfg.RetryAfter << min(b.failures, maxBackoffShift)
	wait = max(min(wait, b.cfg.MaxRetryAfter), minWait)
	b.failures++
	b.retryAt = now.Add(wait)
}

func (b *Batcher) observeLatency(latency time.Duration) {
	if b.latency == 0 {
		b.latency = latency
		return
	}
	b.latency += (latency - b.latency) / latencySmoothing
}

// Available reports whether a claim added now can be expected to be appended and, if not, how long to wait
// before a retry. While the log is down or slow, a request that needs a claim is refused at once instead of
// being held.
func (b *Batcher) Available(now time.Time) (time.Duration, bool) {
	if b.failures > 0 {
		return max(b.retryAt.Sub(now), b.cfg.RetryAfter), false
	}
	for _, s := range b.sent {
		if !s.uncertain && now.Sub(s.since) >= b.cfg.AppendTimeout {
			return b.cfg.RetryAfter, false
		}
	}
	return 0, true
}

// ExpectedDelay returns how long a claim added now is expected to take until its append is confirmed.
func (b *Batcher) ExpectedDelay(now time.Time) time.Duration {
	return max(b.lastSentAt.Add(b.cfg.Window).Sub(now), 0) + b.latency
}

// Queued returns the number of records that wait to be appended.
func (b *Batcher) Queued() int { return len(b.queue) }
