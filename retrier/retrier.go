// Package retrier decides whether a stage call may be tried again, from a budget for each pool.
// It is pure: the present time is given to it.
package retrier

import "time"

// Defaults of Config.
const (
	DefaultRatio    = 0.1
	DefaultReserve  = 10
	DefaultAttempts = 3
)

// Config sets a Retrier up. Zero fields take the defaults above.
type Config struct {
	// Ratio is the part of first attempts that may be tried again.
	Ratio float64
	// Reserve is the most retries that quiet times may save up.
	Reserve float64
	// Attempts is the most attempts of one stage.
	Attempts int
}

// Retrier holds the budgets.
type Retrier struct {
	cfg     Config
	budgets map[string]float64
}

// New makes a retrier whose pools begin with a full reserve.
func New(cfg Config) *Retrier {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = DefaultReserve
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = DefaultAttempts
	}
	return &Retrier{cfg: cfg, budgets: map[string]float64{}}
}

// First notes a first attempt, which earns a part of a retry.
func (r *Retrier) First(pool string, _ time.Time) {
	r.budgets[pool] = min(r.budget(pool)+r.cfg.Ratio, r.cfg.Reserve)
}

func (r *Retrier) budget(pool string) float64 {
	budget, known := r.budgets[pool]
	if !known {
		return r.cfg.Reserve
	}
	return budget
}

// Retry spends one retry of the pool's budget, if attempts so far and the budget allow it.
// Without the budget a pool that comes back is met by all the retries of its absence at once.
func (r *Retrier) Retry(pool string, attempts int, _ time.Time) bool {
	if attempts >= r.cfg.Attempts {
		return false
	}
	budget := r.budget(pool)
	if budget < 1 {
		return false
	}
	r.budgets[pool] = budget - 1
	return true
}
