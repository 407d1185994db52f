package faker

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"geraniumline/endpointserver"
)

// RefusedError reports that an endpoint refused a call without running it.
type RefusedError struct {
	Code             endpointserver.RefusalCode
	Message          string
	RetryAfterMillis int64
}

// Error returns the code and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

func refuse(code endpointserver.RefusalCode, message string) *RefusedError {
	return &RefusedError{Code: code, Message: message}
}

func refusalStatus(code endpointserver.RefusalCode) int {
	switch code {
	case endpointserver.RefusalCodeBadCall:
		return http.StatusBadRequest
	case endpointserver.RefusalCodeUnknownStream:
		return http.StatusNotFound
	case endpointserver.RefusalCodeStaleFence:
		return http.StatusConflict
	case endpointserver.RefusalCodeRateLimited:
		return http.StatusTooManyRequests
	case endpointserver.RefusalCodeFailed:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func refusalOf(err error) endpointserver.Refusal {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return endpointserver.Refusal{Code: endpointserver.RefusalCodeFailed, Message: err.Error()}
	}
	refusal := endpointserver.Refusal{Code: refused.Code, Message: refused.Message}
	if refused.RetryAfterMillis > 0 {
		refusal.RetryAfterMillis = endpointserver.NewOptInt64(refused.RetryAfterMillis)
	}
	return refusal
}

// NewError converts an error to the refusal reply defined by the schema.
func (e *Endpoint) NewError(_ context.Context, err error) *endpointserver.RefusalStatusCode {
	refusal := refusalOf(err)
	return &endpointserver.RefusalStatusCode{StatusCode: refusalStatus(refusal.Code), Response: refusal}
}

// writeBadCall replies to a call that could not be decoded, in the error format of the schema.
func writeBadCall(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeJSON(w, http.StatusBadRequest, controlError{Code: "badCall", Message: err.Error()})
}
