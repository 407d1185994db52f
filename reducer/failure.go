package reducer

import "time"

// Code is the reason why a request was refused or has no answer. It is sent to callers; see docs/ERRORS.md.
type Code string

// The codes that are sent to callers.
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

// State is the known state of a request.
type State uint8

// The states of a request. Their values are used in messages between peers.
const (
	StateNone State = iota
	StateRunning
	StateAnswered
	// StateNotRun means that nothing ran and that this attempt never will.
	StateNotRun
	// StateUnknown means that the request may have run. It will not be run again with its key.
	StateUnknown
)

// Failure describes the end of a request without an answer.
type Failure struct {
	Code    Code
	Message string
	// State is StateNotRun or StateUnknown.
	State State
	Key   string
	// RetryAfter is the delay after which the caller may retry; 0 if a retry does not help.
	RetryAfter time.Duration
}

// Outcome is the known result of the request with a key.
type Outcome struct {
	State State
	// Request is the request id that endpoints received.
	Request string
	Answer  string
	Parts   int
	Failure Failure
	// Ended is when the request ended at the entry that served it.
	Ended time.Time
	// Digest is the SHA-256 of the request's pipeline and input.
	Digest [32]byte
}
