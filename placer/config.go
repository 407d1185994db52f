// Package placer decides which orders a pool's engines are to be given, so that they hold the models of the placement
// in force where the demand is. It is pure: the present time is given to it, and it keeps nothing that a new orderer
// could not read back from the engines.
package placer

import "time"

// Defaults of Config.
const (
	// DefaultLoadsPerSecond and DefaultLoadBurst are what the weight store allows all engines together.
	DefaultLoadsPerSecond = 1
	DefaultLoadBurst      = 2
	// DefaultMoveRatio is how much more pressed than the giving model the receiving one must be after the move.
	DefaultMoveRatio = 1.2
	// DefaultMoveDelay is how long a model must be the more pressed one before it is given an engine of another.
	DefaultMoveDelay = 5 * time.Second
	// DefaultDemandTimeConstant is the time in which an old demand fades to a third.
	DefaultDemandTimeConstant = 5 * time.Second
	// DefaultBaselineDemand is the demand, in endpoint milliseconds, that a model of mean weight counts as having beside
	// its backlog. Below it noise moves nothing, and a quiet pool is shared out by weight.
	DefaultBaselineDemand = 1000
	// DefaultStateMaxAge is how old the reading of an engine may be for the engine to count as a sure copy.
	DefaultStateMaxAge = 10 * time.Second
	// DefaultRetryAfter is the first wait after an order that failed; MaxRetryAfter the longest.
	DefaultRetryAfter = time.Second
	MaxRetryAfter     = time.Minute
)

// Config sets a Placer up. Zero fields take the defaults above.
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
