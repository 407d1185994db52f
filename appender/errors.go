package appender

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"geraniumline/platformserver"
)

// RefusedError tells of an append that surely did not take place and never will.
type RefusedError struct {
	Stream string
	// RetryAfter is the log's wish, 0 for none.
	RetryAfter time.Duration
	Cause      error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %v", e.Stream, e.Cause)
}

// Unwrap gives the client's error.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UncertainError tells of an append that may have taken place, or may yet.
type UncertainError struct {
	Stream string
	Cause  error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("append to %s without a clear reply: %v", e.Stream, e.Cause)
}

// Unwrap gives the client's error.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ReadError tells of a read that failed; it has no effect.
type ReadError struct {
	Stream     string
	From       int64
	RetryAfter time.Duration
	Cause      error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("read of %s from %d: %v", e.Stream, e.From, e.Cause)
}

// Unwrap gives the client's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// StaleEraError tells of a page from before the log returned from an older copy.
type StaleEraError struct {
	Known    int64
	Received int64
}

func (e *StaleEraError) Error() string {
	return fmt.Sprintf("page of era %d after one of era %d", e.Received, e.Known)
}

// appendError sorts a failed append. Only two kinds are sure: a connection that was never made, and a reply
// that says so by its status. Anything else, a server error included, may hide an append that took effect;
// a caller who took it for a refusal would say "not run" of a request that then runs.
func appendError(stream string, err error) error {
	if neverSent(err) || refusedByStatus(err) {
		return &RefusedError{Stream: stream, RetryAfter: retryAfter(err), Cause: err}
	}
	return &UncertainError{Stream: stream, Cause: err}
}

func neverSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func refusedByStatus(err error) bool {
	var reply *platformserver.PlatformErrorStatusCode
	if !errors.As(err, &reply) {
		return false
	}
	switch reply.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}
