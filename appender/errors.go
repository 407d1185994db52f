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

// RefusedError reports that a record has not been appended and will not be.
type RefusedError struct {
	Stream string
	// RetryAfter is the delay that the log asked for, or 0.
	RetryAfter time.Duration
	Cause      error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %v", e.Stream, e.Cause)
}

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UncertainError reports that a record may have been appended or may still be.
type UncertainError struct {
	Stream string
	Cause  error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("append to %s has an uncertain outcome: %v", e.Stream, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ReadError reports a failed read, which has no effect on the log.
type ReadError struct {
	Stream string
	From   int64
	// RetryAfter is the delay that the log asked for, or 0.
	RetryAfter time.Duration
	Cause      error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("read of %s from %d: %v", e.Stream, e.From, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Cause }

// StaleEraError reports a page from before the log was restored from an older copy.
type StaleEraError struct {
	Known    int64
	Received int64
}

func (e *StaleEraError) Error() string {
	return fmt.Sprintf("page of era %d after one of era %d", e.Received, e.Known)
}

// appendError classifies a failed append. Only two kinds are certain not to have taken effect: a connection that was
// never established, and a reply with a status that excludes it. After any other failure, including a server error, the
// record may be in the log; an entry that treated it as refused would report "not run" for a request that then runs.
func appendError(stream string, err error) error {
	if notSent(err) || refusedByStatus(err) {
		return &RefusedError{Stream: stream, RetryAfter: retryAfter(err), Cause: err}
	}
	return &UncertainError{Stream: stream, Cause: err}
}

func notSent(err error) bool {
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
