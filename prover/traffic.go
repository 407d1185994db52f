package prover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"geraniumline/caller"
	"geraniumline/demonstrator"
	"geraniumline/faker"
)

const (
	defaultDeadline = 4 * time.Second
	// attemptTimeout is how long a caller waits for one entry before it sends the key to another.
	attemptTimeout = 1500 * time.Millisecond
	maxAttempts    = 6
	outcomeNotRun  = "notRun"
	codeStopping   = "stopping"
	codeNotReady   = "notReady"
)

// sent is one request and what became of it.
type sent struct {
	pipeline, key, input string
	at                   time.Time
	took                 time.Duration
	answer               caller.Answer
	err                  error
}

func (s *sent) failure() *caller.FailedError {
	var failed *caller.FailedError
	if errors.As(s.err, &failed) {
		return failed
	}
	return nil
}

// Counts is what became of a proof's requests.
type Counts struct {
	Requests, Answered, NotRun, Unknown int
	// Lost counts requests without a truthful end, and answers that no ledger shows.
	Lost int
	// Doubled counts stages that must not be repeated and ran more than once.
	Doubled int
	// Untrue counts requests told notRun of which a ledger shows anything, and answers that are not whole or
	// not the request's own.
	Untrue int
}

func ticket() string  { return demonstrator.Ticket().Name }
func summary() string { return demonstrator.Summary().Name }

// request makes a request with a key and an input of its own.
func (b *bench) request(pipeline string) (*sent, error) {
	key, err := caller.NewKey()
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	s := &sent{pipeline: pipeline, key: key, input: fmt.Sprintf("report %d", b.seq), at: time.Now()}
	b.sent = append(b.sent, s)
	return s, nil
}

// send sends a request as a careful caller does: when a connection breaks, or an entry is silent or stopping, the
// same key goes to the next address. The first truthful end is kept.
func (b *bench) send(ctx context.Context, s *sent, deadline, perAttempt time.Duration) {
	defer func() { s.took = time.Since(s.at) }()
	until := time.Now().Add(deadline)
	var addresses []string
	for attempt := range maxAttempts {
		asked, err := b.client.Addresses(ctx)
		if err != nil {
			s.err = err
			continue
		}
		if attempt == 0 {
			addresses = asked
		}
		// An address that failed is tried last.
		for _, address := range asked {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
		s.answer, s.err = b.sendOnce(ctx, s, addresses[attempt%len(addresses)], time.Until(until), perAttempt)
		if failed := s.failure(); s.err == nil || failed != nil && failed.Code != codeStopping && failed.Code != codeNotReady {
			return
		}
	}
}

func (b *bench) sendOnce(ctx context.Context, s *sent, address string, deadline, timeout time.Duration) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return b.client.SendTo(ctx, address, caller.Request{Pipeline: s.pipeline, Key: s.key, Input: s.input, Deadline: max(deadline, time.Second)})
}

// traffic sends requests at an even rate until its stop is called, which waits for the last of them.
func (b *bench) traffic(ctx context.Context, pipeline string, perSecond int) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s, err := b.request(pipeline)
				if err != nil {
					return
				}
				group.Go(func() { b.send(ctx, s, defaultDeadline, attemptTimeout) })
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// between gives the requests of a pipeline that were sent in a span of time.
func (b *bench) between(pipeline string, from, to time.Time) []*sent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*sent
	for _, s := range b.sent {
		if s.pipeline == pipeline && !s.at.Before(from) && s.at.Before(to) {
			all = append(all, s)
		}
	}
	return all
}

// attainment is the share of requests that were answered in time, in percent.
func attainment(all []*sent) float64 {
	if len(all) == 0 {
		return 100
	}
	n := 0
	for _, s := range all {
		if s.err == nil && s.took <= defaultDeadline {
			n++
		}
	}
	return 100 * float64(n) / float64(len(all))
}

// quantiles gives the median, the 99th percentile and the greatest of some times.
func quantiles(all []time.Duration) (p50, p99, worst time.Duration) {
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	last := len(all) - 1
	return all[last/2], all[last*99/100], all[last]
}

// count holds what callers were told against the endpoints' ledgers.
func (b *bench) count(ctx context.Context) Counts {
	executions, err := b.fleet.Executions(ctx)
	ran := map[string]bool{}
	for _, execution := range executions {
		ran[execution.IdempotencyKey] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := Counts{Requests: len(b.sent), Doubled: len(faker.RepeatedSideEffects(executions))}
	if err != nil {
		counts.Lost = len(b.sent)
		return counts
	}
	for _, s := range b.sent {
		counts.add(s, ran[s.key])
	}
	return counts
}

func (c *Counts) add(s *sent, ran bool) {
	failed := s.failure()
	switch {
	case s.err == nil:
		c.Answered++
		if !ran {
			c.Lost++
		}
		if !demonstrator.IsOwnAnswer(s.pipeline, s.input, s.answer.Text) {
			c.Untrue++
		}
	case failed == nil:
		c.Lost++
	case failed.Outcome == outcomeNotRun:
		c.NotRun++
		if ran {
			c.Untrue++
		}
	default:
		c.Unknown++
	}
}
