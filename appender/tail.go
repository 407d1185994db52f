package appender

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// unknownEra is below that of any page.
const unknownEra = -1

// Tail reads a stream from an offset on until ctx ends. Each page goes to sink, in order, empty ones included,
// since First matters in each. Status is told of each failed read, and with nil of the first good one after.
// When the log has returned from an older copy, the stream is read anew from its beginning.
func (a *Appender) Tail(ctx context.Context, stream string, from int64, sink func(Page), status func(error)) {
	backoff := a.cfg.MinBackoff
	failing := false
	era := int64(unknownEra)
	for ctx.Err() == nil {
		wait := a.cfg.PollWait
		if failing {
			// A log that comes back may leave reads of its outage unanswered. Without a wait such a read is given up sooner.
			wait = 0
		}
		page, err := a.Read(ctx, stream, from, a.cfg.PageRecords, wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil && page.Era < era {
			err = &ReadError{Stream: stream, From: from, Cause: &StaleEraError{Known: era, Received: page.Era}}
		}
		if err != nil {
			failing = true
			status(err)
			pause(ctx, max(jitter(backoff), wish(err)))
			backoff = min(2*backoff, a.cfg.MaxBackoff)
			continue
		}
		if failing {
			failing = false
			status(nil)
		}
		backoff = a.cfg.MinBackoff
		if page.Era > era {
			renewed := era != unknownEra
			era = page.Era
			if renewed {
				// The page is of offsets that the era before has given.
				from = 0
				continue
			}
		}
		sink(page)
		from = max(from, page.Next)
	}
}

func wish(err error) time.Duration {
	var failed *ReadError
	if errors.As(err, &failed) {
		return failed.RetryAfter
	}
	return 0
}

// jitter keeps the entries from all coming back at once when the log does.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
