package leaser

import (
	"time"

	"geraniumline/recorder"
)

// fold is what the leases stream says, the same for every reader that has all of its records.
type fold struct {
	offset int64
	// logMillis is the log's time, the greatest of any record read: one that goes back shortens no lease.
	logMillis int64
	// lost tells that records before some offset were never read, and lostAt when that was noticed.
	lost   bool
	lostAt time.Time
	pools  map[string]*pool
}

// pool is the lease on one pool.
type pool struct {
	// known tells that the holder is surely that of a reader with all records.
	known  bool
	holder *holding
	// kept are the records read while the holder is not known.
	kept []lease
	// readAt is when the pool's last record was read.
	readAt time.Time
}

// holding is the newest valid lease of a pool.
type holding struct {
	entry       string
	incarnation uint64
	// granted is the offset of the record with which the holder took the lease, fence that of its newest renewal.
	granted int64
	fence   int64
	// expiresMillis is the lease's end in the log's time.
	expiresMillis int64
	// readAt is when the newest record was read, and length how long its lease lasts.
	readAt time.Time
	length time.Duration
	// until is this entry's own limit for a lease of its own.
	until limit
}

// lease is one record as it was read. Millis is the log's time.
type lease struct {
	record *recorder.Lease
	offset int64
	millis int64
	readAt time.Time
}

func newFold() fold {
	return fold{pools: map[string]*pool{}}
}

// gap forgets all leases if records were dropped that had not been read.
func (f *fold) gap(first int64, now time.Time) bool {
	if first <= f.offset+1 {
		return false
	}
	clear(f.pools)
	f.offset = first - 1
	f.lost = true
	f.lostAt = now
	return true
}

func (f *fold) pool(name string) *pool {
	p, met := f.pools[name]
	if !met {
		p = &pool{known: !f.lost, readAt: f.lostAt}
		f.pools[name] = p
	}
	return p
}

// read gives the lease of the stream's next record, or false for one that was read before or is malformed.
func (f *fold) read(r recorder.Record, now time.Time) (lease, bool) {
	if r.Offset <= f.offset {
		return lease{}, false
	}
	f.offset = r.Offset
	f.logMillis = max(f.logMillis, r.AtMillis)
	record := decode(r.Data)
	return lease{record: record, offset: r.Offset, millis: f.logMillis, readAt: now}, record != nil
}

// apply takes a pool's next record and tells whether it is surely valid. After tells that it was sent when all leases
// that this reader can't know of had lapsed.
func (p *pool) apply(l lease, after bool) bool {
	p.readAt = l.readAt
	if !p.known {
		return p.learn(l, after)
	}
	return p.decide(l)
}

// decide tells whether a record is a valid lease: it is if no other holder's lease is unexpired by the log's time.
func (p *pool) decide(l lease) bool {
	h := p.holder
	same := h != nil && h.entry == l.record.Entry && h.incarnation == l.record.Incarnation
	lapsed := h == nil || l.millis >= h.expiresMillis
	if !same && !lapsed {
		return false
	}
	if !same || lapsed {
		// A holder that let its lease lapse begins anew, and the engines are to hear the new number.
		h = &holding{entry: l.record.Entry, incarnation: l.record.Incarnation, granted: l.offset}
		p.holder = h
	}
	h.fence = l.offset
	h.expiresMillis = max(h.expiresMillis, l.millis+l.record.Millis)
	h.readAt = l.readAt
	h.length = time.Duration(l.record.Millis) * time.Millisecond
	return true
}

// decode gives nothing for a record that every reader passes over.
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
