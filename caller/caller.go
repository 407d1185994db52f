// Package caller is the client library for client accounts: it requests the list of entries to use, caches that
// list for its time to live, sends requests, and retries them on other entries only where that is safe.
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Config configures a Caller.
type Config struct {
	Account    string
	Credential string
	// Entries are the caller addresses of some entries, which are tried in turn for the ranked list of addresses.
	Entries []string
	HTTP    *http.Client
	// Scheme is http or https; it defaults to http.
	Scheme string
	// Grace is how long after a request's deadline Send still waits for its outcome; it defaults to defaultGrace.
	Grace time.Duration
	// Now returns the current time; it defaults to time.Now.
	Now func() time.Time
	// Wait waits for d between two calls to entries, or returns ctx's error if that ends first; it defaults to a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// defaultGrace leaves time for the entry's own response at the deadline to arrive.
const defaultGrace = 500 * time.Millisecond

// Caller sends requests of one client account.
type Caller struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	expiry    time.Time // of addresses
}

// New returns a Caller.
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
	// Key is the idempotency key; if empty, Send generates a UUIDv7.
	Key   string
	Input string
	// Deadline is how long after Send the answer is still of use.
	Deadline time.Duration
	// Traceparent is the W3C trace context to continue; if empty, the entry starts a new trace.
	Traceparent string
	// Stream requests the answer in parts as they are produced.
	Stream bool
	// OnPart is called with each part of a streamed answer; it may be nil. Send passes each piece of text once, even if
	// a retry streams the answer from its start.
	OnPart func(text string)
}

// Answer is the complete answer to a request.
type Answer struct {
	RequestID string
	Key       string
	Text      string
	// TraceID identifies the trace with the request's hops.
	TraceID string
	// Entry is the address of the entry that answered.
	Entry string
	// Attempts is how many times the request was sent.
	Attempts int
}

// NewKey returns a new idempotency key: a UUIDv7, which contains its creation time.
func NewKey() (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return key.String(), nil
}
