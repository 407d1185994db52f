package claimer

import (
	"strings"
	"time"
)

// BatcherConfig says how records are grouped into appends.
type BatcherConfig struct {
	Entry       string
	Incarnation uint64
	// Window is the shortest time between two appends of this entry; it sets the entry's part of the log's
	// appends a second, and the longest wait of a claim on an idle log.
	Window time.Duration
	// MaxRecords and MaxBytes bound one append.
	MaxRecords int
	MaxBytes   int
	// MaxInFlight bounds the appends without reply.
	MaxInFlight int
	// AppendTimeout is the age at which an append without reply counts as a failing log.
	AppendTimeout time.Duration
	// RetryAfter is the first wait after a failed append; it doubles up to MaxRetryAfter.
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
	setDuration(&c.Window, defaultWindow)
	setDuration(&c.AppendTimeout, defaultAppendTimeout)
	setDuration(&c.RetryAfter, defaultRetryAfter)
	setDuration(&c.MaxRetryAfter, defaultMaxRetryAfter)
	setInt(&c.MaxRecords, defaultMaxRecords)
	setInt(&c.MaxBytes, defaultMaxBytes)
	setInt(&c.MaxInFlight, defaultMaxInFlight)
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// AppendResult is how an append ended: AppendDone, AppendRefused or AppendUncertain.
type AppendResult interface {
	appendResult()
}

// AppendDone is for an append that the log confirmed.
type AppendDone struct{}

// AppendRefused is for an append that surely did not take place.
type AppendRefused struct {
	// RetryAfter is the log's wish, 0 for none.
	RetryAfter time.Duration
}

// AppendUncertain is for an append that may have taken place or may still do so.
type AppendUncertain struct{}

func (AppendDone) appendResult()      {}
func (AppendRefused) appendResult()   {}
func (AppendUncertain) appendResult() {}

// Batcher groups the records of one incarnation into appends.
//
// A claim is appended at most once. If its append's fate is uncertain, the log itself tells: either the claim is
// read back, or its owner gives it up and never dispatches it. Outcomes, releases and closings are appended
// again until their batch was read back, since without them keys would stay unknown for good.
type Batcher struct {
	cfg     BatcherConfig
	waiting []ClaimRecord
	flights map[uint64]*flight
	lastID  uint64
	// sentAt is the time of the last append.
	sentAt time.Time
	// failures counts failed appends in a row; while there are some, one append at a time probes the log.
	failures int
	retryAt  time.Time
	// latency is the smoothed time of an append.
	latency time.Duration
	// doubted is the last batch whose append's fate was uncertain.
	doubted doubt
}

// doubt is a batch whose append got no reply.
type doubt struct {
	batchID uint64
	since   time.Time
}

// flight is a batch that was handed to an append and is not settled.
type flight struct {
	records   []ClaimRecord
	since     time.Time
	uncertain bool
	// landed tells that the batch was read back before its append's end was known.
	landed bool
	// againAt is when an uncertain batch's records, but for its claims, are appended again.
	againAt time.Time
}

// NewBatcher gives a batcher with nothing to append.
func NewBatcher(cfg BatcherConfig) *Batcher {
	return &Batcher{cfg: cfg.withDefaults(), flights: make(map[uint64]*flight)}
}

// Add puts a record in line. An outcome's texts are cut to what the log takes: one record that is refused for its
// size would be refused again and again, and with it all others of its batch, claims included.
func (b *Batcher) Add(record ClaimRecord) {
	if r, ok := record.(Outcome); ok {
		record = fit(r)
	}
	b.waiting = append(b.waiting, record)
}

// fit leaves out an answer that is too long, as a whole: a caller must not take a part for the answer.
func fit(r Outcome) Outcome {
	if len(r.Answer) > maxAnswerBytes {
		r.Answer = ""
		r.State = StateAnswerNotKept
	}
	r.Code = r.Code[:min(len(r.Code), maxCodeBytes)]
	r.Message = strings.ToValidUTF8(r.Message[:min(len(r.Message), maxMessageBytes)], "")
	return r
}

// Withdraw takes a claim back. It tells whether the claim was surely never appended and never will be, so that
// "not run" is safe without a look at the log. A false leaves it to the owner never to dispatch the claim.
func (b *Batcher) Withdraw(claimID uint64) bool {
	for i, record := range b.waiting {
		if c, ok := record.(Claim); ok && c.ClaimID == claimID {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Due gives the batch to append now, if there is one.
func (b *Batcher) Due(now time.Time) (Batch, bool) {
	at, ok := b.Next(now)
	if !ok || now.Before(at) {
		return Batch{}, false
	}
	b.requeue(now)
	records := b.take()
	if len(records) == 0 && b.failures == 0 {
		return Batch{}, false
	}
	b.lastID++
	b.flights[b.lastID] = &flight{records: records, since: now}
	b.sentAt = now
	return Batch{Entry: b.cfg.Entry, Incarnation: b.cfg.Incarnation, BatchID: b.lastID, Records: records}, true
}

// Next gives the time at which Due may give a batch; false if nothing is to be appended as things stand.
func (b *Batcher) Next(now time.Time) (time.Time, bool) {
	if b.failures > 0 {
		// The empty batch of a probe shows when the log is back, at one append a retry.
		return b.retryAt, b.inFlight() == 0
	}
	if b.inFlight() >= b.cfg.MaxInFlight {
		return time.Time{}, false
	}
	open := b.sentAt.Add(b.cfg.Window)
	if len(b.waiting) > 0 {
		return open, true
	}
	again, ok := b.earliestAgain()
	return latest(open, again), ok
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Batcher) earliestAgain() (time.Time, bool) {
	var at time.Time
	found := false
	for _, f := range b.flights {
		if f.uncertain && (!found || f.againAt.Before(at)) {
			at = f.againAt
			found = true
		}
	}
	return at, found
}

func (b *Batcher) inFlight() int {
	n := 0
	for _, f := range b.flights {
		if !f.uncertain {
			n++
		}
	}
	return n
}

// Appended takes the end of an append.
func (b *Batcher) Appended(batchID uint64, result AppendResult, now time.Time) {
	f, ok := b.flights[batchID]
	if !ok {
		return
	}
	switch r := result.(type) {
	case AppendDone:
		b.failures = 0
		b.observe(now.Sub(f.since))
		delete(b.flights, batchID)
	case AppendRefused:
		b.fail(now, r.RetryAfter)
		delete(b.flights, batchID)
		b.waiting = append(f.records, b.waiting...)
	case AppendUncertain:
		if f.landed {
			delete(b.flights, batchID)
			return
		}
		b.fail(now, 0)
		b.doubted = doubt{batchID: batchID, since: f.since}
		f.uncertain = true
		f.records = withoutClaims(f.records)
		f.againAt = b.retryAt
		if len(f.records) == 0 {
			delete(b.flights, batchID)
		}
	}
}

// Committed notes that the table has read a batch back, whatever its append's reply was.
// A batch that was read back soon proves that the log takes appends and only its replies are lost. Without this a
// lost reply would count as a failing log, and requests would be refused that could well be claimed.
func (b *Batcher) Committed(batchID uint64, now time.Time) {
	if f, ok := b.flights[batchID]; ok {
		f.landed = true
		if f.uncertain {
			delete(b.flights, batchID)
		}
	}
	if batchID == b.doubted.batchID && now.Sub(b.doubted.since) < b.cfg.AppendTimeout {
		b.failures = 0
	}
}
