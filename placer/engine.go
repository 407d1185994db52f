package placer

import (
	"slices"
	"time"

	"geraniumline/publisher"
)

// Assignment is what an engine holds, or is to hold.
type Assignment struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Loading tells that the engine does not serve the model yet.
	Loading bool
	// Fence is the number of the last order that the engine took.
	Fence int64
}

// sameWeights tells whether an engine may go from one assignment to the other without a load.
func (a *Assignment) sameWeights(b *Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// engine is what is known of one engine.
type engine struct {
	address string
	state   Assignment
	// readAt is when the state was asked for; zero while it never was read.
	readAt time.Time
	// doubted tells that the engine failed a call since its state was read.
	doubtful bool
	// wanted is the last order's state while it is not known whether the order took effect.
	pending *Assignment
	// ended is when that order's end was told; zero while the order is under way.
	resultAt time.Time
	// told is the number of the last order that surely took effect: an engine that ignores numbers need not
	// report the one that it was told.
	confirmedFence int64
	retryAt        time.Time
	failures       int
}

// expected is the state that the engine is in, or goes to if its last order takes effect.
func (e *engine) expectedState() *Assignment {
	if e.pending != nil {
		return e.pending
	}
	return &e.state
}

// sure tells that the engine's state was read a short time ago and nothing is under way that changes it.
func (e *engine) current(now time.Time, freshFor time.Duration) bool {
	return e.pending == nil && !e.readAt.IsZero() && now.Sub(e.readAt) < freshFor
}

func assignmentOf(m *publisher.PlacedModel) Assignment {
	return Assignment{Model: m.Model, Version: m.Version, Adapters: m.Adapters, Role: m.Role}
}
