package leaser

import (
	"time"

	"geraniumline/recorder"
)

// streamState is the state computed from the leases stream. All readers that have read all records compute the same.
type streamState struct {
	offset int64
	// logMillis is the log's time: the greatest timestamp read so far, so that one that goes back shortens no lease.
	logMillis int64
	// hasGap is set if records were dropped from the log before they were read; gapAt is when that was noticed.
	hasGap bool
	gapAt  time.Time
	pools  map[string]*pool
}

// pool is the state of one pool's lease.
type pool struct {
	// holderKnown is set if the holder is certainly the one that a reader of all records computes.
	holderKnown bool
	holder      *heldLease
	// candidates are the records read while the holder is unknown.
	candidates []leaseRecord
	// lastReadAt is when the pool's last record was read.
	lastReadAt time.Time
}

// heldLease is the newest valid lease of a pool.
type heldLease struct {
	entry       string
	incarnation uint64
	// granted is the offset of the record that acquired the lease, fence that of its newest renewal.
	granted int64
	fence   int64
	// expiresMillis is the lease's end in the log's time.
	expiresMillis int64
	// readAt is when the newest record was read, and duration is how long its lease lasts.
	readAt   time.Time
	duration time.Duration
	// ownTimer limits a lease of this entry by the local clock.
	ownTimer leaseTimer
}

// leaseRecord is a decoded record of the stream. logMillis is the log's time when it was read.
type leaseRecord struct {
	record    *recorder.Lease
	offset    int64
	logMillis int64
	readAt    time.Time
}

func newStreamState() streamState {
	return streamState{pools: map[string]*pool{}}
}

// resetOnGap forgets all leases if unread records before the offset first were dropped, and reports whether it did.
func (s *streamState) resetOnGap(first int64, now time.Time) bool {
	if first <= s.offset+1 {
		return false
	}
	clear(s.pools)
	s.offset = first - 1
	s.hasGap = true
	s.gapAt = now
	return true
}

func (s *streamState) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{holderKnown: !s.hasGap, lastReadAt: s.gapAt}
		s.pools[name] = p
	}
	return p
}

// decodeNext decodes the stream's next record. It returns false if the record was read before or is malformed.
func (s *streamState) decodeNext(r recorder.Record, now time.Time) (leaseRecord, bool) {
	if r.Offset <= s.offset {
		return leaseRecord{}, false
	}
	s.offset = r.Offset
	s.logMillis = max(s.logMillis, r.AtMillis)
	record := decode(r.Data)
	return leaseRecord{record: record, offset: r.Offset, logMillis: s.logMillis, readAt: now}, record != nil
}

// apply processes the pool's next record and reports whether it is certainly valid. lostExpired is set if the record
// was sent after all leases whose records this reader missed had expired.
func (p *pool) apply(l leaseRecord, lostExpired bool) bool {
	p.lastReadAt = l.readAt
	if !p.holderKnown {
		return p.inferHolder(l, lostExpired)
	}
	return p.grant(l)
}

// grant updates the holder if the record is valid, and reports whether it is. A record is valid unless another
// holder's lease is unexpired by the log's time.
func (p *pool) grant(l leaseRecord) bool {
	h := p.holder
	same := h != nil && h.entry == l.record.Entry && h.incarnation == l.record.Incarnation
	expired := h == nil || l.logMillis >= h.expiresMillis
	if !same && !expired {
		return false
	}
	if !same || expired {
		// A holder whose lease had expired starts a new grant, so that the engines receive the new fencing token.
		h = &heldLease{entry: l.record.Entry, incarnation: l.record.Incarnation, granted: l.offset}
		p.holder = h
	}
	h.fence = l.offset
	h.expiresMillis = max(h.expiresMillis, l.logMillis+l.record.Millis)
	h.readAt = l.readAt
	h.duration = time.Duration(l.record.Millis) * time.Millisecond
	return true
}

// decode returns nil for a malformed record, which every reader skips.
func decode(data []byte) *recorder.Lease {
	var record recorder.Lease
	rest, err := record.UnmarshalMsg(data)
	if err != nil || len(rest) > 0 || record.Pool == "" || record.Entry == "" {
		return nil
	}
	if record.Millis <= 0 || record.Millis > MaxDuration.Milliseconds() {
		return nil
	}
	return &record
}
