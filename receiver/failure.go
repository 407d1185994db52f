package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ogen-go/ogen/ogenerrors"

	"geraniumline/callerserver"
	"geraniumline/guarder"
	"geraniumline/reducer"
)

// Failure codes of calls that are rejected before they reach the core.
const (
	codeBadRequest   = "badRequest"
	codeBodyTooLarge = "bodyTooLarge"
	codeBodies       = "tooManyBodies"
	codeNoCredential = "noCredential"
	codeInternal     = "internal"
	codeUnknownPath  = "unknownPath"
	codeWrongMethod  = "wrongMethod"
)

// FailureError wraps a failure from the core that is returned to the caller.
type FailureError struct {
	Failure reducer.Failure
}

func (e *FailureError) Error() string {
	return string(e.Failure.Code) + ": " + e.Failure.Message
}

// statusOf returns the HTTP status for a failure code.
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

// failureOf converts a failure from the core to a response of the caller API.
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

// failureFromError converts any handler error to a response of the caller API. The outcome of errors that occur
// before the core has received the request is notRun.
func failureFromError(err error) *callerserver.FailureStatusCode {
	var failureErr *FailureError
	if errors.As(err, &failureErr) {
		return failureOf(failureErr.Failure)
	}
	var noRoom *guarder.BodyQuotaError
	if errors.As(err, &noRoom) {
		failure := notRunFailure(http.StatusServiceUnavailable, codeBodies, err.Error())
		failure.Response.RetryAfterMillis = callerserver.NewOptInt64(noRoom.RetryAfter().Milliseconds())
		return failure
	}
	status, code := classify(err)
	return notRunFailure(status, code, err.Error())
}

// classify returns the HTTP status and the failure code for a call that did not reach the core.
func classify(err error) (status int, code string) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, codeBodyTooLarge
	}
	var security *ogenerrors.SecurityError
	var wrongCredential *WrongCredentialError
	if errors.As(err, &security) || errors.As(err, &wrongCredential) {
		return http.StatusUnauthorized, codeNoCredential
	}
	if status := ogenerrors.ErrorCode(err); status != http.StatusInternalServerError {
		return status, codeBadRequest
	}
	return http.StatusInternalServerError, codeInternal
}

// writeUnknownPath responds to a call to a path that the API does not define.
func writeUnknownPath(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, notRunFailure(http.StatusNotFound, codeUnknownPath, "the interface has no such path"))
}

// writeWrongMethod responds to a call with a method that the path does not allow.
func writeWrongMethod(w http.ResponseWriter, _ *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeResponse(w, notRunFailure(http.StatusMethodNotAllowed, codeWrongMethod, "the path takes "+allowed))
}

func notRunFailure(status int, code, message string) *callerserver.FailureStatusCode {
	return &callerserver.FailureStatusCode{StatusCode: status, Response: callerserver.Failure{
		Code:    code,
		Message: message,
		Outcome: callerserver.FailureOutcomeNotRun,
	}}
}

// writeFailure responds to calls that fail before their handler runs.
func writeFailure(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeResponse(w, failureFromError(err))
}

func writeResponse(w http.ResponseWriter, failure *callerserver.FailureStatusCode) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if millis, set := failure.Response.RetryAfterMillis.Get(); set {
		w.Header().Set("Retry-After", strconv.FormatInt((millis+999)/1000, 10))
	}
	w.WriteHeader(failure.StatusCode)
	_ = json.NewEncoder(w).Encode(&failure.Response)
}
