package faker

import (
	"context"
	"strings"
	"time"
)

// processor processes the calls of an endpoint. A generator produces tokens; a responder returns a
// single part.
type processor interface{ isProcessor() }

func (*generator) isProcessor() {}
func (*responder) isProcessor() {}

// result holds the data for the final part of a stream.
type result struct {
	lastText     string
	cachedTokens int
}

func (e *Endpoint) process(ctx context.Context, s *stream, input string) (result, error) {
	slowFactor := func() float64 { return e.faults.get().slowFactor() }
	switch processor := e.processor.(type) {
	case *generator:
		return processor.generate(ctx, s, generation{
			input:       input,
			slowFactor:  slowFactor,
			running:     e.queue.runningNow,
			isEventLost: e.cacheEventLost,
		})
	case *responder:
		return processor.respond(ctx, s, slowFactor(), e.random())
	default:
		return result{}, errInjectedFailure
	}
}

// sleep waits for d, or returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func containsMarker(input, marker string) bool {
	return strings.Contains(input, marker)
}
