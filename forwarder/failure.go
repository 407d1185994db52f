package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// FailureError is an answer of the system's own. Status 503 promises that the request has not run and never will; 502 and
// 504 promise nothing.
type FailureError struct {
	Status int
	// Reason is a short name for logs, metrics and callers.
	Reason string
	// RetryAfter tells the caller when to come back; 0 says nothing.
	RetryAfter time.Duration
}

func (f *FailureError) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Reason) }

// notRun promises that the request has not run.
func notRun(reason string, retryAfter time.Duration) *FailureError {
	return &FailureError{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// mayHaveRun promises nothing.
func mayHaveRun(reason string) *FailureError {
	return &FailureError{Status: http.StatusBadGateway, Reason: reason}
}

// timedOut promises nothing either: the request was with an endpoint when its time ended.
func timedOut() *FailureError {
	return &FailureError{Status: http.StatusGatewayTimeout, Reason: "timeout"}
}

// statusError tells of an answer with a status that says nothing of what was asked.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("answered with status %d", e.status) }

// send writes the failure as a whole answer.
func (f *FailureError) send(w http.ResponseWriter) {
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{f.Reason})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(f.Status)
	// An error means that the caller has gone.
	_, _ = w.Write(body)
}
