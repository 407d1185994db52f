// Package retrier decides whether a call may be retried, or hedged by a second concurrent call. A Retrier has one token
// bucket of extra calls per pool; a Shared is one entry's view of budgets that all entries share. It has no clock of its
// own: callers pass in the current time.
package retrier

import "time"

// Defaults of Config.
const (
	defaultRatio     = 0.04
	defaultBusyRatio = 0.004
	defaultReserve   = 10
	defaultAttempts  = 3
)

// Config configures a Retrier. Zero fields take the defaults above.
type Config struct {
	// Ratio is the part of first attempts that may be made again while the pool has free slots, and BusyRatio the part
	// while calls are queued for it.
	Ratio     float64
	BusyRatio float64
	// Reserve is the largest number of extra calls that a budget may accumulate.
	Reserve float64
	// MaxAttempts is the maximum number of attempts of one stage.
	MaxAttempts int
}

// Retrier holds the budgets of all pools.
type Retrier struct {
	cfg     Config
	budgets map[string]*budget
}

type budget struct{ left float64 }

// New returns a retrier whose budgets start with a full reserve.
func New(cfg Config) *Retrier {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.BusyRatio == 0 {
		cfg.BusyRatio = defaultBusyRatio
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = defaultReserve
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	return &Retrier{cfg: cfg, budgets: map[string]*budget{}}
}

// SetReserve changes the largest number of extra calls that a budget may accumulate, and discards what exceeds it.
// Where several entries share a total, the part of each one changes with their number.
func (r *Retrier) SetReserve(reserve float64) {
	r.cfg.Reserve = reserve
	for _, b := range r.budgets {
		b.left = min(b.left, reserve)
	}
}

func (r *Retrier) budget(pool string) *budget {
	b, known := r.budgets[pool]
	if !known {
		b = &budget{left: r.cfg.Reserve}
		r.budgets[pool] = b
	}
	return b
}

// RecordFirstAttempt records a first attempt, which adds a fraction of an extra call to the budget. The fraction is
// very small while the pool is busy, because each extra call then displaces a first attempt.
func (r *Retrier) RecordFirstAttempt(pool string, busy bool, _ time.Time) {
	ratio := r.cfg.Ratio
	if busy {
		ratio = r.cfg.BusyRatio
	}
	b := r.budget(pool)
	b.left = min(b.left+ratio, r.cfg.Reserve)
}

// CanRetry reports whether TakeRetry would allow one more attempt now.
func (r *Retrier) CanRetry(pool string, attempts int) bool {
	return attempts < r.cfg.MaxAttempts && r.budget(pool).left >= 1
}

// TakeRetry takes one extra call from the pool's budget, and reports whether the number of attempts and the budget
// allow it. Without the budget, a pool that recovers would be hit by all retries accumulated during its outage at once.
func (r *Retrier) TakeRetry(pool string, attempts int, _ time.Time) bool {
	if !r.CanRetry(pool, attempts) {
		return false
	}
	r.budget(pool).left--
	return true
}

// TakeHedge takes one extra call from the pool's budget for a second call next to a silent one, and reports whether it
// is allowed. A busy pool has none to spare, and half of the reserve is kept for failed calls.
func (r *Retrier) TakeHedge(pool string, attempts int, busy bool, _ time.Time) bool {
	if busy || attempts >= r.cfg.MaxAttempts {
		return false
	}
	b := r.budget(pool)
	if b.left-1 < r.cfg.Reserve/2 {
		return false
	}
	b.left--
	return true
}
