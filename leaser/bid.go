package leaser

import (
	"time"

	"geraniumline/claimer"
	"geraniumline/recorder"
)

// AcquireOrRenew returns the encoded record to append for the pool's lease, and its append ID, if one is due: a renewal
// when a third of this entry's lease has passed, or a bid when the known lease has expired. rank is this entry's
// position among the candidates: the first bids at once, each other only if those before it have not.
func (l *Leaser) AcquireOrRenew(pool string, rank int, now time.Time) (data []byte, id uint64, due bool) {
	b := l.bidsFor(pool)
	if now.Before(b.notBefore) || now.Before(l.dueAt(pool, rank, b, now)) {
		return nil, 0, false
	}
	return l.newRecord(pool, b, now)
}

// dueAt returns when this entry should append a record for the pool's lease.
func (l *Leaser) dueAt(name string, rank int, b *pendingBids, now time.Time) time.Time {
	p := l.state.pool(name)
	h := p.holder
	wait := time.Duration(rank) * l.cfg.Stagger
	if !p.holderKnown {
		return p.lastReadAt.Add(gapWait + wait)
	}
	if h == nil {
		if b.notBefore.IsZero() {
			b.notBefore = now.Add(wait)
		}
		return b.notBefore
	}
	if l.isOwn(h) {
		return h.ownTimer.start.Add(l.cfg.Duration / appendsPerLease)
	}
	// The log's clock differs from this entry's, so the expiry is estimated from the time the record was read. A bid
	// that is too early is void, and one that is too late only prolongs the time without orders.
	return h.readAt.Add(h.duration + wait)
}

// newRecord encodes the next record for the pool's lease and stores when it was sent.
func (l *Leaser) newRecord(pool string, b *pendingBids, now time.Time) ([]byte, uint64, bool) {
	record := recorder.Lease{
		Pool:        pool,
		Entry:       l.cfg.Entry,
		Incarnation: l.cfg.Incarnation,
		LeaseID:     l.lastID + 1,
		Millis:      l.cfg.Duration.Milliseconds(),
		Base:        l.base(pool),
	}
	data, err := record.MarshalMsg(nil)
	if err != nil {
		return nil, 0, false
	}
	l.lastID++
	b.dropExpired(now)
	b.sentAt[l.lastID] = now
	b.notBefore = now.Add(l.cfg.Duration / appendsPerLease)
	return data, l.lastID, true
}

// base returns the offset of the pool's newest valid record, or 0 if the holder is unknown.
func (l *Leaser) base(pool string) int64 {
	_, fence := l.Holder(pool)
	return fence
}

// dropExpired removes bids whose lease would have expired by now.
func (b *pendingBids) dropExpired(now time.Time) {
	for id, sent := range b.sentAt {
		if now.Sub(sent) > MaxDuration {
			delete(b.sentAt, id)
		}
	}
}

// AppendFinished processes the result of an append. Only a refusal changes anything: after a lost reply the record may
// or may not be in the log, which reading the stream shows.
func (l *Leaser) AppendFinished(id uint64, result claimer.AppendResult, now time.Time) {
	refused, ok := result.(claimer.AppendRefused)
	if !ok {
		return
	}
	for _, b := range l.bids {
		if _, found := b.sentAt[id]; found {
			delete(b.sentAt, id)
			b.notBefore = now.Add(max(refused.RetryAfter, DefaultRetryAfter))
		}
	}
}
