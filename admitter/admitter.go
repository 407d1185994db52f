// Package admitter makes decisions based on deadlines: whether a request can still finish in time,
// how much of the remaining time the current stage may use, and when to give up. Requests that
// cannot be answered in time are refused at admission, before they have cost anything.
package admitter

import (
	"math"
	"time"
)

// Config configures an Admitter. Zero fields take the default values.
type Config struct {
	// Window is the length of each of the rotated windows in which service times are kept.
	Window time.Duration
	// WaitFraction is the fraction of a request's slack that its expected wait may use. The slack
	// is the time left beyond its service time. A deeper queue does not increase throughput, and
	// items already waiting would be late as soon as another account uses its share.
	WaitFraction float64
	// WorstWaitFraction is the fraction of the slack that the wait may use if every account uses
	// its full share. It admits an account within its share when the queue is otherwise long.
	WorstWaitFraction float64
	// MaxRetryAfter limits the retry delay that a refused caller receives.
	MaxRetryAfter time.Duration
	// MaxStages limits the number of stages whose service times are kept.
	MaxStages int
}

// The default values of Config.
const (
	defaultWindow        = 20 * time.Second
	defaultWaitPart      = 0.4
	defaultWorstPart     = 0.8
	DefaultMaxRetryAfter = 30 * time.Second
	defaultMaxStages     = 2048
)

// PendingStage describes a stage of a request that has not run yet.
type PendingStage struct {
	Stage, Pool string
	// Expected is the service time to assume until one has been observed.
	Expected time.Duration
	// WorkAhead is the cost that the pool serves before this stage, in endpoint milliseconds.
	WorkAhead float64
	// WorstWorkAhead is the same if every account uses its full share; 0 if unknown.
	WorstWorkAhead float64
	// Capacity is the cost per millisecond that this entry can count on in the pool.
	Capacity float64
}

// Admitter keeps service times and queue waits. It is not safe for concurrent use: the reducer owns
// it.
type Admitter struct {
	cfg    Config
	stages map[string]*stage
	pools  map[string]*pool
}

// New creates an Admitter without observations.
func New(cfg Config) *Admitter {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	if cfg.WaitFraction <= 0 {
		cfg.WaitFraction = defaultWaitPart
	}
	if cfg.WorstWaitFraction <= 0 {
		cfg.WorstWaitFraction = defaultWorstPart
	}
	if cfg.MaxRetryAfter <= 0 {
		cfg.MaxRetryAfter = DefaultMaxRetryAfter
	}
	if cfg.MaxStages <= 0 {
		cfg.MaxStages = defaultMaxStages
	}
	return &Admitter{cfg: cfg, stages: map[string]*stage{}, pools: map[string]*pool{}}
}

// Observe records the service time and the cost, in endpoint milliseconds, of a successful stage
// call.
func (a *Admitter) Observe(name string, service time.Duration, cost float64, now time.Time) {
	s, ok := a.stages[name]
	if !ok {
		if len(a.stages) >= a.cfg.MaxStages {
			return
		}
		s = newStage(now)
		a.stages[name] = s
	}
	s.observe(service, cost, a.cfg.Window, now)
}

// ObserveWait records how long an item waited in a pool's queue before it was dispatched.
func (a *Admitter) ObserveWait(name string, waited time.Duration, _ time.Time) {
	p := a.pool(name)
	p.meanWait += waitWeight * (float64(waited) - p.meanWait)
}

// MeanWait returns the recent mean wait in a pool's queue, for display to operators. It is not used
// for decisions, because it averages over accounts whose waits differ with the work they send.
func (a *Admitter) MeanWait(name string) time.Duration {
	p, ok := a.pools[name]
	if !ok {
		return 0
	}
	return time.Duration(p.meanWait)
}

// Admit decides whether a request with these stages is expected to finish by the deadline.
func (a *Admitter) Admit(stages []PendingStage, deadline time.Time, now time.Time) Decision {
	f := a.forecast(stages)
	slack := float64(deadline.Sub(now)) - f.service - math.Sqrt(f.squaresAbove)
	excess := f.wait - a.cfg.WaitFraction*slack
	if excess <= 0 || f.worst <= a.cfg.WorstWaitFraction*slack {
		return Admitted{}
	}
	return refuse(a.retryAfter(stages, time.Duration(excess), now))
}

// Budget returns how much time the first stage may take so that the remaining stages are still
// expected to finish by the deadline. The last stage gets all the remaining time.
func (a *Admitter) Budget(stages []PendingStage, deadline, now time.Time) time.Duration {
	left := deadline.Sub(now)
	if len(stages) <= 1 {
		return max(left, 0)
	}
	rest := a.forecast(stages[1:])
	return max(left-time.Duration(rest.service+rest.wait), 0)
}

// CannotFinish reports whether the stages will miss the deadline even if their service times are
// short.
func (a *Admitter) CannotFinish(stages []PendingStage, deadline, now time.Time) bool {
	f := a.forecast(stages)
	best := f.service + f.wait - math.Sqrt(f.squaresBelow)
	return best > float64(deadline.Sub(now))
}

// ExpectedCost returns the mean cost of the stage in endpoint milliseconds, or fallback if none has
// been observed.
func (a *Admitter) ExpectedCost(name string, fallback float64) float64 {
	s, ok := a.stages[name]
	if !ok || s.count == 0 {
		return fallback
	}
	return s.cost
}

// forecast is the expected time of a sequence of stages, in nanoseconds.
type forecast struct {
	// service and wait are means; worst is the wait if every account uses its full share.
	service, wait, worst float64
	// squaresAbove and squaresBelow are the sums of the squared distances from the mean to the high
	// and low quantiles. Stages vary independently, so their deviations add as squares. Adding the
	// quantiles themselves would refuse requests that finish in time.
	squaresAbove, squaresBelow float64
}

// forecast sums the stages. The work ahead in a pool is partly served while the request is still at
// earlier stages. If it were counted in full, a pool at half its load would appear to have a queue,
// made up of requests that reach it one by one.
func (a *Admitter) forecast(stages []PendingStage) forecast {
	var f forecast
	for i := range stages {
		low, mean, high := a.service(&stages[i])
		f.wait += max(0, stages[i].expectedWait()-f.service-f.wait)
		f.worst += max(0, stages[i].waitFor(max(stages[i].WorkAhead, stages[i].WorstWorkAhead))-f.service-f.worst)
		f.service += mean
		f.squaresAbove += (high - mean) * (high - mean)
		f.squaresBelow += (mean - low) * (mean - low)
	}
	return f
}

func (a *Admitter) service(pending *PendingStage) (low, mean, high float64) {
	s, ok := a.stages[pending.Stage]
	if !ok || s.count == 0 {
		expected := float64(pending.Expected)
		return expected, expected, expected
	}
	return float64(s.low), float64(s.mean), float64(s.high)
}
