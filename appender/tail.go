package appender

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// unknownEra is the era before the first page; it is below all valid ones.
const unknownEra = -1

// Tail reads a stream from an offset on until ctx ends. It calls sink with each page in order, including empty ones, since
// each reports First. It calls status with the error of each failed read, and with nil on the first success after a
// failure. When the log has been restored from an older copy, Tail rereads the stream from its beginning.
func (a *Appender) Tail(ctx context.Context, stream string, from int64, sink func(Page), status func(error)) {
	backoff := a.cfg.MinBackoff
	failing := false
	era := int64(unknownEra)
	for ctx.Err() == nil {
		wait := a.cfg.PollWait
		if failing {
			// A log that recovers may never answer reads sent during its outage. Without a wait such a read times out sooner.
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
			sleep(ctx, max(jitter(backoff), requestedDelay(err)))
			backoff = min(2*backoff, a.cfg.MaxBackoff)
			continue
		}
		if failing {
			failing = false
			status(nil)
		}
		backoff = a.cfg.MinBackoff
		if page.Era > era {
			restored := era != unknownEra
			era = page.Era
			if restored {
				// The page was requested with an offset of the previous era.
				from = 0
				continue
			}
		}
		sink(page)
		from = max(from, page.Next)
	}
}

// requestedDelay returns the delay that the log asked for in a failed read, or 0.
func requestedDelay(err error) time.Duration {
	var failed *ReadError
	if errors.As(err, &failed) {
		return failed.RetryAfter
	}
	return 0
}

// jitter returns a random duration between d/2 and d, so that the entries do not all retry at once when the log recovers.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
