package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"geraniumline/callerserver"
)

// RequestError reports a request without an answer. Its Outcome is notRun or unknown.
type RequestError struct {
	Code       string
	Message    string
	Outcome    string
	Key        string
	RetryAfter time.Duration
	// Status is the HTTP status of the failure response to the request; 0 if there was none.
	Status int
	// Entry is the address that was tried last.
	Entry string
	// Attempts is how many times the request was sent.
	Attempts int
}

func (e *RequestError) Error() string {
	if e.Code == "" {
		return fmt.Sprintf("%s (%s)", e.Message, e.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// NoEntryError reports that no entry returned a list of addresses. Err is the last error and may be nil.
type NoEntryError struct{ Err error }

func (e *NoEntryError) Error() string { return fmt.Sprintf("no entry returned addresses: %v", e.Err) }

// Unwrap returns the last error.
func (e *NoEntryError) Unwrap() error { return e.Err }

// invalidRequestError reports a request that could not be built, so nothing was sent.
type invalidRequestError struct{ err error }

func (e *invalidRequestError) Error() string { return e.err.Error() }

func (e *invalidRequestError) Unwrap() error { return e.err }

// NotSent reports whether a call failed before any byte of it can have been sent.
func NotSent(err error) bool {
	var invalid *invalidRequestError
	var netErr *net.OpError
	return errors.As(err, &invalid) || errors.As(err, &netErr) && netErr.Op == "dial"
}

// parseFailure decodes an entry's failure response to a RequestError. It returns another error if the body is not a
// valid failure.
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
