// Package leaser decides which entry may send orders to a pool's engines. A lease is a record of the leases stream;
// the order of the log decides who holds it, and the record's offset is the fencing token of orders sent under it.
// The package is pure: callers pass the current time.
package leaser

import (
	"time"

	"geraniumline/recorder"
)

// Defaults of Config.
const (
	// DefaultDuration is how long a lease lasts from the log's time of its record.
	DefaultDuration = 10 * time.Second
	// DefaultMargin is subtracted from a lease's duration because clocks run at different speeds: a twentieth is far
	// more than the drift of a quartz clock.
	DefaultMargin = DefaultDuration / 20
	// DefaultStagger is how long each candidate waits for the one before it to bid.
	DefaultStagger = time.Second
	// DefaultRetryAfter is the wait after an append that the log refused.
	DefaultRetryAfter = time.Second
	// MaxDuration is the longest valid lease. A longer one would outlast the time for which a reader that misses
	// the stream's beginning does not bid.
	MaxDuration = 2 * DefaultDuration
)

// appendsPerLease is the number of appends during one lease: two may be lost, and the third comes too late.
const appendsPerLease = 3

// gapWait is how long a reader that misses a pool's earlier records waits for records of others before it bids: any
// lease that it can't know of has expired by then.
const gapWait = 2 * MaxDuration

// Config configures a Leaser. Zero durations take the defaults above.
type Config struct {
	Entry       string
	Incarnation uint64
	Duration    time.Duration
	Margin      time.Duration
	Stagger     time.Duration
}

// Leaser computes the leases from the leases stream and tracks this entry's own bids and leases.
type Leaser struct {
	cfg    Config
	state  streamState
	bids   map[string]*pendingBids
	lastID uint64
}

// pendingBids holds this entry's appends for one pool's lease that have not been read back.
type pendingBids struct {
	// sentAt maps an append's ID to the instant before it was sent.
	sentAt map[uint64]time.Time
	// notBefore is the earliest time of the next append.
	notBefore time.Time
}

// New returns a Leaser that has read no records.
func New(cfg Config) *Leaser {
	setDefault(&cfg.Duration, DefaultDuration)
	setDefault(&cfg.Margin, min(DefaultMargin, cfg.Duration/4))
	setDefault(&cfg.Stagger, DefaultStagger)
	cfg.Duration = min(cfg.Duration, MaxDuration)
	return &Leaser{cfg: cfg, state: newStreamState(), bids: map[string]*pendingBids{}}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ResetOnGap reports whether records before first, the oldest offset that the log retains, were dropped before they
// were read. If so, all leases become unknown, including this entry's own.
func (l *Leaser) ResetOnGap(first int64, now time.Time) bool {
	return l.state.resetOnGap(first, now)
}

// Apply processes the stream's next record and reports whether the pool's holder changed. Records that were read before
// and malformed ones are ignored.
func (l *Leaser) Apply(r recorder.Record, now time.Time) (HolderChange, bool) {
	read, ok := l.state.decodeNext(r, now)
	if !ok {
		return HolderChange{}, false
	}
	record := read.record
	p := l.state.pool(record.Pool)
	before := p.holder
	sent, own := l.removeBid(record)
	valid := p.apply(read, own && !sent.Before(l.state.gapAt.Add(gapWait)))
	if own && valid {
		l.extendOwn(p.holder, sent)
	}
	if p.holder == before {
		return HolderChange{}, false
	}
	return HolderChange{Pool: record.Pool, Entry: p.holder.entry, Fence: p.holder.granted}, true
}

// HolderChange describes the new holder of a pool's lease.
type HolderChange struct {
	Pool  string
	Entry string
	// Fence is the offset of the record that acquired the lease.
	Fence int64
}

// removeBid returns the instant before a record was sent, if it is a pending bid of this entry, and removes the bid.
func (l *Leaser) removeBid(record *recorder.Lease) (sent time.Time, own bool) {
	if record.Entry != l.cfg.Entry || record.Incarnation != l.cfg.Incarnation {
		return time.Time{}, false
	}
	b := l.bidsFor(record.Pool)
	sent, own = b.sentAt[record.LeaseID]
	delete(b.sentAt, record.LeaseID)
	return sent, own
}

// extendOwn sets the local time limit of this entry's lease. It counts from before the append was sent: the log's time
// of the record is later, so the limit ends before the log grants the lease to another entry.
func (l *Leaser) extendOwn(h *heldLease, sent time.Time) {
	if h.ownTimer.start.Before(sent) {
		h.ownTimer = newLeaseTimer(sent, h.duration-l.cfg.Margin)
	}
}

func (l *Leaser) bidsFor(pool string) *pendingBids {
	b, ok := l.bids[pool]
	if !ok {
		b = &pendingBids{sentAt: map[uint64]time.Time{}}
		l.bids[pool] = b
	}
	return b
}

func (l *Leaser) isOwn(h *heldLease) bool {
	return h != nil && h.entry == l.cfg.Entry && h.incarnation == l.cfg.Incarnation
}

// Lease is this entry's right to send orders to a pool's engines.
type Lease struct {
	// Fence is the fencing token for orders, the offset of the newest record of the lease.
	Fence int64
	// Granted is the offset of the record with which this entry acquired the lease.
	Granted int64
	// Remaining is the time that is left for sending orders.
	Remaining time.Duration
}

// Held returns this entry's lease on a pool, or false if it holds none at the time now.
func (l *Leaser) Held(pool string, now time.Time) (Lease, bool) {
	h := l.state.pool(pool).holder
	if !l.isOwn(h) {
		return Lease{}, false
	}
	remaining := h.ownTimer.remaining(now)
	return Lease{Fence: h.fence, Granted: h.granted, Remaining: remaining}, remaining > 0
}

// Holder returns the last known holder of a pool's lease and the offset of its newest record, or "" and 0 if none is
// known. The lease may have expired.
func (l *Leaser) Holder(pool string) (entry string, fence int64) {
	h := l.state.pool(pool).holder
	if h == nil {
		return "", 0
	}
	return h.entry, h.fence
}

// Offset returns the offset of the last record read.
func (l *Leaser) Offset() int64 { return l.state.offset }
