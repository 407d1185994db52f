// Package receiver serves the HTTP APIs for callers and operators: it converts calls to events for the core
// and the core's effects to responses. All decisions are made in the core.
package receiver

import (
	"context"
	"time"

	"geraniumline/performer"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

// Core processes events and returns the effects that answer them.
type Core interface {
	Post(event reducer.Event)
	Open(span *tracer.Span) (uint64, *performer.ReplyQueue)
	Close(id uint64)
	// Exited returns a channel that is closed once events are no longer processed. Stopped then reports whether all requests
	// that the core began have been answered.
	Exited() <-chan struct{}
	Stopped() bool
}

// postAndWait posts the event built for a new id and returns the first effect that answers it. It returns
// ctx's error if ctx ends first, and a *FailureError if exited is closed before the effect; a nil channel never is.
func postAndWait(ctx context.Context, core Core, exited <-chan struct{}, newEvent func(id uint64) reducer.Event) (reducer.Effect, error) {
	id, reply := core.Open(nil)
	defer core.Close(id)
	core.Post(newEvent(id))
	for {
		select {
		case <-ctx.Done():
			core.Post(reducer.CallerDisconnected{ID: id})
			return nil, ctx.Err()
		case <-reply.Signal():
			if effects := reply.Take(); len(effects) > 0 {
				return effects[0], nil
			}
		case <-exited:
			if effects := reply.Take(); len(effects) > 0 {
				return effects[0], nil
			}
			return nil, &FailureError{Failure: stoppedFailure(reducer.StateUnknown)}
		}
	}
}

// now returns the current time for spans and request metrics.
func now() time.Time { return time.Now() }
