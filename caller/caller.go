// Package caller is the client of a client account: it asks the system which entries to use, keeps that
// answer for its time to live, sends a request, and sends it again elsewhere only where that is safe.
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Config says who calls and where the first question goes.
type Config struct {
	Account    string
	Credential string
	// Entries are the caller addresses of some entries, asked in turn for the ranked list.
	Entries []string
	HTTP    *http.Client
	// Scheme is http or https; http when empty.
	Scheme string
	// Grace is how long after a request's deadline its outcome is still waited for; defaultGrace when zero.
	Grace time.Duration
	// Now is the clock; nil takes the system's.
	Now func() time.Time
	// Wait waits between two calls to entries, or fails with the context; nil sleeps.
	Wait func(ctx context.Context, d time.Duration) error
}

// defaultGrace lets the entry's own answer on the deadline arrive.
const defaultGrace = 500 * time.Millisecond

// Caller sends requests of one client account.
type Caller struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// New makes a caller.
func New(cfg Config) *Caller {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{}
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	if cfg.Grace == 0 {
		cfg.Grace = defaultGrace
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Wait == nil {
		cfg.Wait = sleep
	}
	return &Caller{cfg: cfg}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Request is one request for a pipeline.
type Request struct {
	Pipeline string
	// Key is the idempotency key; a UUIDv7 is made when it is empty.
	Key      string
	Input    string
	Deadline time.Duration
	// Traceparent is the W3C trace context to carry on; without it the entry begins a trace.
	Traceparent string
	// Stream asks for the answer's parts as they come.
	Stream bool
	// OnPart is called with each part of a streamed answer, and may be nil. Send calls it once for each piece of
	// text, also where a later try streams the answer from its start.
	OnPart func(text string)
}

// Answer is a whole answer.
type Answer struct {
	RequestID string
	Key       string
	Text      string
	// TraceID leads to the request's hops.
	TraceID string
	// Entry is the address that answered.
	Entry string
	// Attempts is how often the request was sent.
	Attempts int
}

// NewKey makes an idempotency key that carries its time of birth.
func NewKey() (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return key.String(), nil
}
