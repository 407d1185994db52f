package admitter

import (
	"math"
	"time"
)

// waitWeight is the weight of a new wait in the moving average.
const waitWeight = 0.02

// pool holds the state of one pool's queue.
type pool struct {
	// meanWait is the moving average of the waits, in nanoseconds.
	meanWait float64
	// retryAt is when all callers refused so far will have been served, if each retries at the time
	// that it was given.
	retryAt time.Time
}

func (a *Admitter) pool(name string) *pool {
	p, ok := a.pools[name]
	if !ok {
		p = &pool{}
		a.pools[name] = p
	}
	return p
}

// expectedWait returns the expected time in the queue, in nanoseconds.
func (s *PendingStage) expectedWait() float64 { return s.waitFor(s.WorkAhead) }

// roundingTolerance is the cost by which sums of added and withdrawn announcements may be off. If
// it were treated as work ahead, a pool without capacity would refuse everything forever.
const roundingTolerance = 1e-6

func (s *PendingStage) waitFor(ahead float64) float64 {
	if ahead <= roundingTolerance {
		return 0
	}
	if s.Capacity <= 0 {
		return math.MaxInt32 * float64(time.Second)
	}
	return ahead / s.Capacity * float64(time.Millisecond)
}

// retryAfter assigns each refused caller a position in a virtual queue, at the pool with its
// longest wait. If all callers were given just the excess wait, a crowd of ten times what can be
// served would return within a few milliseconds.
func (a *Admitter) retryAfter(stages []PendingStage, excess time.Duration, now time.Time) time.Duration {
	slowest := &stages[0]
	for i := range stages {
		if stages[i].expectedWait() > slowest.expectedWait() {
			slowest = &stages[i]
		}
	}
	p := a.pool(slowest.Pool)
	perCaller := float64(slowest.Expected)
	if cost := a.ExpectedCost(slowest.Stage, 0); cost > 0 && slowest.Capacity > 0 {
		perCaller = cost / slowest.Capacity * float64(time.Millisecond)
	}
	earliest := now.Add(excess)
	if p.retryAt.Before(earliest) {
		p.retryAt = earliest
	}
	p.retryAt = p.retryAt.Add(time.Duration(perCaller))
	latest := now.Add(a.cfg.MaxRetryAfter)
	if p.retryAt.After(latest) {
		p.retryAt = latest
	}
	return p.retryAt.Sub(now)
}
