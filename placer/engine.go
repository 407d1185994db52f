package placer

import (
	"slices"
	"time"

	"geraniumline/publisher"
)

// Assignment is the model that an engine holds or should hold.
type Assignment struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Loading is set while the engine does not yet serve the model.
	Loading bool
	// Fence is the fencing token of the last order that the engine accepted.
	Fence int64
}

// sameWeights reports whether an engine can switch between the two assignments without loading weights.
func (a *Assignment) sameWeights(b *Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// engine is the known state of one engine.
type engine struct {
	address string
	state   Assignment
	// readAt is the time at which the read of state was started. It is zero if the state was never read.
	readAt time.Time
	// doubtful is set if the engine has failed a call since its state was read.
	doubtful bool
	// pending is the state in the last order while it is unknown whether the order took effect.
	pending *Assignment
	// resultAt is the time at which the result of that order was recorded. It is zero while the order is in flight.
	resultAt time.Time
	// confirmedFence is the fencing token of the last order that certainly took effect. An engine that ignores fencing
	// tokens need not report the token that it was sent.
	confirmedFence int64
	retryAt        time.Time
	failures       int
}

// expectedState returns the state that the engine is in, or will be in if its last order takes effect.
func (e *engine) expectedState() *Assignment {
	if e.pending != nil {
		return e.pending
	}
	return &e.state
}

// current reports whether the engine's state was read recently and no order is pending that changes it.
func (e *engine) current(now time.Time, maxAge time.Duration) bool {
	return e.pending == nil && !e.readAt.IsZero() && now.Sub(e.readAt) < maxAge
}

func assignmentOf(m *publisher.PlacedModel) Assignment {
	return Assignment{Model: m.Model, Version: m.Version, Adapters: m.Adapters, Role: m.Role}
}
