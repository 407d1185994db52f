package faker

import (
	"context"
	"strings"
	"time"
)

// work is what an endpoint does with a call: generate tokens or answer at once.
type processor interface{ isProcessor() }

func (*generator) isProcessor() {}
func (*responder) isProcessor() {}

// result is what the final part of a stream needs.
type result struct {
	lastText     string
	cachedTokens int
}

func (e *Endpoint) process(ctx context.Context, s *stream, input string) (result, error) {
	slowFactor := func() float64 { return e.faults.get().slowFactor() }
	switch processor := e.processor.(type) {
	case *generator:
		return processor.generate(ctx, s, generation{
			input:      input,
			slowFactor: slowFactor,
			running:    e.queue.runningNow,
			isLost:     e.cacheEventLost,
		})
	case *responder:
		return processor.respond(ctx, s, slowFactor(), e.random())
	default:
		return result{}, errInjectedFailure
	}
}

// sleep waits for d or until the context's end.
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
