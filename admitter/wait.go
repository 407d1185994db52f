package admitter

import (
	"math"
	"time"
)

// waitWeight is the weight of a new wait in the mean.
const waitWeight = 0.02

// pool is what is known of one pool's queue.
type pool struct {
	// waited is the recent mean of the waits, in nanoseconds.
	waited float64
	// returnAt is when the callers that were refused so far will all have been served, should
	// each come back at the time that it was told.
	returnAt time.Time
}

func (a *Admitter) pool(name string) *pool {
	p, ok := a.pools[name]
	if !ok {
		p = &pool{}
		a.pools[name] = p
	}
	return p
}

// wait is the expected time in the queue, in nanoseconds: the cost ahead over the capacity.
func (ask *PendingStage) wait() float64 { return ask.waitFor(ask.WorkAhead) }

// rounding is the cost that sums of announcements made and withdrawn may be off by. Taken for work ahead of
// a pool without capacity, it would refuse everything for good.
const rounding = 1e-6

func (ask *PendingStage) waitFor(ahead float64) float64 {
	if ahead <= rounding {
		return 0
	}
	if ask.Capacity <= 0 {
		return math.MaxInt32 * float64(time.Second)
	}
	return ahead / ask.Capacity * float64(time.Millisecond)
}

// comeBack gives each refused caller a place in a queue outside the door, at the pool that
// it would wait for longest. If all were told just the excess wait, a crowd of ten times
// what can be served would be back together in a few milliseconds.
func (a *Admitter) comeBack(stages []PendingStage, excess time.Duration, now time.Time) time.Duration {
	longest := &stages[0]
	for i := range stages {
		if stages[i].wait() > longest.wait() {
			longest = &stages[i]
		}
	}
	p := a.pool(longest.Pool)
	turn := float64(longest.Expected)
	if cost := a.ExpectedCost(longest.Stage, 0); cost > 0 && longest.Capacity > 0 {
		turn = cost / longest.Capacity * float64(time.Millisecond)
	}
	earliest := now.Add(excess)
	if p.returnAt.Before(earliest) {
		p.returnAt = earliest
	}
	p.returnAt = p.returnAt.Add(time.Duration(turn))
	latest := now.Add(a.cfg.MaxRetryAfter)
	if p.returnAt.After(latest) {
		p.returnAt = latest
	}
	return p.returnAt.Sub(now)
}
