package leaser

import (
	"time"

	"geraniumline/claimer"
	"geraniumline/recorder"
)

// AcquireOrRenew gives the record to append for a pool's lease if one is due: a renewal when a third of this entry's lease has
// passed, else a bid when the lease has lapsed as far as this entry can tell. Rank is this entry's place among those
// that would bid: the first bids at once, and the others only if it does not.
func (l *Leaser) AcquireOrRenew(pool string, rank int, now time.Time) (data []byte, id uint64, due bool) {
	b := l.bid(pool)
	if now.Before(b.next) || now.Before(l.dueAt(pool, rank, b, now)) {
		return nil, 0, false
	}
	return l.make(pool, b, now)
}

// dueAt gives when this entry should append for the pool's lease.
func (l *Leaser) dueAt(name string, rank int, b *bid, now time.Time) time.Time {
	p := l.fold.pool(name)
	h := p.holder
	wait := time.Duration(rank) * l.cfg.Stagger
	if !p.known {
		return p.readAt.Add(silence + wait)
	}
	if h == nil {
		if b.next.IsZero() {
			b.next = now.Add(wait)
		}
		return b.next
	}
	if l.own(h) {
		return h.until.from.Add(l.cfg.Duration / renewals)
	}
	// The log's clock is not this entry's. A bid that is too early is void, and one that is too late costs only
	// time without orders, so the time since the record was read will do.
	return h.readAt.Add(h.length + wait)
}

func (l *Leaser) make(pool string, b *bid, now time.Time) ([]byte, uint64, bool) {
	record := recorder.Lease{
		Pool:        pool,
		Entry:       l.cfg.Entry,
		Incarnation: l.cfg.Incarnation,
		LeaseID:     l.nextID + 1,
		Millis:      l.cfg.Duration.Milliseconds(),
		Base:        l.base(pool),
	}
	data, err := record.MarshalMsg(nil)
	if err != nil {
		return nil, 0, false
	}
	l.nextID++
	b.forget(now)
	b.sent[l.nextID] = now
	b.next = now.Add(l.cfg.Duration / renewals)
	return data, l.nextID, true
}

// base is the offset of the pool's newest valid record, 0 while that is not known.
func (l *Leaser) base(pool string) int64 {
	_, fence := l.Holder(pool)
	return fence
}

// forget drops the starts of bids whose lease would have lapsed by now.
func (b *bid) forget(now time.Time) {
	for id, sent := range b.sent {
		if now.Sub(sent) > MaxDuration {
			delete(b.sent, id)
		}
	}
}

// AppendFinished takes the end of an append. Only a refusal says anything: a lost reply leaves the record's fate open, and
// reading the stream settles it.
func (l *Leaser) AppendFinished(id uint64, result claimer.AppendResult, now time.Time) {
	refused, surely := result.(claimer.AppendRefused)
	if !surely {
		return
	}
	for _, b := range l.bids {
		if _, mine := b.sent[id]; mine {
			delete(b.sent, id)
			b.next = now.Add(max(refused.RetryAfter, DefaultRetryAfter))
		}
	}
}
