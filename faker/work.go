package faker

import (
	"context"
	"strings"
	"time"
)

// work is what an endpoint does with a call: generate tokens or answer at once.
type work interface{ isWork() }

func (*generator) isWork() {}
func (*answerer) isWork()  {}

// result is what the final part of a stream needs.
type result struct {
	lastText     string
	cachedTokens int
}

func (e *Endpoint) runWork(ctx context.Context, s *stream, input string) (result, error) {
	slow := func() float64 { return e.faults.get().slowFactor() }
	switch work := e.work.(type) {
	case *generator:
		return work.generate(ctx, s, generation{
			input:   input,
			slow:    slow,
			running: e.queue.runningNow,
			gap:     e.cacheEventLost,
		})
	case *answerer:
		return work.answer(ctx, s, slow(), e.random())
	default:
		return result{}, errFailedBySwitch
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

func containsMark(input, mark string) bool {
	return strings.Contains(input, mark)
}
