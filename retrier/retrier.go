// Package retrier decides whether a stage call may be tried again, or hedged by a second call beside
// it, from one budget of extra work for each pool. It is pure: the present time is given to it.
package retrier

import "time"

// Defaults of Config.
const (
	defaultRatio     = 0.04
	defaultBusyRatio = 0.004
	defaultReserve   = 10
	defaultAttempts  = 3
)

// Config sets a Retrier up. Zero fields take the defaults above.
type Config struct {
	// Ratio is the part of first attempts that may be made again while the pool has slots to spare,
	// BusyRatio that while work waits for it.
	Ratio     float64
	BusyRatio float64
	// Reserve is the most extra calls that quiet times may save up.
	Reserve float64
	// MaxAttempts is the most attempts of one stage.
	MaxAttempts int
}

// Retrier holds the budgets.
type Retrier struct {
	cfg     Config
	budgets map[string]*budget
}

type budget struct{ left float64 }

// New makes a retrier whose pools begin with a full reserve.
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

// SetReserve changes the most extra calls that quiet times may save up; what is saved beyond it is lost. Where several
// share a bound, each one's part changes with their number.
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

// RecordFirstAttempt notes a first attempt, which earns a part of an extra call: hardly any while the pool is
// busy, since there each extra call takes the place of a first one.
func (r *Retrier) RecordFirstAttempt(pool string, busy bool, _ time.Time) {
	ratio := r.cfg.Ratio
	if busy {
		ratio = r.cfg.BusyRatio
	}
	b := r.budget(pool)
	b.left = min(b.left+ratio, r.cfg.Reserve)
}

// CanRetry tells whether Retry would allow one more attempt now.
func (r *Retrier) CanRetry(pool string, attempts int) bool {
	return attempts < r.cfg.MaxAttempts && r.budget(pool).left >= 1
}

// TakeRetry spends one extra call of the pool's budget, if attempts so far and the budget allow it.
// Without the budget a pool that comes back is met by all the retries of its absence at once.
func (r *Retrier) TakeRetry(pool string, attempts int, _ time.Time) bool {
	if !r.CanRetry(pool, attempts) {
		return false
	}
	r.budget(pool).left--
	return true
}

// TakeHedge spends one extra call on a second call beside a silent one. A busy pool has none to spare,
// and half of the reserve is left for calls that failed.
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
