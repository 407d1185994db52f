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
	// attemptTimeout is how long a caller waits for a response of one entry before it sends the key to another.
	attemptTimeout = 1500 * time.Millisecond
	maxAttempts    = 6
	outcomeNotRun  = "notRun"
	codeStopping   = "stopping"
	codeNotReady   = "notReady"
)

// sent is one request and its outcome.
type sent struct {
	pipeline, key, input string
	at                   time.Time
	took                 time.Duration
	answer               caller.Answer
	err                  error
}

// failure returns the failure that the service reported for the request, or nil if there is none.
func (s *sent) failure() *caller.RequestError {
	var failed *caller.RequestError
	if errors.As(s.err, &failed) {
		return failed
	}
	return nil
}

// Counts holds the numbers of a proof's requests by outcome.
type Counts struct {
	Requests, Answered, NotRun, Unknown int
	// Lost counts requests without a definite outcome and answers without an execution in any ledger.
	Lost int
	// Doubled counts non-repeatable stages that ran more than once.
	Doubled int
	// Untrue counts requests that ended with notRun but have an execution in a ledger, and answers that are incomplete or
	// belong to another request.
	Untrue int
}

func ticket() string  { return demonstrator.TicketPipeline().Name }
func summary() string { return demonstrator.SummaryPipeline().Name }

// request records a new request with a unique key and input.
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

// send sends a request as a careful caller does: if the connection breaks, or the entry does not respond, is stopping or is
// not ready, it sends the same key to the next address. It keeps the first definite outcome.
func (b *bench) send(ctx context.Context, s *sent, deadline, perAttempt time.Duration) {
	defer func() { s.took = time.Since(s.at) }()
	deadlineAt := time.Now().Add(deadline)
	var addresses []string
	for attempt := range maxAttempts {
		current, err := b.client.Addresses(ctx)
		if err != nil {
			s.err = err
			continue
		}
		if attempt == 0 {
			addresses = current
		}
		// New addresses are appended, so that an address that failed is tried again only after all others.
		for _, address := range current {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
		s.answer, s.err = b.sendOnce(ctx, s, addresses[attempt%len(addresses)], time.Until(deadlineAt), perAttempt)
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

// traffic sends requests at a constant rate, in the background, until stop is called. stop waits for the last of them.
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

// between returns the requests of a pipeline that were created at from or later and before to.
func (b *bench) between(pipeline string, from, to time.Time) []*sent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var requests []*sent
	for _, s := range b.sent {
		if s.pipeline == pipeline && !s.at.Before(from) && s.at.Before(to) {
			requests = append(requests, s)
		}
	}
	return requests
}

// attainment returns the share of requests, in percent, that were answered within the default deadline. It is 100 if there
// are none.
func attainment(requests []*sent) float64 {
	if len(requests) == 0 {
		return 100
	}
	answered := 0
	for _, s := range requests {
		if s.err == nil && s.took <= defaultDeadline {
			answered++
		}
	}
	return 100 * float64(answered) / float64(len(requests))
}

// misses counts the requests that were not answered within the default deadline, by what came instead.
func misses(requests []*sent) map[string]int {
	counts := make(map[string]int)
	for _, s := range requests {
		failed := s.failure()
		switch {
		case failed != nil:
			counts[failed.Outcome+" "+failed.Code]++
		case s.err != nil:
			counts["no response"]++
		case s.took > defaultDeadline:
			counts["late"]++
		}
	}
	return counts
}

// quantiles returns the median, the 99th percentile and the maximum of some durations, which it sorts in place.
func quantiles(durations []time.Duration) (p50, p99, worst time.Duration) {
	if len(durations) == 0 {
		return 0, 0, 0
	}
	slices.Sort(durations)
	last := len(durations) - 1
	return durations[last/2], durations[last*99/100], durations[last]
}

// count compares the outcomes that callers received with the endpoints' ledgers.
func (b *bench) count(ctx context.Context) Counts {
	executions, err := b.fleet.Executions(ctx)
	executed := map[string]bool{}
	for _, execution := range executions {
		executed[execution.IdempotencyKey] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := Counts{Requests: len(b.sent), Doubled: len(faker.RepeatedSideEffects(executions))}
	if err != nil {
		counts.Lost = len(b.sent)
		return counts
	}
	for _, s := range b.sent {
		counts.add(s, executed[s.key])
	}
	return counts
}

func (c *Counts) add(s *sent, executed bool) {
	failed := s.failure()
	switch {
	case s.err == nil:
		c.Answered++
		if !executed {
			c.Lost++
		}
		if !demonstrator.IsExpectedAnswer(s.pipeline, s.input, s.answer.Text) {
			c.Untrue++
		}
	case failed == nil:
		c.Lost++
	case failed.Outcome == outcomeNotRun:
		c.NotRun++
		if executed {
			c.Untrue++
		}
	default:
		c.Unknown++
	}
}
