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
	pools     map[string]*holding
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

func newFold() fold {
	return fold{pools: map[string]*holding{}}
}

// gap forgets all leases if records were dropped that had not been read.
func (f *fold) gap(first int64) bool {
	if first <= f.offset+1 {
		return false
	}
	clear(f.pools)
	f.offset = first - 1
	return true
}

// apply takes one record. It gives nothing for one that was read before or is malformed.
func (f *fold) apply(r recorder.Record, now time.Time) (record *recorder.Lease, valid bool) {
	if r.Offset <= f.offset {
		return nil, false
	}
	f.offset = r.Offset
	f.logMillis = max(f.logMillis, r.AtMillis)
	record = decode(r.Data)
	if record == nil {
		return nil, false
	}
	return record, f.decide(record, r.Offset, now)
}

// decide tells whether a record is a valid lease: it is if no other holder's lease is unexpired by the log's time.
func (f *fold) decide(record *recorder.Lease, offset int64, now time.Time) bool {
	h := f.pools[record.Pool]
	same := h != nil && h.entry == record.Entry && h.incarnation == record.Incarnation
	if h != nil && !same && f.logMillis < h.expiresMillis {
		return false
	}
	if h == nil || !same || f.logMillis >= h.expiresMillis {
		// A holder that let its lease lapse begins anew: another may have held it meanwhile in a part of the
		// stream that this reader has not, and the engines are to hear the new number.
		h = &holding{entry: record.Entry, incarnation: record.Incarnation, granted: offset}
		f.pools[record.Pool] = h
	}
	h.fence = offset
	h.expiresMillis = max(h.expiresMillis, f.logMillis+record.Millis)
	h.readAt = now
	h.length = time.Duration(record.Millis) * time.Millisecond
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
