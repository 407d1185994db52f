// Package placer decides which orders to send to a pool's engines, so that they hold the models of the placement in
// force where the demand is. It has no clock of its own: callers pass in the current time. It keeps no state that a new
// orderer could not read back from the engines.
package placer

import "time"

// Defaults of Config.
const (
	// DefaultLoadsPerSecond and DefaultLoadBurst are the limits of the weight store for all engines together.
	DefaultLoadsPerSecond = 1
	DefaultLoadBurst      = 2
	// DefaultMoveRatio is the minimum ratio of the receiving model's demand per copy to the giving model's after a
	// move.
	DefaultMoveRatio = 1.2
	// DefaultMoveDelay is how long a move to a model must be due before the model is given an engine of another.
	DefaultMoveDelay = 5 * time.Second
	// DefaultDemandTimeConstant is the time in which past demand decays to about a third.
	DefaultDemandTimeConstant = 5 * time.Second
	// DefaultBaselineDemand is the demand, in endpoint milliseconds, that a model of average weight has in addition to
	// its backlog. Smaller backlogs are noise that moves no engine, and the engines of an idle pool are divided by
	// weight.
	DefaultBaselineDemand = 1000
	// DefaultStateMaxAge is the maximum age of an engine's last read state for the engine to count as a certain copy.
	DefaultStateMaxAge = 10 * time.Second
	// DefaultRetryAfter is the first wait after a failed order, and MaxRetryAfter the longest.
	DefaultRetryAfter = time.Second
	MaxRetryAfter     = time.Minute
)

// Config configures a Placer. Zero fields take the defaults above.
type Config struct {
	LoadsPerSecond     float64
	LoadBurst          int
	MoveRatio          float64
	MoveDelay          time.Duration
	DemandTimeConstant time.Duration
	BaselineDemand     float64
	StateMaxAge        time.Duration
	RetryAfter         time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&c.LoadBurst, DefaultLoadBurst)
	setDefault(&c.MoveRatio, DefaultMoveRatio)
	setDefault(&c.MoveDelay, DefaultMoveDelay)
	setDefault(&c.DemandTimeConstant, DefaultDemandTimeConstant)
	setDefault(&c.BaselineDemand, DefaultBaselineDemand)
	setDefault(&c.StateMaxAge, DefaultStateMaxAge)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
