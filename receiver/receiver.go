// Package receiver serves the callers' and the operators' HTTP interfaces: it turns calls into events
// for the core and the core's answers into replies. It decides nothing.
package receiver

import (
	"context"
	"time"

	"geraniumline/performer"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

// Core takes events and leads the answers back.
type Core interface {
	Post(event reducer.Event)
	Open(span *tracer.Span) (uint64, *performer.ReplyQueue)
	Close(id uint64)
}

// ask posts the event that the id belongs to and waits for its one answer.
func ask(ctx context.Context, core Core, event func(id uint64) reducer.Event) (reducer.Effect, error) {
	id, reply := core.Open(nil)
	defer core.Close(id)
	core.Post(event(id))
	for {
		select {
		case <-ctx.Done():
			core.Post(reducer.CallerDisconnected{ID: id})
			return nil, ctx.Err()
		case <-reply.Signal():
			if effects := reply.Take(); len(effects) > 0 {
				return effects[0], nil
			}
		}
	}
}

// now is the handlers' clock; only spans need it.
func now() time.Time { return time.Now() }
