package reducer

import "time"

// Code names why a request was refused or has no answer. Callers read it; see docs/ERRORS.md.
type Code string

// The codes that callers see.
const (
	CodeUnknownAccount  Code = "unknownAccount"
	CodeWrongCredential Code = "wrongCredential"
	CodeUnknownPipeline Code = "unknownPipeline"
	CodeNotInContract   Code = "pipelineNotInContract"
	CodeUnsupportedKey  Code = "unsupportedKey"
	CodeKeyTooOld       Code = "keyTooOld"
	CodeKeyFromFuture   Code = "keyFromFuture"
	CodeKeyReused       Code = "keyReused"
	CodeUnknownKey      Code = "unknownKey"
	CodeBadDeadline     Code = "badDeadline"
	CodeRateLimited     Code = "rateLimited"
	CodeConcurrency     Code = "concurrencyLimited"
	CodeCostLimited     Code = "costLimited"
	CodeCannotFinish    Code = "cannotFinishInTime"
	CodeDeadlinePassed  Code = "deadlinePassed"
	CodeLogUnavailable  Code = "logUnavailable"
	CodeNotReady        Code = "notReady"
	CodeStopping        Code = "stopping"
	CodeStageFailed     Code = "stageFailed"
	CodeOwnerLost       Code = "ownerLost"
	CodeMayHaveRun      Code = "mayHaveRun"
	CodeAnswerNotKept   Code = "answerNotKept"
	CodeQuarantined     Code = "crashesEndpoints"
	CodeCallerGone      Code = "callerGone"
)

// State is what is known of a request.
type State uint8

// What is known of a request. The values are those of the peers' messages.
const (
	StateNone State = iota
	StateRunning
	StateAnswered
	// StateNotRun means that nothing ran and this attempt never will.
	StateNotRun
	// StateUnknown means that it may have run; it will not be run again under its key.
	StateUnknown
)

// Failure is a request's end without an answer.
type Failure struct {
	Code    Code
	Message string
	// State is StateNotRun or StateUnknown.
	State State
	Key   string
	// RetryAfter tells the caller when to come back; 0 when coming back does not help.
	RetryAfter time.Duration
}

// Outcome is what is known of a request by its key.
type Outcome struct {
	State State
	// Request is the name under which endpoints saw the request.
	Request string
	Answer  string
	Parts   int
	Failure Failure
	// Ended is when the request ended at the entry that served it.
	Ended time.Time
	// Digest is that of the request's pipeline and input.
	Digest [32]byte
}
