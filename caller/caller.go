// Package caller is the client of a client account: it asks the system which entries to use, keeps that
// answer for its time to live, and sends a request again elsewhere only where that is safe.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"geraniumline/callerserver"
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
}

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
	return &Caller{cfg: cfg}
}

// Request is one request for a pipeline.
type Request struct {
	Pipeline string
	// Key is the idempotency key; a UUIDv7 is made when it is empty.
	Key      string
	Input    string
	Deadline time.Duration
}

// Answer is a whole answer.
type Answer struct {
	RequestID string
	Key       string
	Text      string
	// TraceID leads to the request's hops.
	TraceID string
	// Attempts is how many entries the request was sent to.
	Attempts int
}

// FailedError tells that a request has no answer: Outcome is notRun or unknown.
type FailedError struct {
	Code       string
	Message    string
	Outcome    string
	Key        string
	RetryAfter time.Duration
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// NoEntryError tells that no entry answered the question for addresses.
type NoEntryError struct{ Last error }

func (e *NoEntryError) Error() string { return fmt.Sprintf("no entry answers: %v", e.Last) }

// Unwrap gives the last error.
func (e *NoEntryError) Unwrap() error { return e.Last }

// NewKey makes an idempotency key that carries its time of birth.
func NewKey() (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return key.String(), nil
}

// Send sends a request and gives its whole answer. When a connection fails or an entry is stopping, the same
// key goes to the next address: the system runs a request that must not be repeated once for its key.
func (c *Caller) Send(ctx context.Context, request Request) (Answer, error) {
	if request.Key == "" {
		key, err := NewKey()
		if err != nil {
			return Answer{}, err
		}
		request.Key = key
	}
	until := time.Now().Add(request.Deadline)
	ctx, cancel := context.WithDeadline(ctx, until.Add(deadlineGrace))
	defer cancel()
	var last error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		addresses, err := c.Addresses(ctx)
		if err != nil {
			return Answer{}, err
		}
		request.Deadline = time.Until(until)
		if request.Deadline <= 0 {
			break
		}
		answer, err := c.try(ctx, addresses[(attempt-1)%len(addresses)], request)
		if err == nil {
			answer.Attempts = attempt
			return answer, nil
		}
		last = err
		if wait, again := comeBack(err, time.Until(until)); again {
			time.Sleep(wait)
			continue
		}
		if !worthAnother(err) {
			break
		}
		c.forget()
	}
	return Answer{}, last
}

// comeBack tells when to send a request again that was not run, if the entry said so and time is left.
func comeBack(err error, left time.Duration) (time.Duration, bool) {
	var failed *FailedError
	if !errors.As(err, &failed) || failed.Outcome != string(callerserver.FailureOutcomeNotRun) {
		return 0, false
	}
	return failed.RetryAfter, failed.RetryAfter > 0 && failed.RetryAfter < left
}

const (
	// maxAttempts bounds the entries that one request is sent to.
	maxAttempts = 8
	// deadlineGrace lets the entry's own answer on the deadline arrive.
	deadlineGrace = 500 * time.Millisecond
)

// worthAnother tells whether another entry may answer what this one did not.
func worthAnother(err error) bool {
	var failed *FailedError
	if !errors.As(err, &failed) {
		return true
	}
	return failed.Code == "stopping" || failed.Code == "notReady"
}

// Addresses gives the entries to use, best first, from the last answer or a new one.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, until := c.addresses, c.until
	c.mu.Unlock()
	if time.Now().Before(until) {
		return known, nil
	}
	var last error
	for _, entry := range append(known[:len(known):len(known)], c.cfg.Entries...) {
		answer, err := c.ask(ctx, entry)
		if err != nil {
			last = err
			continue
		}
		return c.keep(answer), nil
	}
	return nil, &NoEntryError{Last: last}
}

func (c *Caller) keep(answer *callerserver.AddressAnswer) []string {
	addresses := make([]string, 0, len(answer.Addresses))
	for _, address := range answer.Addresses {
		addresses = append(addresses, address.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.until = time.Now().Add(time.Duration(answer.TtlMillis) * time.Millisecond)
	return addresses
}

// forget has the next request ask for addresses again.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

const askTimeout = time.Second

func (c *Caller) ask(ctx context.Context, entry string) (*callerserver.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, _, err := c.do(ctx, http.MethodGet, entry, "/v1/addresses", "", nil)
	if err != nil {
		return nil, err
	}
	answer := &callerserver.AddressAnswer{}
	if err := answer.UnmarshalJSON(body); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, &NoEntryError{}
	}
	return answer, nil
}

// Outcome asks an entry what became of a request.
func (c *Caller) Outcome(ctx context.Context, key string) (*callerserver.Outcome, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	return c.OutcomeAt(ctx, addresses[0], key)
}

// OutcomeAt asks one entry what became of a request.
func (c *Caller) OutcomeAt(ctx context.Context, entry, key string) (*callerserver.Outcome, error) {
	body, _, err := c.do(ctx, http.MethodGet, entry, "/v1/requests/"+key, "", nil)
	if err != nil {
		return nil, err
	}
	outcome := &callerserver.Outcome{}
	return outcome, outcome.UnmarshalJSON(body)
}

// SendTo sends a request to one entry, once.
func (c *Caller) SendTo(ctx context.Context, entry string, request Request) (Answer, error) {
	return c.try(ctx, entry, request)
}

func (c *Caller) try(ctx context.Context, entry string, request Request) (Answer, error) {
	call := callerserver.PipelineRequest{Input: request.Input, DeadlineMillis: max(request.Deadline.Milliseconds(), 1)}
	body, err := call.MarshalJSON()
	if err != nil {
		return Answer{}, err
	}
	reply, header, err := c.do(ctx, http.MethodPost, entry, "/v1/pipelines/"+request.Pipeline+"/requests", request.Key, body)
	if err != nil {
		return Answer{}, err
	}
	var answer callerserver.Answer
	if err := answer.UnmarshalJSON(reply); err != nil {
		return Answer{}, err
	}
	return Answer{RequestID: answer.RequestId, Key: answer.Key, Text: answer.Answer, TraceID: header.Get("Trace-Id")}, nil
}

// maxReply bounds a reply, in bytes.
const maxReply = 16 << 20

func (c *Caller) do(ctx context.Context, method, entry, path, key string, body []byte) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.cfg.Scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.SetBasicAuth(c.cfg.Account, c.cfg.Credential)
	if key != "" {
		request.Header["Idempotency-Key"] = []string{key}
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.cfg.HTTP.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, failedOf(response.StatusCode, reply)
	}
	return reply, response.Header, nil
}

func failedOf(status int, body []byte) error {
	var failure callerserver.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("status %d: %w", status, err)
	}
	return &FailedError{
		Code:       failure.Code,
		Message:    failure.Message,
		Outcome:    string(failure.Outcome),
		Key:        failure.Key.Value,
		RetryAfter: time.Duration(failure.RetryAfterMillis.Value) * time.Millisecond,
	}
}
