// Package admitter decides by deadlines: whether a request can still finish in time, how
// much of the time left belongs to the stage at hand, and when to give up. Work that
// can't be answered in time is refused at admission, where it has cost nothing.
package admitter

import (
	"math"
	"time"
)

// Config sets an Admitter up. Zero values take the defaults.
type Config struct {
	// Window is the length of each of the rotated windows that service times are kept in.
	Window time.Duration
	// WaitFraction is the part of a request's slack, the time left beyond its service, that it may
	// be expected to wait. A deeper queue serves no more, and when another account takes
	// up its share, what waits already would be late.
	WaitFraction float64
	// WorstWaitFraction is the part of the slack that a request may be expected to wait even if every
	// account takes up its share. An account within its share is admitted by this, when the
	// queue is otherwise long.
	WorstWaitFraction float64
	// MaxRetryAfter bounds the time after which a refused caller is told to come back.
	MaxRetryAfter time.Duration
	// MaxStages bounds the stages that are remembered.
	MaxStages int
}

// The defaults of Config.
const (
	defaultWindow        = 20 * time.Second
	defaultWaitPart      = 0.4
	defaultWorstPart     = 0.8
	DefaultMaxRetryAfter = 30 * time.Second
	defaultMaxStages     = 2048
)

// PendingStage is what a stage that is still to run asks of its pool.
type PendingStage struct {
	Stage, Pool string
	// Expected is the service time to assume while none has been observed.
	Expected time.Duration
	// WorkAhead is the cost that the pool serves first, in endpoint milliseconds.
	WorkAhead float64
	// WorstWorkAhead is Ahead for the case that every account takes up its share; 0 if not known.
	WorstWorkAhead float64
	// Capacity is the cost a millisecond that this entry may count on in the pool.
	Capacity float64
}

// Admitter remembers service times and waits. It is not safe for concurrent use: the
// reducer owns it.
type Admitter struct {
	cfg    Config
	stages map[string]*stage
	pools  map[string]*pool
}

// New makes an Admitter that has observed nothing.
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

// Observe takes in the service time and cost of a stage call that ended well.
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

// ObserveWait takes in how long an item waited in a pool's queue before it was dispatched.
func (a *Admitter) ObserveWait(name string, waited time.Duration, _ time.Time) {
	p := a.pool(name)
	p.waited += waitWeight * (float64(waited) - p.waited)
}

// MeanWait is the recent mean of the waits in a pool's queue, for operators. Decisions don't
// rest on it: it is a mean over accounts whose waits differ by what they send.
func (a *Admitter) MeanWait(name string) time.Duration {
	p, ok := a.pools[name]
	if !ok {
		return 0
	}
	return time.Duration(p.waited)
}

// Admit tells whether a request with these stages is expected to finish by the deadline.
func (a *Admitter) Admit(stages []PendingStage, deadline time.Time, now time.Time) Decision {
	f := a.forecast(stages)
	slack := float64(deadline.Sub(now)) - f.service - math.Sqrt(f.above)
	excess := f.wait - a.cfg.WaitFraction*slack
	if excess <= 0 || f.worst <= a.cfg.WorstWaitFraction*slack {
		return Admitted{}
	}
	return refuse(a.comeBack(stages, time.Duration(excess), now))
}

// Budget gives the time that the first of the stages may take so that the ones after it
// are still expected to finish by the deadline. The last stage gets all that is left.
func (a *Admitter) Budget(stages []PendingStage, deadline, now time.Time) time.Duration {
	left := deadline.Sub(now)
	if len(stages) <= 1 {
		return max(left, 0)
	}
	rest := a.forecast(stages[1:])
	return max(left-time.Duration(rest.service+rest.wait), 0)
}

// CannotFinish tells that the stages can't finish by the deadline even if they go well.
func (a *Admitter) CannotFinish(stages []PendingStage, deadline, now time.Time) bool {
	f := a.forecast(stages)
	best := f.service + f.wait - math.Sqrt(f.below)
	return best > float64(deadline.Sub(now))
}

// ExpectedCost is the mean cost of the stage in endpoint milliseconds, or fallback while
// none has been observed.
func (a *Admitter) ExpectedCost(name string, fallback float64) float64 {
	s, ok := a.stages[name]
	if !ok || s.count == 0 {
		return fallback
	}
	return s.cost
}

// forecast is the expected time of a run of stages, in nanoseconds.
type forecast struct {
	// service and wait are means; worst is the wait when every account takes up its share.
	service, wait, worst float64
	// above and below are sums of squares of the distances from the mean to the high and low
	// quantiles: stages vary independently, so their spreads add as squares. Adding the
	// quantiles themselves would refuse requests that finish.
	above, below float64
}

// forecast adds up the stages. What is ahead in a pool now is worked off while the request is still at earlier
// stages: counted in full, a pool at half its load would seem to have a queue, made of requests that reach
// it one by one.
func (a *Admitter) forecast(stages []PendingStage) forecast {
	var f forecast
	for i := range stages {
		low, mean, high := a.service(&stages[i])
		f.wait += max(0, stages[i].wait()-f.service-f.wait)
		f.worst += max(0, stages[i].waitFor(max(stages[i].WorkAhead, stages[i].WorstWorkAhead))-f.service-f.worst)
		f.service += mean
		f.above += (high - mean) * (high - mean)
		f.below += (mean - low) * (mean - low)
	}
	return f
}

func (a *Admitter) service(ask *PendingStage) (low, mean, high float64) {
	s, ok := a.stages[ask.Stage]
	if !ok || s.count == 0 {
		expected := float64(ask.Expected)
		return expected, expected, expected
	}
	return float64(s.low), float64(s.mean), float64(s.high)
}
