package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"geraniumline/callerserver"
)

// RequestError tells that a request has no answer: Outcome is notRun or unknown.
type RequestError struct {
	Code       string
	Message    string
	Outcome    string
	Key        string
	RetryAfter time.Duration
	// Status is the HTTP status; 0 where no entry gave the outcome.
	Status int
	// Entry is the last address that was tried.
	Entry string
	// Attempts is how often the request was sent.
	Attempts int
}

func (e *RequestError) Error() string {
	if e.Code == "" {
		return fmt.Sprintf("%s (%s)", e.Message, e.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// NoEntryError tells that no entry answered the question for addresses.
type NoEntryError struct{ Err error }

func (e *NoEntryError) Error() string { return fmt.Sprintf("no entry answers: %v", e.Err) }

// Unwrap gives the last error.
func (e *NoEntryError) Unwrap() error { return e.Err }

// unsendableError tells of a request that could not be put together, so nothing of it was sent.
type unsendableError struct{ err error }

func (e *unsendableError) Error() string { return e.err.Error() }

func (e *unsendableError) Unwrap() error { return e.err }

// NotSent tells whether a call failed before any byte of it could have left.
func NotSent(err error) bool {
	var unsendable *unsendableError
	var netErr *net.OpError
	return errors.As(err, &unsendable) || errors.As(err, &netErr) && netErr.Op == "dial"
}

// parseFailure reads an entry's failure; a body that is none gives another error.
func parseFailure(status int, body []byte) error {
	var failure callerserver.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("status %d: %w", status, err)
	}
	return &RequestError{
		Code:       failure.Code,
		Message:    failure.Message,
		Outcome:    string(failure.Outcome),
		Key:        failure.Key.Value,
		RetryAfter: time.Duration(failure.RetryAfterMillis.Value) * time.Millisecond,
		Status:     status,
	}
}
