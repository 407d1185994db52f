package claimer

import (
	"strings"
	"time"
)

// BatcherConfig configures how records are grouped into appends.
type BatcherConfig struct {
	Entry       string
	Incarnation uint64
	// Window is the minimum time between two appends of this entry. It determines the entry's share of the
	// log's appends per second and the longest wait of a claim on an idle log.
	Window time.Duration
	// MaxRecords and MaxBytes limit one append.
	MaxRecords int
	MaxBytes   int
	// MaxInFlight limits the number of unconfirmed appends.
	MaxInFlight int
	// AppendTimeout is the age at which an unconfirmed append marks the log as failing.
	AppendTimeout time.Duration
	// RetryAfter is the wait after a failed append; it doubles with each failure up to MaxRetryAfter.
	RetryAfter    time.Duration
	MaxRetryAfter time.Duration
}

const (
	defaultWindow        = 40 * time.Millisecond
	defaultMaxRecords    = 2000
	defaultMaxBytes      = 256 << 10
	defaultMaxInFlight   = 4
	defaultAppendTimeout = time.Second
	defaultRetryAfter    = 250 * time.Millisecond
	defaultMaxRetryAfter = 4 * time.Second
)

func (c BatcherConfig) withDefaults() BatcherConfig {
	setDefaultDuration(&c.Window, defaultWindow)
	setDefaultDuration(&c.AppendTimeout, defaultAppendTimeout)
	setDefaultDuration(&c.RetryAfter, defaultRetryAfter)
	setDefaultDuration(&c.MaxRetryAfter, defaultMaxRetryAfter)
	setDefaultInt(&c.MaxRecords, defaultMaxRecords)
	setDefaultInt(&c.MaxBytes, defaultMaxBytes)
	setDefaultInt(&c.MaxInFlight, defaultMaxInFlight)
	return c
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setDefaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// AppendResult is the result of an append: AppendDone, AppendRefused or AppendUncertain.
type AppendResult interface {
	appendResult()
}

// AppendDone means that the log confirmed the append.
type AppendDone struct{}

// AppendRefused means that the append certainly did not take place.
type AppendRefused struct {
	// RetryAfter is the wait that the log requested, 0 for none.
	RetryAfter time.Duration
}

// AppendUncertain means that the append may have taken place or may still do so.
type AppendUncertain struct{}

func (AppendDone) appendResult()      {}
func (AppendRefused) appendResult()   {}
func (AppendUncertain) appendResult() {}

// Batcher groups the records of one incarnation into appends.
//
// A claim is appended at most once. If the result of its append is uncertain, the log decides: either the claim
// is read back, or its owner gives it up and never dispatches it. Outcomes, releases and closings are appended
// again until their batch is read back, because without them keys would stay in an unknown state for good.
type Batcher struct {
	cfg    BatcherConfig
	queue  []ClaimRecord
	sent   map[uint64]*sentBatch
	lastID uint64
	// lastSentAt is the time of the last append.
	lastSentAt time.Time
	// failures counts consecutive failed appends. While it is not zero, the log is probed with one append at a
	// time.
	failures int
	retryAt  time.Time
	// latency is the smoothed append latency.
	latency time.Duration
	// lastUncertain is the most recent batch with an uncertain append.
	lastUncertain uncertainBatch
}

// uncertainBatch identifies a batch whose append got no reply.
type uncertainBatch struct {
	batchID uint64
	since   time.Time
}

// sentBatch is a batch whose append has started and is not settled.
type sentBatch struct {
	records   []ClaimRecord
	since     time.Time
	uncertain bool
	// committed is set if the batch was read back before the result of its append was known.
	committed bool
	// retryAt is when an uncertain batch's records, except its claims, are appended again.
	retryAt time.Time
}

// NewBatcher returns a batcher with an empty queue.
func NewBatcher(cfg BatcherConfig) *Batcher {
	return &Batcher{cfg: cfg.withDefaults(), sent: make(map[uint64]*sentBatch)}
}

// Add queues a record. An outcome is cut to the log's size limits: a record refused for its size would be
// refused on every retry, together with all other records of its batch, claims included.
func (b *Batcher) Add(record ClaimRecord) {
	if r, ok := record.(Outcome); ok {
		record = fitToLimits(r)
	}
	b.queue = append(b.queue, record)
}

// fitToLimits drops an answer that is too long as a whole, because a caller must not mistake a part of it for
// the answer.
func fitToLimits(r Outcome) Outcome {
	if len(r.Answer) > maxAnswerBytes {
		r.Answer = ""
		r.State = StateAnswerNotKept
	}
	r.Code = r.Code[:min(len(r.Code), maxCodeBytes)]
	r.Message = strings.ToValidUTF8(r.Message[:min(len(r.Message), maxMessageBytes)], "")
	return r
}

// Withdraw removes a queued claim. It reports whether the claim certainly was never appended and never will be,
// so that "not run" can be answered without reading the log. If it returns false, the owner must never dispatch
// the claim.
func (b *Batcher) Withdraw(claimID uint64) bool {
	for i, record := range b.queue {
		if c, ok := record.(Claim); ok && c.ClaimID == claimID {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Due returns the batch to append now, if there is one.
func (b *Batcher) Due(now time.Time) (Batch, bool) {
	at, ok := b.Next(now)
	if !ok || now.Before(at) {
		return Batch{}, false
	}
	b.requeue(now)
	records := b.dequeue()
	if len(records) == 0 && b.failures == 0 {
		return Batch{}, false
	}
	b.lastID++
	b.sent[b.lastID] = &sentBatch{records: records, since: now}
	b.lastSentAt = now
	return Batch{Entry: b.cfg.Entry, Incarnation: b.cfg.Incarnation, BatchID: b.lastID, Records: records}, true
}

// Next returns the earliest time at which Due may return a batch, or false if nothing is to be appended in the
// current state.
func (b *Batcher) Next(now time.Time) (time.Time, bool) {
	if b.failures > 0 {
		// An empty batch probes whether the log accepts appends again, with one append per retry.
		return b.retryAt, b.inFlight() == 0
	}
	if b.inFlight() >= b.cfg.MaxInFlight {
		return time.Time{}, false
	}
	windowEnd := b.lastSentAt.Add(b.cfg.Window)
	if len(b.queue) > 0 {
		return windowEnd, true
	}
	retry, ok := b.earliestRetry()
	return latest(windowEnd, retry), ok
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Batcher) earliestRetry() (time.Time, bool) {
	var at time.Time
	found := false
	for _, s := range b.sent {
		if s.uncertain && (!found || s.retryAt.Before(at)) {
			at = s.retryAt
			found = true
		}
	}
	return at, found
}

func (b *Batcher) inFlight() int {
	n := 0
	for _, s := range b.sent {
		if !s.uncertain {
			n++
		}
	}
	return n
}

// Appended records the result of an append.
func (b *Batcher) Appended(batchID uint64, result AppendResult, now time.Time) {
	s, ok := b.sent[batchID]
	if !ok {
		return
	}
	switch r := result.(type) {
	case AppendDone:
		b.failures = 0
		b.observeLatency(now.Sub(s.since))
		delete(b.sent, batchID)
	case AppendRefused:
		b.recordFailure(now, r.RetryAfter)
		delete(b.sent, batchID)
		b.queue = append(s.records, b.queue...)
	case AppendUncertain:
		if s.committed {
			delete(b.sent, batchID)
			return
		}
		b.recordFailure(now, 0)
		b.lastUncertain = uncertainBatch{batchID: batchID, since: s.since}
		s.uncertain = true
		s.records = dropClaims(s.records)
		s.retryAt = b.retryAt
		if len(s.records) == 0 {
			delete(b.sent, batchID)
		}
	}
}

// Committed records that the table has read a batch back, whatever the result of its append.
//
// A batch that was read back within AppendTimeout proves that the log accepts appends and only replies are
// lost. Without this, a lost reply would count as a failing log, and requests that could be claimed would be
// refused.
func (b *Batcher) Committed(batchID uint64, now time.Time) {
	if s, ok := b.sent[batchID]; ok {
		s.committed = true
		if s.uncertain {
			delete(b.sent, batchID)
		}
	}
	if batchID == b.lastUncertain.batchID && now.Sub(b.lastUncertain.since) < b.cfg.AppendTimeout {
		b.failures = 0
	}
}
