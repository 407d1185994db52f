package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ogen-go/ogen/ogenerrors"

	"geraniumline/callerserver"
	"geraniumline/reducer"
)

// The codes of failures that are found before a call reaches the core.
const (
	codeBadRequest   = "badRequest"
	codeBodyTooLarge = "bodyTooLarge"
	codeNoCredential = "noCredential"
	codeInternal     = "internal"
	codeUnknownPath  = "unknownPath"
	codeWrongMethod  = "wrongMethod"
)

// FailureError is a core's Failure on its way to the caller.
type FailureError struct {
	Failure reducer.Failure
}

func (e *FailureError) Error() string {
	return string(e.Failure.Code) + ": " + e.Failure.Message
}

// statusOf gives the HTTP status for a code.
func statusOf(code reducer.Code) int {
	switch code {
	case reducer.CodeUnknownAccount, reducer.CodeWrongCredential:
		return http.StatusUnauthorized
	case reducer.CodeNotInContract:
		return http.StatusForbidden
	case reducer.CodeUnknownPipeline, reducer.CodeUnknownKey:
		return http.StatusNotFound
	case reducer.CodeUnsupportedKey, reducer.CodeBadDeadline, reducer.CodeKeyFromFuture:
		return http.StatusBadRequest
	case reducer.CodeKeyReused:
		return http.StatusConflict
	case reducer.CodeKeyTooOld, reducer.CodeAnswerNotKept:
		return http.StatusGone
	case reducer.CodeRateLimited, reducer.CodeConcurrency, reducer.CodeCostLimited:
		return http.StatusTooManyRequests
	case reducer.CodeDeadlinePassed:
		return http.StatusGatewayTimeout
	case reducer.CodeStageFailed, reducer.CodeOwnerLost, reducer.CodeMayHaveRun, reducer.CodeQuarantined:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// failureOf puts a core's failure into the callers' form.
func failureOf(failure reducer.Failure) *callerserver.FailureStatusCode {
	response := callerserver.Failure{
		Code:    string(failure.Code),
		Message: failure.Message,
		Outcome: callerserver.FailureOutcomeNotRun,
	}
	if failure.State == reducer.StateUnknown {
		response.Outcome = callerserver.FailureOutcomeUnknown
	}
	if failure.Key != "" {
		response.Key = callerserver.NewOptString(failure.Key)
	}
	if failure.State == reducer.StateUnknown && failure.Key != "" {
		response.OutcomePath = callerserver.NewOptString("/v1/requests/" + failure.Key)
	}
	if failure.RetryAfter > 0 {
		response.RetryAfterMillis = callerserver.NewOptInt64(max(failure.RetryAfter.Milliseconds(), 1))
	}
	return &callerserver.FailureStatusCode{StatusCode: statusOf(failure.Code), Response: response}
}

// failureOfError puts any error of a handler into the callers' form. What goes wrong before the core
// has the request has run nothing.
func failureOfError(err error) *callerserver.FailureStatusCode {
	var failed *FailureError
	if errors.As(err, &failed) {
		return failureOf(failed.Failure)
	}
	status, code := classify(err)
	return notRunFailure(status, code, err.Error())
}

// classify names what is wrong with a call that the core has not seen.
func classify(err error) (status int, code string) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, codeBodyTooLarge
	}
	var security *ogenerrors.SecurityError
	var wrong *WrongCredentialError
	if errors.As(err, &security) || errors.As(err, &wrong) {
		return http.StatusUnauthorized, codeNoCredential
	}
	if status := ogenerrors.ErrorCode(err); status != http.StatusInternalServerError {
		return status, codeBadRequest
	}
	return http.StatusInternalServerError, codeInternal
}

// writeUnknownPath answers a call to a path that the interface does not have.
func writeUnknownPath(w http.ResponseWriter, _ *http.Request) {
	write(w, notRunFailure(http.StatusNotFound, codeUnknownPath, "the interface has no such path"))
}

// writeWrongMethod answers a call by a method that the path does not have.
func writeWrongMethod(w http.ResponseWriter, _ *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	write(w, notRunFailure(http.StatusMethodNotAllowed, codeWrongMethod, "the path takes "+allowed))
}

func notRunFailure(status int, code, message string) *callerserver.FailureStatusCode {
	return &callerserver.FailureStatusCode{StatusCode: status, Response: callerserver.Failure{
		Code:    code,
		Message: message,
		Outcome: callerserver.FailureOutcomeNotRun,
	}}
}

// writeFailure answers calls that fail before their handler.
func writeFailure(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	write(w, failureOfError(err))
}

func write(w http.ResponseWriter, failure *callerserver.FailureStatusCode) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if millis, set := failure.Response.RetryAfterMillis.Get(); set {
		w.Header().Set("Retry-After", strconv.FormatInt((millis+999)/1000, 10))
	}
	w.WriteHeader(failure.StatusCode)
	_ = json.NewEncoder(w).Encode(&failure.Response)
}
