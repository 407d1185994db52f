package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// FailureError is a failure response from this system. Status 503 guarantees that the request has not run and never
// will; 502 and 504 guarantee nothing.
type FailureError struct {
	Status int
	// Reason is a short identifier for logs, metrics and callers.
	Reason string
	// RetryAfter is when the caller should retry; 0 omits it.
	RetryAfter time.Duration
}

func (f *FailureError) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Reason) }

// notRun returns a failure that guarantees that the request has not run.
func notRun(reason string, retryAfter time.Duration) *FailureError {
	return &FailureError{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// mayHaveRun returns a failure that guarantees nothing.
func mayHaveRun(reason string) *FailureError {
	return &FailureError{Status: http.StatusBadGateway, Reason: reason}
}

// timedOut returns a failure that guarantees nothing either: an endpoint had the request when its deadline passed.
func timedOut() *FailureError {
	return &FailureError{Status: http.StatusGatewayTimeout, Reason: "timeout"}
}

// passes reports whether the failure may pass within moments, since no endpoint takes the request at present.
func (f *FailureError) passes() bool {
	switch f.Reason {
	case "noEndpoint", "noEndpointTook", "endpointsHeldBack":
		return true
	default:
		return false
	}
}

// statusError reports a response with an unexpected status.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("unexpected response status %d", e.status) }

// write writes the failure as a complete response.
func (f *FailureError) write(w http.ResponseWriter) {
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
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}
