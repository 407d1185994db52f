// Package leaser decides which entry may give orders to a pool's engines. A lease is a record of the leases stream;
// the order of the log decides who holds it, and the record's offset is the fencing number of orders given under it.
// The package is pure: the present time is given to it.
package leaser

import (
	"time"

	"geraniumline/recorder"
)

// Defaults of Config.
const (
	// DefaultDuration is how long a lease lasts from the log's time of its record.
	DefaultDuration = 10 * time.Second
	// DefaultMargin is kept off a lease's end for clocks that run at different speeds: a twentieth is far more
	// than a quartz clock is off.
	DefaultMargin = DefaultDuration / 20
	// DefaultStagger is how long the next entry in order waits for the one before to bid.
	DefaultStagger = time.Second
	// DefaultRetryAfter is the wait after an append that the log refused.
	DefaultRetryAfter = time.Second
	// MaxDuration is the longest lease that the fold takes. A longer one would outlast the time for which a reader
	// that lacks the stream's beginning holds back.
	MaxDuration = 2 * DefaultDuration
)

// renewals is how many appends fall into one lease: two may be lost, and the third comes too late.
const renewals = 3

// silence is how long a reader that lacks a pool's earlier records waits for others before it bids: any lease that it
// can't know of has then lapsed.
const silence = 2 * MaxDuration

// Config sets a Leaser up. Zero durations take the defaults above.
type Config struct {
	Entry       string
	Incarnation uint64
	Duration    time.Duration
	Margin      time.Duration
	Stagger     time.Duration
}

// Leaser is the fold over the leases stream, with this entry's own bids and leases.
type Leaser struct {
	cfg    Config
	fold   fold
	bids   map[string]*bid
	nextID uint64
}

// bid is this entry's appends for a pool's lease that have not been read back, and when the next may be made.
type bid struct {
	// sent holds, by the append's id, the instant before it was sent.
	sent map[uint64]time.Time
	next time.Time
}

// New makes a leaser that has read nothing.
func New(cfg Config) *Leaser {
	setDuration(&cfg.Duration, DefaultDuration)
	setDuration(&cfg.Margin, min(DefaultMargin, cfg.Duration/4))
	setDuration(&cfg.Stagger, DefaultStagger)
	cfg.Duration = min(cfg.Duration, MaxDuration)
	return &Leaser{cfg: cfg, fold: newFold(), bids: map[string]*bid{}}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ResetOnGap tells the leaser the oldest offset that the log still keeps, and whether records were lost to it is told back.
// All leases are then unknown, this entry's own ones too.
func (l *Leaser) ResetOnGap(first int64, now time.Time) bool {
	return l.fold.gap(first, now)
}

// Apply folds the stream's next record in. It tells whether the pool's holder is another than before.
func (l *Leaser) Apply(r recorder.Record, now time.Time) (HolderChange, bool) {
	read, ok := l.fold.read(r, now)
	if !ok {
		return HolderChange{}, false
	}
	record := read.record
	p := l.fold.pool(record.Pool)
	before := p.holder
	sent, own := l.takeBid(record)
	valid := p.apply(read, own && !sent.Before(l.fold.lostAt.Add(silence)))
	if own && valid {
		l.hold(p.holder, sent)
	}
	if p.holder == before {
		return HolderChange{}, false
	}
	return HolderChange{Pool: record.Pool, Entry: p.holder.entry, Fence: p.holder.granted}, true
}

// HolderChange says that a pool has another holder than before.
type HolderChange struct {
	Pool  string
	Entry string
	// Fence is the offset of the record that began the holder's time.
	Fence int64
}

// takeBid gives the instant before a record was sent, if it is a bid of this entry that has not been forgotten.
func (l *Leaser) takeBid(record *recorder.Lease) (sent time.Time, own bool) {
	if record.Entry != l.cfg.Entry || record.Incarnation != l.cfg.Incarnation {
		return time.Time{}, false
	}
	b := l.bid(record.Pool)
	sent, own = b.sent[record.LeaseID]
	delete(b.sent, record.LeaseID)
	return sent, own
}

// hold notes the time limit of this entry's lease. It counts from before the append was sent: the log's time of the
// record is later, so the limit ends before the log would let another in.
func (l *Leaser) hold(h *holding, sent time.Time) {
	if h.until.from.Before(sent) {
		h.until = limitFrom(sent, h.length-l.cfg.Margin)
	}
}

func (l *Leaser) bid(pool string) *bid {
	b, known := l.bids[pool]
	if !known {
		b = &bid{sent: map[uint64]time.Time{}}
		l.bids[pool] = b
	}
	return b
}

func (l *Leaser) own(h *holding) bool {
	return h != nil && h.entry == l.cfg.Entry && h.incarnation == l.cfg.Incarnation
}

// Lease is this entry's right to order a pool's engines.
type Lease struct {
	// Fence is the fencing number for orders, the offset of the newest record of the lease.
	Fence int64
	// Granted is the offset of the record that began this entry's time as the orderer.
	Granted int64
	// Remaining is what is left of the lease for sending orders.
	Remaining time.Duration
}

// Held gives this entry's lease on a pool, or false if it holds none now.
func (l *Leaser) Held(pool string, now time.Time) (Lease, bool) {
	h := l.fold.pool(pool).holder
	if !l.own(h) {
		return Lease{}, false
	}
	left := h.until.left(now)
	return Lease{Fence: h.fence, Granted: h.granted, Remaining: left}, left > 0
}

// Holder names a pool's orderer as far as the stream tells; its lease may have lapsed.
func (l *Leaser) Holder(pool string) (entry string, fence int64) {
	h := l.fold.pool(pool).holder
	if h == nil {
		return "", 0
	}
	return h.entry, h.fence
}

// Offset gives the offset of the last record read.
func (l *Leaser) Offset() int64 { return l.fold.offset }
