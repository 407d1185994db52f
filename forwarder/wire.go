package forwarder

import (
	"net/http"
	"time"

	"geraniumline/collector"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// Request is what a caller's header says of a request.
type Request struct {
	// ID names one attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 where it does not say.
	Timeout time.Duration
	// Key is the credential of a client account.
	Key string
	// Parts are the prompt's parts.
	Parts []selector.Part
	// PieceCounts is how many pieces each stage has, PieceKey the input of the first stages.
	PieceCounts []int
	PieceKey    string
	// LastEvent is the last event that the caller has of a stream that it resumes; empty for a new one.
	LastEvent string
}

// CallInfo is what a call to an endpoint says beside the caller's own header.
type CallInfo struct {
	// Timeout is how long the endpoint may work.
	Timeout time.Duration
	// Instance is the endpoint's id: another process at its address refuses the call.
	Instance string
	Account  string
	// Priority orders requests within a model engine, 0 first; it is sent only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Inputs are the results of the last stages.
	Inputs []string
	// LastEvent is the last event that was passed on, where a stream goes on at another endpoint.
	LastEvent string
	// ForwardKey passes the caller's credential on: only where the system itself has no keys.
	ForwardKey bool
}

// ResponseInfo is what an endpoint's answer says beside its content.
type ResponseInfo struct {
	// NotRun tells that the endpoint did not run the request and will not.
	NotRun bool
	// InputGone tells that a stage's result is no longer there.
	InputGone bool
	// Notice is what the answer says of the work that the endpoint takes. NoticeErr tells of a part that can't be used.
	Notice    regulator.Notice
	NoticeErr error
}

// Wire translates between the header names and bodies of callers and endpoints and the types above.
type Wire interface {
	// ReadRequest decodes a caller's header.
	ReadRequest(h http.Header) (Request, error)
	// CallHeader gives the header of a call. Headers that only the system may set are removed from the caller's.
	CallHeader(caller http.Header, info CallInfo) http.Header
	// ReadResponse decodes an endpoint's answer.
	ReadResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader gives the part of an endpoint's header that the caller gets.
	ResponseHeader(h http.Header) http.Header
	// EchoHeader is the header that endpoints send back as it came.
	EchoHeader() string
	// PiecesTarget and FreeTarget are the paths of the calls on pieces.
	PiecesTarget() string
	FreeTarget() string
	// InstanceHeader gives a header that names the endpoint that is meant.
	InstanceHeader(instance string) http.Header
	// EncodePieces and DecodePieces translate the bodies of a call for pieces.
	EncodePieces(pieces []collector.Piece, now time.Time) ([]byte, error)
	DecodePieces(body []byte) ([]collector.PieceResult, error)
	// EncodeFree gives the body of a call that frees results.
	EncodeFree(handles []string) ([]byte, error)
}
